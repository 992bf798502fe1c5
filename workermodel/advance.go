package workermodel

import (
	"slices"
	"time"

	"egretdrum.example/job"
	"egretdrum.example/worker"
)

// Outcome is what has happened on a worker since the last call of Advance.
type Outcome struct {
	Ended []worker.End
	// LeaseExpired is set once after a lease has expired, whether or not anything was running.
	LeaseExpired bool
	// Crashed is the task that has crashed the worker, which is then gone; nil without one.
	Crashed *job.Task
}

// Advance ends the runs whose time has come.
func (w *Worker) Advance(now time.Time) Outcome {
	var o Outcome
	o.LeaseExpired = w.expired(now)
	if len(w.runs) == 0 || now.Before(w.due) {
		return o
	}
	before := w.lastEnd
	for _, r := range w.sorted() {
		at, reason, crash := r.finish()
		over := !at.IsZero() && !now.Before(at)
		stopped := !r.stopped.IsZero() && !now.Before(r.stopped)
		switch {
		case over && (r.stopped.IsZero() || at.Before(r.stopped)):
			if crash {
				o.Crashed = &r.task
				o.Ended = w.endedAfter(before)
				return o
			}
			w.end(now, r, reason)
		case stopped:
			w.end(now, r, worker.Stopped)
		case r.behavior.Gang && r.atWork.IsZero() && now.After(r.gangTimeout(w.cfg.GangTimeout)):
			w.end(now, r, worker.GangTimeout)
		}
	}
	if len(w.runs) > 0 && w.Clock(now) > w.lease {
		o.LeaseExpired = true
		for _, r := range w.sorted() {
			w.end(now, r, worker.LeaseExpired)
		}
	}
	o.Ended = w.endedAfter(before)
	w.due = w.nextDue()
	return o
}

// expired reports once for each lease that it has expired, also if nothing runs: ends that nobody
// has taken note of by then do not count, as the owner may have started their tasks elsewhere.
func (w *Worker) expired(now time.Time) bool {
	if w.lease == w.expiredLease || w.Clock(now) <= w.lease {
		return false
	}
	w.expiredLease = w.lease
	return true
}

// nextDue returns when the next run ends or the lease expires at the earliest.
func (w *Worker) nextDue() time.Time {
	due := w.started.Add(time.Duration(float64(w.lease) / w.cfg.ClockRate))
	for _, r := range w.runs {
		at, _, _ := r.finish()
		for _, t := range []time.Time{at, r.stopped, r.gangTimeout(w.cfg.GangTimeout)} {
			if !t.IsZero() && t.Before(due) {
				due = t
			}
		}
	}
	return due
}

// gangTimeout returns when the run ends because its gang is not complete, zero if it does not.
func (r *run) gangTimeout(timeout time.Duration) time.Time {
	if !r.behavior.Gang || !r.atWork.IsZero() {
		return time.Time{}
	}
	return r.present.Add(timeout)
}

// endedAfter returns the ends with numbers above before.
func (w *Worker) endedAfter(before int64) []worker.End {
	return slices.Clone(w.ended[len(w.ended)-int(w.lastEnd-before):])
}

func (w *Worker) end(now time.Time, r *run, reason worker.EndReason) {
	w.lastEnd++
	checkpoint := ""
	if reason != worker.Done {
		checkpoint = w.checkpoint(now, r, reason == worker.Stopped)
	}
	w.ended = append(w.ended, worker.End{Number: w.lastEnd, Task: r.task, Run: r.key.run, Reason: reason, Checkpoint: checkpoint})
	w.highest[r.task] = max(w.highest[r.task], r.key.run)
	delete(w.runs, r.key)
}

// BeginGang lets a run of a gang work, once all members are present.
func (w *Worker) BeginGang(now time.Time, t job.Task, number int64) {
	if r := w.runs[key{t, number}]; r != nil && r.atWork.IsZero() {
		w.begin(now, r)
		w.due = time.Time{}
	}
}

// Break ends a run because another member of its gang has ended.
func (w *Worker) Break(now time.Time, t job.Task, number int64) (worker.End, bool) {
	r := w.runs[key{t, number}]
	if r == nil {
		return worker.End{}, false
	}
	w.end(now, r, worker.GangBroken)
	return w.ended[len(w.ended)-1], true
}
