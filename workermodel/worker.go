// Package workermodel models one incarnation of a worker: its fencing token, its lease, its runs
// and the ends that it lists. It does no input or output: orders and the time go in, answers
// come out. Package fleetmodel puts workers on machines.
package workermodel

import (
	"slices"
	"time"

	"egretdrum.example/job"
	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

// Config holds the properties of a worker.
type Config struct {
	// ClockRate is the rate of the worker's clock; 1 is the rate of real time.
	ClockRate float64
	// LongestLease bounds a lease, on the worker's clock.
	LongestLease time.Duration
	// StopTime is the longest time that a stop takes.
	StopTime, CheckpointInterval, RestoreTime, StartupTime, GangTimeout time.Duration
	// EnforcesCapacity is set if the worker refuses tasks that exceed its free capacity.
	EnforcesCapacity bool
}

// Behavior is what a run does.
type Behavior struct {
	Need resource.Amount
	// Reserved is the part of Need that is counted against the capacity.
	Reserved resource.Amount
	// RunTime is the work of the task, which takes Slowdown times as long here.
	RunTime  time.Duration
	Slowdown float64
	// LongRunning runs do not end by themselves, unless they fail.
	LongRunning   bool
	Checkpointing bool
	// Gang runs wait until BeginGang.
	Gang bool
	// FailAfter and CrashAfter are the time at work after which the run fails or crashes its
	// worker; zero means never.
	FailAfter, CrashAfter time.Duration
	// StopTime is how long a stop of this run takes.
	StopTime time.Duration
}

// Worker is one incarnation of a worker. It is not safe for concurrent use.
type Worker struct {
	cfg      Config
	capacity resource.Amount
	started  time.Time
	fence    int64
	// lease is the end of the lease on the worker's clock.
	lease time.Duration
	// expiredLease is the last lease whose expiry was reported.
	expiredLease time.Duration
	runs         map[key]*run
	ended        []worker.End
	lastEnd      int64
	// due is when the next run ends or the lease expires at the earliest, zero if that is not
	// known. Without it, each pass over a fleet would look at each run.
	due time.Time
	// highest is the highest run of each task that was stopped or has ended.
	highest map[job.Task]int64
}

type key struct {
	task job.Task
	run  int64
}

// run is a run that is present.
type run struct {
	key
	behavior Behavior
	present  time.Time
	// restored is the work that the checkpoint carried.
	restored time.Duration
	// atWork is when the run begins to work, zero while a gang waits.
	atWork time.Time
	// stopped is when the run ends after an order to stop it, zero without one.
	stopped time.Time
}

// New returns a worker that starts at the given time.
func New(cfg *Config, capacity resource.Amount, started time.Time) *Worker {
	return &Worker{cfg: *cfg, capacity: capacity, started: started, runs: make(map[key]*run), highest: make(map[job.Task]int64)}
}

// Clock returns the reading of the worker's clock.
func (w *Worker) Clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(w.started)) * w.cfg.ClockRate).Truncate(time.Millisecond)
}

// Fence returns the highest fencing token seen.
func (w *Worker) Fence() int64 { return w.fence }

// Capacity returns the current capacity.
func (w *Worker) Capacity() resource.Amount { return w.capacity }

// SetCapacity changes the capacity; runs that no longer fit go on.
func (w *Worker) SetCapacity(c resource.Amount) { w.capacity = c }

// Used returns what the runs use, including those that are being stopped.
func (w *Worker) Used() resource.Amount {
	var used resource.Amount
	for _, r := range w.runs {
		used = used.Add(r.behavior.Reserved)
	}
	return used
}

// Result is the answer to a start.
type Result string

// The answers to a start.
const (
	Started Result = "started"
	// Present means that the run was there already.
	Present Result = "present"
	// Fenced means that a higher fencing token was seen.
	Fenced Result = "fenced"
	// Superseded means that this run or a higher one was stopped or has ended.
	Superseded Result = "superseded"
	// LeaseOver means that the lease in the order has passed.
	LeaseOver Result = "lease-over"
	// NoRoom means that the task does not fit.
	NoRoom Result = "no-room"
	// BadCheckpoint means that the checkpoint is not one of the task.
	BadCheckpoint Result = "bad-checkpoint"
)

// Order is an order to start a run.
type Order struct {
	Task       job.Task
	Run        int64
	Fence      int64
	LeaseEnd   time.Duration
	Checkpoint string
}

// accept reports whether an order with this fencing token is to be carried out.
func (w *Worker) accept(fence int64) bool {
	if fence < w.fence {
		return false
	}
	w.fence = fence
	return true
}

// extendLease extends the lease, which never becomes shorter.
func (w *Worker) extendLease(now time.Time, end time.Duration) {
	w.due = time.Time{}
	w.lease = max(w.lease, min(end, w.Clock(now)+w.cfg.LongestLease))
}

// Start carries out an order to start a run.
func (w *Worker) Start(now time.Time, o *Order, b *Behavior) Result {
	if !w.accept(o.Fence) {
		return Fenced
	}
	k := key{o.Task, o.Run}
	if w.runs[k] != nil {
		w.extendLease(now, o.LeaseEnd)
		return Present
	}
	if o.LeaseEnd <= w.Clock(now) {
		return LeaseOver
	}
	w.extendLease(now, o.LeaseEnd)
	if o.Run <= w.highest[o.Task] {
		return Superseded
	}
	if w.cfg.EnforcesCapacity && !b.Reserved.Within(w.capacity.Sub(w.Used())) {
		return NoRoom
	}
	restored, ok := readCheckpoint(o.Task, b.Gang, o.Checkpoint)
	if !ok {
		return BadCheckpoint
	}
	r := &run{key: k, behavior: *b, present: now, restored: min(restored, b.RunTime)}
	if !b.Gang {
		w.begin(now, r)
	}
	w.runs[k], w.due = r, time.Time{}
	return Started
}

// begin starts the work of a run.
func (w *Worker) begin(now time.Time, r *run) {
	r.atWork = now
	if r.restored > 0 {
		r.atWork = now.Add(w.cfg.RestoreTime)
	}
	if r.behavior.LongRunning {
		r.atWork = now.Add(w.cfg.StartupTime)
	}
}

// Stop carries out an order to stop a run. It reports whether the fencing token allows it.
func (w *Worker) Stop(now time.Time, t job.Task, number, fence int64) bool {
	if !w.accept(fence) {
		return false
	}
	w.highest[t] = max(w.highest[t], number)
	if r := w.runs[key{t, number}]; r != nil && r.stopped.IsZero() {
		w.due = time.Time{}
		r.stopped = now.Add(min(r.behavior.StopTime, w.cfg.StopTime))
	}
	return true
}

// Poll extends the lease, forgets acknowledged ends, and returns what runs and has ended. It
// returns nil if the fencing token does not allow it. A lease end of zero extends nothing.
func (w *Worker) Poll(now time.Time, fence, acknowledged int64, leaseEnd time.Duration) *worker.Listing {
	if !w.accept(fence) {
		return nil
	}
	if leaseEnd > 0 {
		w.extendLease(now, leaseEnd)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e worker.End) bool { return e.Number <= acknowledged })
	return w.List(now)
}

// maxListedEnds bounds the ends of a listing.
const maxListedEnds = 500

// List returns what runs and has ended.
func (w *Worker) List(now time.Time) *worker.Listing {
	l := &worker.Listing{Incarnation: w.Incarnation(), Clock: w.Clock(now)}
	for _, r := range w.sorted() {
		l.Running = append(l.Running, worker.Run{
			Task: r.task, Run: r.key.run, Checkpoint: w.checkpoint(now, r, false), Percent: r.percent(now), Load: r.behavior.Need.CPU,
		})
	}
	l.Ended = slices.Clone(w.ended[:min(len(w.ended), maxListedEnds)])
	return l
}

// Incarnation returns the number that distinguishes the incarnations of a worker.
func (w *Worker) Incarnation() int64 { return w.started.UnixMilli() }

// Unacknowledged returns the number of ends that were not acknowledged.
func (w *Worker) Unacknowledged() int { return len(w.ended) }

// sorted returns the runs in order of their tasks.
func (w *Worker) sorted() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		if c := job.Compare(a.task, b.task); c != 0 {
			return c
		}
		return int(a.key.run - b.key.run)
	})
	return runs
}
