package scheduler

import "time"

// pollFreshness is how long the last answer of a worker counts as proof that its tasks are at
// work: a poll waits for at most PollWait, and is answered or has timed out 400 ms later. Tasks
// of which an owner has heard nothing for longer count as absent, also if the owner itself lags.
const pollFreshness = 2 * time.Second

// toleratesAbsence reports whether the step of a long-running task keeps enough tasks at work if
// this one is stopped. It is checked before each order that ends a run at work, except at the
// end of its job or when its worker leaves.
func (s *Scheduler) toleratesAbsence(r *run) bool { return s.toleratesAbsences(r, 1) }

// toleratesAbsences reports whether the step of a long-running task keeps enough tasks at work if n of them
// are stopped at once, this one among them.
func (s *Scheduler) toleratesAbsences(r *run, n int) bool {
	return r.step.spec.MayMiss <= 0 || s.absentTasks(r)+n <= r.step.spec.MayMiss || mutation.ignoreMayMiss
}

// absentTasks returns the number of other tasks of the step that are not known to be at work.
func (s *Scheduler) absentTasks(r *run) int {
	if r.step.detached {
		return r.step.spec.Count - 1
	}
	n := 0
	for i := range r.step.tasks {
		if other := r.step.tasks[i].run; other != r && !s.atWork(other) {
			n++
		}
	}
	return n
}

// atWork reports whether a long-running task, nil for one without a run, is known to be at work:
// its startup is complete, it was not ordered to stop, and its worker has listed it recently and has
// not registered a new incarnation since.
func (s *Scheduler) atWork(r *run) bool {
	if r == nil || r.state != present || r.percent < 100 {
		return false
	}
	return r.worker.answered && r.worker.unansweredPolls == 0 && s.now.Sub(r.worker.clockRead) <= pollFreshness
}
