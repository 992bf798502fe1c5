package scheduler

// Tasks of speculative steps may have several runs at the same time. They need not wait for a
// worker that does not answer or is slow: another run is started elsewhere, and the first run
// that is done counts.

// queueCopy lets a run go on and queues its task again, so that a copy is started elsewhere. The
// run still counts against the capacity of the worker and the limit of the account until it has
// ended.
func (s *Scheduler) queueCopy(r *run, reason string) {
	st, index := r.step, r.index
	t := st.task(index)
	if t.run != r || st.detached || !s.mayCopy(r) {
		return
	}
	s.logEvent(LogEvent{Event: "run-copied", Job: st.job.spec.ID, Task: st.name(index), Worker: r.worker.registration.ID, Run: r.number, Reason: reason})
	detach(r)
	t.earlierRuns = append(t.earlierRuns, r)
	s.requeue(st, index)
}

// detach separates a run from its task, so that the task can have another one.
func detach(r *run) {
	st := r.step
	d := newDetached(st.job, st.occurrence.number, st.number)
	d.occurrence.runs, d.detachedTask.run = 1, r
	st.tasks[r.index].run = nil
	st.occurrence.runs--
	r.step = d
}

// lossyCopyAfter is the number of unanswered polls in a row after which a worker counts as silent
// while many answers are lost.
const lossyCopyAfter = 2

// copyAfter returns the number of unanswered polls in a row after which a worker's speculative tasks
// get copies. While answers are often lost, a single lost one says little about the worker, and
// copies take the room of other tasks.
func (s *Scheduler) copyAfter() int {
	if s.answers.lostShare > lossyShare {
		return lossyCopyAfter
	}
	return 1
}

// queueCopies queues copies of the runs of a worker that does not answer, for those steps that
// allow it.
func (s *Scheduler) queueCopies(w *workerState) {
	for _, r := range w.sortedRuns() {
		if r.step.spec.Speculative && !r.step.spec.Gang && r.state != stopping {
			s.queueCopy(r, "worker does not answer")
		}
	}
}

// stopEarlierRuns stops the earlier runs of a task that are still present.
func (s *Scheduler) stopEarlierRuns(t *task, reason string) {
	for _, r := range t.earlierRuns {
		if r.worker.runs[r.step.name(r.index)] == r {
			s.stop(r, reason)
		}
	}
	t.earlierRuns = nil
}
