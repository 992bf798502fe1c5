// Package emulation reads the INI file that describes an emulated platform: its store, its
// workers and machines, and the operators' configuration.
package emulation

import (
	"net/netip"
	"time"

	"egretdrum.example/catalog"
	"egretdrum.example/resource"
)

// Settings describes an emulated platform.
type Settings struct {
	// Seed determines everything that varies between tasks and workers.
	Seed int64
	// Address is the IP address of all listeners. A port of zero is chosen by the system.
	Address                                 netip.Addr
	ControlPort, IngressPort, FirstHostPort uint16
	// RevokeWithin is the time after which hosts must no longer accept a withdrawn key,
	// EvacuateWithin the time after which no task may start in an evacuated zone.
	RevokeWithin, EvacuateWithin time.Duration
	Store                        Store
	Workers                      Workers
	Machines                     Machines
	// Pools, Queues and Accounts are sorted by name.
	Pools    []Pool
	Queues   []*catalog.Queue
	Accounts []*catalog.Account
}

// Store holds the limits of the store.
type Store struct {
	WritesPerSecond, ReadsPerSecond float64
	// History is how long changes can be watched afterwards.
	History      time.Duration
	LongestValue int
	LeastLease   time.Duration
}

// Workers holds the properties that all workers share.
type Workers struct {
	Heartbeat, LongestLease, StopTime time.Duration
	// RestartTime is how long a worker that a task has crashed is down. KeepIDs is set if it
	// starts again under the same ID.
	RestartTime time.Duration
	KeepIDs     bool
	// SlowestClock is the lowest rate of a worker's clock; 1 is the rate of real time.
	SlowestClock                                              float64
	CheckpointInterval, RestoreTime, StartupTime, GangTimeout time.Duration
	// RemoteFactor multiplies the run time of a task away from the rack of its data.
	RemoteFactor float64
}

// Machines holds the properties of the service that moves and maintains machines.
type Machines struct {
	MoveTime, MaintenanceTime time.Duration
	OrdersPerSecond           float64
	ListsPerSecond            float64
	// Fencing is set if orders with a fencing token lower than an earlier one are refused.
	Fencing bool
}

// Pool describes a pool of equal workers.
type Pool struct {
	catalog.Pool
	Workers  int
	Capacity resource.Amount
	Zones    []string
	// Racks is the number of racks in each zone.
	Racks int
	// Kind is a label of all workers of the pool.
	Kind string
}

// Catalog returns the operators' configuration as the given version.
func (s *Settings) Catalog(version int64) *catalog.Catalog {
	var pools []*catalog.Pool
	for i := range s.Pools {
		pools = append(pools, &s.Pools[i].Pool)
	}
	return catalog.New(version, s.Queues, pools, s.Accounts, maxBodyBytes)
}

// maxBodyBytes is the maximum size of a submission in the emulated configuration.
const maxBodyBytes = 256 << 10
