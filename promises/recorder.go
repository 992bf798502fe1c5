// Package promises checks what workers and callers observe against what egretdrum promises. It
// does no input or output: observations and their times go in, violations come out.
package promises

import (
	"maps"
	"slices"
	"time"

	"egretdrum.example/catalog"
	"egretdrum.example/job"
	"egretdrum.example/resource"
)

// Check names a promise.
type Check string

// The checks.
const (
	TwoRuns           Check = "two-runs"
	OverCapacity      Check = "over-capacity"
	StartAfterDone    Check = "start-after-done"
	StepOrder         Check = "step-order"
	EarlyStart        Check = "early-start"
	StartAfterCancel  Check = "start-after-cancel"
	RunAfterCancel    Check = "run-after-cancel"
	AccountLimit      Check = "account-limit"
	WithdrawnKey      Check = "withdrawn-key"
	TooManyAttempts   Check = "too-many-attempts"
	StartAfterCrashes Check = "start-after-crashes"
	UnknownJob        Check = "unknown-job"
	RefusedJob        Check = "refused-job"
	WrongOrder        Check = "wrong-order"
	WrongPool         Check = "wrong-pool"
	MissingLabel      Check = "missing-label"
	EvacuatedZone     Check = "evacuated-zone"
	DrainingWorker    Check = "draining-worker"
	TooManyOnWorker   Check = "too-many-on-worker"
	LostJob           Check = "lost-job"
	EarlySuccess      Check = "early-success"
	WrongFailure      Check = "wrong-failure"
	ChangedState      Check = "changed-state"
	WaveLimit         Check = "wave-limit"
	EarlyWaveEnd      Check = "early-wave-end"
	MachineFence      Check = "machine-fence"
)

const (
	// changeTime is how long an earlier capacity of a worker, and an earlier version of the
	// configuration, may still be in use: hosts learn of a change with a delay.
	changeTime = 5500 * time.Millisecond
	// cancelTime is the time after an acknowledged cancellation from which no task of the job
	// may start.
	cancelTime = 4 * time.Second
	// calmTime is how long a fault may still have effects after its end.
	calmTime = 3 * time.Second
	// earlyTime is how much earlier than its due time an occurrence may start.
	earlyTime = 250 * time.Millisecond
	// drainTime is the time after which no task may start on a worker that drains.
	drainTime = 2 * time.Second
	// visibleTime is how long a host may not know of a job that another one has accepted.
	visibleTime = 3 * time.Second
	// limitTolerance is the share by which an account may exceed its limit, besides one task.
	limitTolerance = 0.1
	// maxCrashes is the number of workers that a task may crash. A few starts more are
	// tolerated: hosts learn of a crash with a delay.
	maxCrashes            = 3
	maxStartsAfterCrashes = 2
	// givenUpCrashes is the number of crashes from which on a task may fail its job.
	givenUpCrashes = 2
)

// Checks returns all checks.
func Checks() []Check {
	return []Check{
		TwoRuns, OverCapacity, StartAfterDone, StepOrder, EarlyStart, StartAfterCancel, RunAfterCancel, AccountLimit, WithdrawnKey,
		TooManyAttempts, StartAfterCrashes, UnknownJob, RefusedJob, WrongOrder, WrongPool, MissingLabel, EvacuatedZone, DrainingWorker, TooManyOnWorker, LostJob,
		EarlySuccess, WrongFailure, ChangedState, WaveLimit, EarlyWaveEnd, MachineFence,
	}
}

// Violation is an observation that breaks a promise.
type Violation struct {
	At     time.Time
	Check  Check
	Job    string
	Task   string
	Worker string
	Detail string
}

// Recorder records observations. Their times must not decrease. It is not safe for concurrent use.
type Recorder struct {
	// RevokeWithin is the time from which a withdrawn key must not be accepted, EvacuateWithin
	// the time from which no task may start in an evacuated zone, StopTime the longest time that
	// a worker needs to end a run.
	RevokeWithin, EvacuateWithin, StopTime time.Duration

	violations []Violation
	catalogs   []dated[*catalog.Catalog]
	// lastQueues has the last configuration of each queue.
	lastQueues map[string]*catalog.Queue
	keys       map[string]time.Time
	workers    map[string]*workerRecord
	jobs       map[string]*jobRecord
	// cancelled are the jobs whose cancellation was acknowledged.
	cancelled map[string]*jobRecord
	accounts  map[string]resource.Amount
	machines  map[string]*machineRecord
	waves     map[int64]*waveRecord
	// evacuated has the zones under evacuation, since when.
	evacuated map[string]time.Time
	// calmFrom is the end of the last fault.
	calmFrom time.Time
}

// dated is a value that was in force until the next one came.
type dated[T any] struct {
	from  time.Time
	value T
}

// current returns the values that were in force at some time of the last changeTime.
func current[T any](history []dated[T], at time.Time) []dated[T] {
	first := 0
	for first+1 < len(history) && !history[first+1].from.After(at.Add(-changeTime)) {
		first++
	}
	return history[first:]
}

// New returns an empty recorder.
func New() *Recorder {
	return &Recorder{
		keys: make(map[string]time.Time), workers: make(map[string]*workerRecord), jobs: make(map[string]*jobRecord), cancelled: make(map[string]*jobRecord),
		accounts: make(map[string]resource.Amount), machines: make(map[string]*machineRecord), waves: make(map[int64]*waveRecord),
		evacuated: make(map[string]time.Time), lastQueues: make(map[string]*catalog.Queue),
	}
}

// Violations returns the violations so far, in order of their times.
func (r *Recorder) Violations() []Violation { return slices.Clone(r.violations) }

func (r *Recorder) violate(at time.Time, c Check, v Violation) {
	v.At, v.Check = at, c
	r.violations = append(r.violations, v)
}

// Configure records that the store has acknowledged a version of the configuration.
func (r *Recorder) Configure(at time.Time, c *catalog.Catalog) {
	r.catalogs = append(current(r.catalogs, at), dated[*catalog.Catalog]{at, c})
	maps.Copy(r.lastQueues, c.Queues)
	for key, withdrawn := range r.keys {
		if withdrawn.IsZero() && c.ByKey(key) == nil {
			r.keys[key] = at
		}
	}
	for _, a := range c.Accounts {
		for _, key := range a.Keys {
			r.keys[key] = time.Time{}
		}
	}
}

// Evacuate records that the store has acknowledged the evacuation of a zone.
func (r *Recorder) Evacuate(at time.Time, zone string) {
	if r.evacuated[zone].IsZero() {
		r.evacuated[zone] = at
	}
}

// Restore records that the evacuation of a zone ends.
func (r *Recorder) Restore(zone string) { delete(r.evacuated, zone) }

// Disturb records that faults may have effects until the given time.
func (r *Recorder) Disturb(until time.Time) {
	if until.After(r.calmFrom) {
		r.calmFrom = until
	}
}

// AcceptKey records that a request with this key, sent at the given time, was answered with success.
func (r *Recorder) AcceptKey(at, sent time.Time, id, key string) {
	withdrawn, known := r.keys[key]
	switch {
	case !known:
		r.violate(at, WithdrawnKey, Violation{Job: id, Detail: "the key was never valid"})
	case !withdrawn.IsZero() && sent.After(withdrawn.Add(r.RevokeWithin)):
		r.violate(at, WithdrawnKey, Violation{Job: id, Detail: "the key was withdrawn " + sent.Sub(withdrawn).String() + " before the request"})
	}
}

// queue returns the configurations of a queue that may be in force. Accepted jobs of a queue that has been
// removed, or has another name now, go on by its last one.
func (r *Recorder) queue(at time.Time, name string) []*catalog.Queue {
	var queues []*catalog.Queue
	for _, c := range current(r.catalogs, at) {
		if q := c.value.Queues[name]; q != nil {
			queues = append(queues, q)
		}
	}
	if last := r.lastQueues[name]; len(queues) == 0 && last != nil {
		queues = append(queues, last)
	}
	return queues
}

// maxAttempts returns the highest limit of failures that may be in force for a job.
func (r *Recorder) maxAttempts(at time.Time, j *job.Job) int {
	limit := 0
	for _, q := range r.queue(at, j.Queue) {
		limit = max(limit, q.MaxAttempts)
	}
	return limit
}
