package scheduler

import (
	"slices"
	"time"

	"egretdrum.example/crashes"
)

// A suspected task starts apart from other suspects, and its worker gets no new task until the run
// has outlived its start. The next crash then shows which task causes it, and takes the least with
// it.

const (
	// isolationWait is the wait reason of suspected tasks.
	isolationWait = "a suspected task needs a worker without another one"
	// evidenceWait is the wait reason of tasks whose evidence is not durable.
	evidenceWait = "the crashes under a task are being stored, or the fate of its last worker is unknown"
	// gangPatience is how long a gang waits for isolated workers for its suspects: the pool may be
	// too small for that.
	gangPatience = 2 * time.Second
	// restartCost is the time that a long-running task counts as lost work, besides its age.
	restartCost = 30 * time.Second
)

// suspected reports whether a task has to be isolated.
func (st *stepState) suspected(index int) bool {
	return st.tasks[index].evidence.Suspected() && !mutation.ignoreIsolation
}

// awaitsEvidence reports whether a task waits until the crashes under it are durable, or until it is
// known whether the worker of its last run has crashed.
func (s *Scheduler) awaitsEvidence(st *stepState, index int) bool {
	t := &st.tasks[index]
	if !t.evidence.AwaitsStore() || mutation.ignoreDurability {
		return false
	}
	return st.job.saved < t.evidenceVersion || s.now.Before(t.fateKnownBy)
}

// suspectsLast sorts the waiting tasks of a step: suspects come after the others, which they must
// not hold up, and those that have to wait for the store come last.
func (s *Scheduler) suspectsLast(st *stepState) {
	if !slices.ContainsFunc(st.waitingTasks, func(index int) bool { return len(st.tasks[index].evidence.Runs) > 0 }) {
		return
	}
	order := func(index int) int {
		switch {
		case s.awaitsEvidence(st, index):
			return 2
		case st.suspected(index):
			return 1
		}
		return 0
	}
	slices.SortStableFunc(st.waitingTasks, func(a, b int) int { return order(a) - order(b) })
}

// suspectsFirst returns the waiting tasks of a gang, suspects first: they choose their workers before
// the others.
func (st *stepState) suspectsFirst() []int {
	tasks := slices.Clone(st.waitingTasks)
	slices.SortStableFunc(tasks, func(a, b int) int { return -boolCompare(st.suspected(a), st.suspected(b)) })
	return tasks
}

// isolatesGang reports whether the suspects of a gang are isolated.
func (s *Scheduler) isolatesGang(st *stepState) bool {
	return s.now.Sub(st.waitingSince) < gangPatience
}

// hasSuspect reports whether an isolated run has not outlived its start yet.
func (w *workerState) hasSuspect() bool {
	return slices.ContainsFunc(w.watched, func(r *run) bool { return r.isolated })
}

// watch isolates a run of a suspected task, and watches for proof that it outlives its start.
func (s *Scheduler) watch(r *run) {
	if r.step.detached || len(r.step.tasks[r.index].evidence.Runs) == 0 {
		return
	}
	w := r.worker
	if slices.Contains(w.watched, r) {
		return
	}
	w.watched = append(w.watched, r)
	if r.isolated = r.step.suspected(r.index); !r.isolated {
		return
	}
	r.probation = r.step.tasks[r.index].evidence.Probation()
	s.logEvent(LogEvent{
		Event: "task-isolated", Job: r.step.job.spec.ID, Task: r.step.name(r.index), Worker: w.registration.ID, Run: r.number,
		AffectedCount: len(r.step.tasks[r.index].evidence.Runs),
	})
}

// unwatch ends the isolation of a run that has ended.
func (w *workerState) unwatch(r *run) {
	w.watched = slices.DeleteFunc(w.watched, func(other *run) bool { return other == r })
}

// checkWatched ends the isolation of runs that have outlived their start, and removes the evidence
// against their tasks later.
func (s *Scheduler) checkWatched(w *workerState) {
	for _, r := range slices.Clone(w.watched) {
		known := w.knownPresence(r)
		if r.isolated && known >= r.probation {
			r.isolated = false
			s.changedPools[w.registration.Pool] = true
		}
		if known >= crashes.Survival {
			w.unwatch(r)
			if st := s.openStep(r.step.name(r.index)); st != nil {
				s.clearEvidence(st, r.index)
			}
		}
	}
}

// proofDue returns the time until the next poll can prove that an isolated run has outlived its start,
// and whether there is one that waits for that.
func (s *Scheduler) proofDue(w *workerState) (left time.Duration, waits bool) {
	for _, r := range w.watched {
		if !r.isolated || r.confirmed.IsZero() {
			continue
		}
		due := r.confirmed.Add(r.probation)
		if w.pollSent.Before(due) || !w.polling {
			d := max(0, due.Sub(s.now))
			if !waits || d < left {
				left = d
			}
			waits = true
		}
	}
	return left, waits
}

// pollForProof replaces a poll in flight that was sent too early to prove anything.
func (s *Scheduler) pollForProof(w *workerState) {
	if len(w.watched) == 0 || w.unansweredPolls > 0 {
		return
	}
	if left, waits := s.proofDue(w); waits && left == 0 {
		w.polling, w.nextPoll = false, s.now
	}
}

// lossOn returns the core-seconds of work that a crash of the worker would lose.
func (s *Scheduler) lossOn(w *workerState) float64 {
	sum := 0.0
	for _, r := range w.runs {
		age := s.now.Sub(r.sent)
		if r.step.spec.LongRunning {
			age += restartCost
		}
		sum += float64(r.need.CPU) / 1000 * age.Seconds()
	}
	return sum
}

// isolationScore rates a worker for a suspected task: least is lost there, and no other run has just
// begun, which could be the cause of a crash as well.
func (s *Scheduler) isolationScore(w *workerState) float64 {
	score := -s.lossOn(w)
	for _, r := range w.runs {
		if s.now.Sub(r.sent) < crashes.Probation {
			score -= avoidNewRuns
		}
	}
	return score
}

// avoidNewRuns outweighs the loss of a worker with many runs: beside a run that has just begun, a
// crash proves nothing.
const avoidNewRuns = 1000

// mayCopy reports whether another copy of a task may be started while a run of it is not known to
// have ended. Of a task that crashes its workers, only the first crash is not known by then.
func (s *Scheduler) mayCopy(r *run) bool {
	if r.step.suspected(r.index) && r.worker.knownPresence(r) < crashes.Survival {
		return false
	}
	return !slices.ContainsFunc(r.step.task(r.index).earlierRuns, func(other *run) bool {
		return other.worker.runs[other.step.name(other.index)] == other && other.worker.knownPresence(other) < crashes.Survival
	})
}
