package scheduler

import (
	"slices"
	"time"

	"egretdrum.example/crashes"
	"egretdrum.example/job"
	"egretdrum.example/worker"
)

// unresponsiveAfter is the number of consecutive unanswered polls after which a worker is
// recorded as unresponsive; a single answer may be lost.
const unresponsiveAfter = 2

// recordUnresponsive stores which workers do not answer and what may run on them.
func (s *Scheduler) recordUnresponsive() {
	if s.restricted {
		return
	}
	for _, w := range s.sortedWorkers {
		// Until a recovery is over, a worker that has not answered may hold unknown runs of a
		// previous owner. An end whose result is not durable is in no record either.
		complete := (s.recovered || w.listed() || mutation.recordUnknown) && len(w.unsavedEnds) == 0
		known := complete || w.runsAccounted
		outdated := known && w.recordStored && !w.recordEnding && !w.recordEmpty && w.unansweredPolls > 0 && (len(w.runs) == 0 || w.recordOutdated)
		due := complete && w.unansweredPolls >= unresponsiveAfter && !w.recordStored
		switch {
		case (due || outdated) && s.tooManyToRecord(len(w.runs)):
			s.omitRecord(w)
		case due, outdated:
			// Without an update of the record, a later owner would consider the runs present
			// again, although their tasks have been started elsewhere.
			w.recordStored, w.recordEmpty, w.recordOutdated = true, len(w.runs) == 0, false
			s.actions.Unresponsive = append(s.actions.Unresponsive, s.withLost(s.unresponsiveRecord(w)))
		case w.unansweredPolls == 0 && w.answered && w.recordStored && !w.recordEnding:
			w.recordEnding = true
			s.actions.UnresponsiveEnds = append(s.actions.UnresponsiveEnds, w.registration.ID)
		}
	}
}

// tooManyToRecord reports whether the record of a worker would have too many runs for the store.
func (s *Scheduler) tooManyToRecord(runs int) bool {
	return s.limits.RecordedRuns > 0 && runs > s.limits.RecordedRuns
}

// omitRecord leaves an unresponsive worker without a record, so that the next owner waits until the lease
// of the worker has expired. A record of an earlier owner would be wrong by now.
func (s *Scheduler) omitRecord(w *workerState) {
	if w.recordStored {
		w.recordEnding = true
		s.actions.UnresponsiveEnds = append(s.actions.UnresponsiveEnds, w.registration.ID)
	}
	if !w.recordOmitted {
		w.recordOmitted = true
		s.logEvent(LogEvent{Event: "silence-not-recorded", Worker: w.registration.ID, AffectedCount: len(w.runs), Reason: "too many runs"})
	}
}

func (s *Scheduler) unresponsiveRecord(w *workerState) UnresponsiveWorker {
	v := UnresponsiveWorker{Worker: w.registration.ID, Incarnation: w.currentIncarnation()}
	for name, r := range w.runs {
		v.Runs = append(v.Runs, UnconfirmedRun{name, r.number})
		if w.knownPresence(r) >= crashes.Survival {
			v.Survived = append(v.Survived, name)
		}
		if w.started(r) {
			v.Begun = append(v.Begun, name)
		}
		if s.endsWithUsualLease(r) {
			v.UsualLease = append(v.UsualLease, name)
		}
	}
	slices.SortFunc(v.Runs, func(a, b UnconfirmedRun) int { return job.Compare(a.Task, b.Task) })
	slices.SortFunc(v.Survived, job.Compare)
	slices.SortFunc(v.Begun, job.Compare)
	slices.SortFunc(v.UsualLease, job.Compare)
	return v
}

// UnresponsiveEnded reports that the record of an unresponsive worker is durably deleted.
func (s *Scheduler) UnresponsiveEnded(id string, now time.Time) {
	s.now = now
	if w := s.workers[id]; w != nil && w.recordEnding {
		w.recordStored, w.recordEnding, w.recordEmpty = false, false, false
		s.changedPools[w.registration.Pool] = true
	}
}

// SetUnresponsive loads the record of an unresponsive worker that the previous owner has stored.
// It is called after the workers and the jobs are known, and before the first Tick.
func (s *Scheduler) SetUnresponsive(v UnresponsiveWorker, now time.Time) {
	s.now = now
	w := s.workers[v.Worker]
	if w == nil {
		s.actions.UnresponsiveEnds = append(s.actions.UnresponsiveEnds, v.Worker)
		return
	}
	w.recordStored = true
	s.restoreLost(w, v)
	if w.registration.Incarnation > v.Incarnation {
		// The record is of an earlier incarnation. What runs in this one is not known.
		s.reportRecorded(w, v)
		return
	}
	w.runsAccounted, w.recordedIncarnation = true, v.Incarnation
	for _, r := range v.Runs {
		s.reserveUnconfirmed(w, r)
		w.applyRecord(r, v)
	}
	s.logEvent(LogEvent{Event: "silence-known", Worker: v.Worker, AffectedCount: len(v.Runs)})
}

// reserveUnconfirmed reserves capacity for a run that an unresponsive worker may hold until its
// lease expires.
func (s *Scheduler) reserveUnconfirmed(w *workerState, v UnconfirmedRun) {
	j := s.jobs[v.Task.Job]
	if j == nil || v.Task.Step >= len(j.spec.Steps) || v.Task.Index >= j.spec.Steps[v.Task.Step].Count || w.runs[v.Task] != nil {
		return
	}
	listed := &worker.Run{Task: v.Task, Run: v.Run}
	st := s.listedStep(v.Task)
	if st != nil {
		st.detachOlderRecord(v.Task.Index, v.Run)
	}
	current := st != nil && !j.state.Final() && !st.tasks[v.Task.Index].done && st.tasks[v.Task.Index].run == nil
	if !current {
		st = newDetached(j, v.Task.Occurrence, v.Task.Step)
	}
	st.waitingTasks = slices.DeleteFunc(st.waitingTasks, func(n int) bool { return n == v.Task.Index })
	r := s.adopt(w, st, listed)
	// The first poll has a higher fencing token, so a run that it does not list is gone.
	r.claim.setFence(w.fence - 1)
	r.recorded = true
	switch {
	case !current:
		s.stop(r, notWanted)
	case st.spec.Speculative && !st.spec.Gang:
		s.queueCopy(r, "worker does not answer")
	}
}

// detachOlderRecord separates a task from a run that is known only from the record of an
// unresponsive worker, if the task has a newer run elsewhere. The record may be older than that
// run, as its removal takes a write.
func (st *stepState) detachOlderRecord(index int, number int64) {
	if r := st.tasks[index].run; r != nil && r.recorded && r.number < number {
		detach(r)
	}
}
