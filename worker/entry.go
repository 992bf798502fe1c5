// Package worker describes the hosts that run tasks, as they describe themselves.
package worker

import (
	"net/netip"
	"slices"
	"time"

	"egretdrum.example/job"
	"egretdrum.example/resource"
)

// Entry is the registration of a worker.
type Entry struct {
	ID      string
	Pool    string
	Address netip.AddrPort
	// Leaving workers shut down soon and accept no new tasks.
	Leaving bool
	// Remaining is the least time that a leaving worker has left.
	Remaining time.Duration
	Capacity  resource.Amount
	Labels    Labels
	// Rack is the label that names the rack of the worker, or the empty string.
	Rack string
	// Incarnation distinguishes the restarts of a worker under the same ID.
	Incarnation int64
	// Machine is the machine that carries the worker.
	Machine string
	// Zone is the availability zone of the worker, or the empty string if it is not known.
	Zone string
	// ColdFor is how long the worker still runs slowly after its start.
	ColdFor time.Duration
}

// Labels describe a host, for steps that need a kind of host or one in a certain rack.
type Labels []string

// Has reports whether the label is among them; the empty label always is.
func (l Labels) Has(label string) bool { return label == "" || slices.Contains(l, label) }

// Listing is the list of runs and ends that a worker reports.
type Listing struct {
	Incarnation int64
	// Started is when this incarnation began, by the worker's time of day; zero if it does not say.
	Started time.Time
	// Clock is the reading of the worker's monotonic clock.
	Clock   time.Duration
	Running []Run
	Ended   []End
}

// Run is a run of a task that is present on a worker.
type Run struct {
	Task       job.Task
	Run        int64
	Checkpoint string
	// Percent is the progress of the task; 100 means that a long-running task has started up.
	Percent int
	// Load is the tail latency in milliseconds of a task that serves users, and the used
	// thousandths of a core of any other.
	Load int
}

// End is a run that has ended on a worker.
type End struct {
	// Number increases by one with each end in an incarnation of the worker.
	Number     int64
	Task       job.Task
	Run        int64
	Reason     EndReason
	Checkpoint string
}

// EndReason says why a run ended.
type EndReason string

// The ways in which a run ends.
const (
	Done    EndReason = "done"
	Failed  EndReason = "failed"
	Stopped EndReason = "stopped"
	// LeaseExpired runs were ended because the lease of the worker expired.
	LeaseExpired EndReason = "lapsed"
	// GangBroken runs were ended because another member of the gang ended.
	GangBroken EndReason = "broken"
	// GangTimeout runs waited too long for the other members of the gang.
	GangTimeout EndReason = "alone"
)

// Machine is a host that is in one pool at a time and carries one worker after another.
type Machine struct {
	ID       string
	Pool     string
	State    MachineState
	Labels   Labels
	Capacity resource.Amount
	// Worker is the ID of the current worker, if there is one.
	Worker string
	Zone   string
}

// MachineState is the state of a machine as the platform lists it.
type MachineState string

// The states of a machine.
const (
	Up          MachineState = "up"
	Moving      MachineState = "moving"
	Maintenance MachineState = "maintenance"
	// Down machines have crashed or lost power; what ran there is lost.
	Down MachineState = "down"
	// Unknown stands for states that this version does not know; it has no effect.
	Unknown MachineState = "unknown"
)
