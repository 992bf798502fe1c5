// Package job describes the work that callers submit: jobs of steps of tasks.
package job

import (
	"slices"
	"time"

	"egretdrum.example/origin"
	"egretdrum.example/resource"
)

// Job is one accepted submission. It does not change after it was accepted.
type Job struct {
	// ID is chosen by the caller and names the job across all queues.
	ID string `cbor:"1,keyasint"`
	// Queue is the name of the queue that took the job.
	Queue string `cbor:"2,keyasint"`
	// Account is the client account whose key was sent with the job, empty in a queue that
	// is open to all clients.
	Account string `cbor:"3,keyasint,omitempty"`
	// Payload is passed to each task unchanged.
	Payload string `cbor:"4,keyasint"`
	Steps   []Step `cbor:"5,keyasint"`
	// Repeat is the number of occurrences; zero means that the steps run once, at once.
	Repeat int `cbor:"6,keyasint,omitempty"`
	// Start is the due time of the first occurrence.
	Start time.Time `cbor:"7,keyasint,omitempty"`
	// Interval is the time between the due times of two occurrences.
	Interval time.Duration `cbor:"8,keyasint,omitempty"`
	// Accepted is the time of day at which an entry host received the job.
	Accepted time.Time `cbor:"9,keyasint"`
	// Origin identifies the queue and the account under other names; nil in jobs of builds that do not
	// store it.
	Origin *origin.Origin `cbor:"10,keyasint,omitempty"`
	// Terms apply to the job if its queue or its account is not configured any more.
	Terms *Terms `cbor:"11,keyasint,omitempty"`
}

// Terms are the settings of a queue and an account when they took a job.
type Terms struct {
	Priority    int           `cbor:"1,keyasint,omitempty"`
	MaxAttempts int           `cbor:"2,keyasint,omitempty"`
	Stretch     float64       `cbor:"3,keyasint,omitempty"`
	Allowance   time.Duration `cbor:"4,keyasint,omitempty"`
	// Advice is the advice service of the queue, the zero value if it has none.
	Advice AdviceTerms `cbor:"5,keyasint,omitzero"`
	// Limit bounds the resources of the running tasks of the account.
	Limit resource.Amount `cbor:"6,keyasint,omitzero"`
}

// AdviceTerms are the times of an advice service.
type AdviceTerms struct {
	BaseTime       time.Duration `cbor:"1,keyasint,omitempty"`
	TimePerWorker  time.Duration `cbor:"2,keyasint,omitempty"`
	TicketLifetime time.Duration `cbor:"3,keyasint,omitempty"`
}

// Step is a set of equal tasks.
type Step struct {
	Count int `cbor:"1,keyasint"`
	// Need is the amount of resources that one task uses on a worker.
	Need resource.Amount `cbor:"2,keyasint"`
	// Estimate is the caller's rough estimate of the run time of a task.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the earlier steps that must be done before this one starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpointing tasks resume from their last checkpoint.
	Checkpointing bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks make progress only while all tasks of the step are present.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// Colocated tasks are slower when they run on more than one rack.
	Colocated bool `cbor:"7,keyasint,omitempty"`
	// Speculative tasks may have several runs at the same time.
	Speculative bool `cbor:"8,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"9,keyasint,omitempty"`
	// Label must be among the labels of the worker, unless it is empty.
	Label string `cbor:"10,keyasint,omitempty"`
	// Rack is the rack that holds the data of the step, or empty.
	Rack string `cbor:"11,keyasint,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; zero means no limit.
	MaxPerWorker int `cbor:"12,keyasint,omitempty"`
	// Image names the program of the tasks.
	Image string `cbor:"13,keyasint,omitempty"`
	// LatencyTarget bounds the tail latency of a task that serves users.
	LatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// Background tasks use only processor time that other tasks leave idle.
	Background bool `cbor:"15,keyasint,omitempty"`
	// MayMiss is how many tasks of a long-running step may be absent at the same time
	// because of the system's own actions; zero means that there is no such bound.
	MayMiss int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the part of Need that is counted against the capacity of a worker.
func (s *Step) Reserved() resource.Amount {
	need := s.Need
	if s.Background {
		need.CPU = 0
	}
	return need
}

// RunsAtOnce reports whether the job begins when it is accepted, runs once and ends, and uses no idle time
// only: its result is then of use for a limited time.
func (j *Job) RunsAtOnce() bool {
	return j.Repeat == 0 && j.Start.IsZero() && !slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning || s.Background })
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// Due returns the due time of an occurrence, the zero time if it is due at once.
func (j *Job) Due(occurrence int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.Start.Add(time.Duration(occurrence) * j.Interval)
}

// Work returns the estimated processor time of one occurrence, in core-seconds.
func (j *Job) Work() float64 {
	var sum float64
	for i := range j.Steps {
		s := &j.Steps[i]
		sum += float64(s.Count) * float64(s.Need.CPU) / 1000 * s.Estimate.Seconds()
	}
	return sum
}
