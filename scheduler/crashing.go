package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"egretdrum.example/crashes"
	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/worker"
)

// A task may crash each worker that starts it. The crash takes the other runs there with it, so
// such a task is isolated and then given up. Crashes are collected until the next Tick, as one list
// of machines may show the loss of a whole rack.

const (
	// sharedWindow is the time within which crashes of workers of one rack count as one event.
	sharedWindow = 250 * time.Millisecond
	// lostMemory is how long runs whose lease ended are remembered: if their worker turns out to
	// have crashed, they count. A crashed worker is back within seconds.
	lostMemory = time.Minute
	// fatePatience is how long a task with two crashes waits after the end of a lease: a worker that
	// has crashed is back within that time.
	fatePatience = 4 * time.Second
	// orderDoubt is how long a machine may still carry out an order that was not answered.
	orderDoubt = 15 * time.Second
)

// crashReport is a crash of a worker that is not judged yet.
type crashReport struct {
	worker, rack, reason string
	runs                 []lostRun
}

// lostRun is a run that may have been present on a worker when it crashed.
type lostRun struct {
	task    job.Task
	number  int64
	started bool
	present time.Duration
}

// rackCrash is a recent crash of a worker of a rack.
type rackCrash struct {
	worker, rack string
	at           time.Time
}

// reportCrash records that a worker has crashed with the given runs, unless its end was planned.
func (s *Scheduler) reportCrash(w *workerState, runs []*run, reason string) {
	if mutation.ignoreCrashes || s.endPlanned(w) {
		return
	}
	s.crashReports = append(s.crashReports, crashReport{worker: w.registration.ID, rack: w.registration.Rack, reason: reason, runs: w.lostRuns(runs)})
}

// lostRuns returns those runs of a worker whose start was sent.
func (w *workerState) lostRuns(runs []*run) []lostRun {
	var lost []lostRun
	for _, r := range runs {
		if r.claim.sent() {
			lost = append(lost, lostRun{task: r.step.name(r.index), number: r.number, started: w.started(r), present: w.knownPresence(r)})
		}
	}
	return lost
}

// started reports whether a run is known to have begun. That of a recorded run is not, until the
// worker has answered this owner.
func (w *workerState) started(r *run) bool {
	return !r.confirmed.IsZero() && (!r.recorded || r.begun || w.aliveAt.After(r.confirmed))
}

// knownPresence returns how long a run was present at least before the last sign of its worker.
func (w *workerState) knownPresence(r *run) time.Duration {
	if r.survived {
		return crashes.Survival
	}
	if r.confirmed.IsZero() {
		return 0
	}
	return max(0, w.aliveAt.Sub(r.confirmed))
}

// recordAlive records a time at which the worker was alive: an answer proves that it was when the
// call was sent, however late the answer is processed.
func (w *workerState) recordAlive(sent time.Time) {
	if sent.After(w.aliveAt) {
		w.aliveAt = sent
	}
}

// reportUnlisted reports a crash of a worker that answers as another incarnation than before. What
// it lists was started since.
func (s *Scheduler) reportUnlisted(w *workerState, answer *worker.Listing) {
	before := w.incarnation
	if before == 0 {
		before = w.recordedIncarnation
	}
	if before == 0 || before == answer.Incarnation {
		return
	}
	runs := slices.DeleteFunc(w.sortedRuns(), func(r *run) bool {
		name := r.step.name(r.index)
		return slices.ContainsFunc(answer.Running, func(l worker.Run) bool { return l.Task == name && l.Run == r.number }) ||
			slices.ContainsFunc(answer.Ended, func(e worker.End) bool { return e.Task == name && e.Run == r.number })
	})
	s.reportCrash(w, runs, "it has restarted")
}

// endPlanned reports whether the worker may have ended because of an order or a drain.
func (s *Scheduler) endPlanned(w *workerState) bool {
	return w.registration.Leaving || w.orderedAway || s.machinePlanned(w.registration.Machine, w.registration.Pool)
}

// machinePlanned reports whether a machine was or may have been ordered out of a pool.
func (s *Scheduler) machinePlanned(id, pool string) bool {
	m := s.machines[id]
	if m == nil {
		return false
	}
	switch {
	case m.away, m.orderInFlight, m.State == worker.Moving, m.State == worker.Maintenance:
		return true
	case s.now.Before(m.doubtUntil):
		return true
	}
	return m.Pool != "" && m.Pool != pool
}

// judgeCrashes counts the crashes since the last Tick against the tasks that may have caused them.
func (s *Scheduler) judgeCrashes() {
	if len(s.crashReports) == 0 {
		return
	}
	reports := s.crashReports
	s.crashReports = nil
	s.rackCrashes = slices.DeleteFunc(s.rackCrashes, func(c rackCrash) bool { return s.now.Sub(c.at) > sharedWindow })
	for _, report := range reports {
		known := slices.ContainsFunc(s.rackCrashes, func(c rackCrash) bool { return c.worker == report.worker })
		if !known {
			s.rackCrashes = append(s.rackCrashes, rackCrash{report.worker, report.rack, s.now})
		}
	}
	for _, report := range reports {
		s.judgeCrash(report)
	}
}

// crashShared reports whether so many workers of a rack have just crashed that the cause is not a
// task.
func (s *Scheduler) crashShared(rack string) bool {
	if rack == "" {
		return false
	}
	crashed, workers := 0, 0
	for _, c := range s.rackCrashes {
		if c.rack == rack {
			crashed++
		}
	}
	for _, w := range s.sortedWorkers {
		if w.registration.Rack == rack && w.registered {
			workers++
		}
	}
	return crashes.Shared(crashed, workers)
}

// judgeCrash counts a crash against the tasks that may have caused it, and gives up those whose
// evidence suffices.
func (s *Scheduler) judgeCrash(report crashReport) {
	losses := make([]crashes.Loss, len(report.runs))
	for i, r := range report.runs {
		losses[i] = crashes.Loss{Run: r.number, Started: r.started, Present: r.present, Evidence: new(crashes.Evidence)}
		if st := s.openStep(r.task); st != nil {
			losses[i].Evidence = &st.tasks[r.task.Index].evidence
		}
	}
	shared := s.crashShared(report.rack)
	suspects, cause := crashes.Count(losses, shared)
	if len(suspects) == 0 {
		return
	}
	reason := report.reason
	if shared {
		reason += "; many workers of its rack have crashed"
	}
	s.logEvent(LogEvent{Event: "worker-crashed-under-tasks", Worker: report.worker, AffectedCount: len(suspects), Reason: reason})
	for _, i := range suspects {
		s.suspect(report.runs[i], report.worker, shared)
	}
	for _, i := range suspects {
		st, index := s.openStep(report.runs[i].task), report.runs[i].task.Index
		switch {
		case st == nil:
		case i == cause:
			s.giveUp(st, index, "it was the only suspect in its second crash")
		default:
			s.giveUpExhausted(st, index)
		}
	}
}

// openStep returns the step of a task that is not done, nil if there is none.
func (s *Scheduler) openStep(t job.Task) *stepState {
	st := s.step(t)
	if st == nil || st.job.state.Final() || st.tasks[t.Index].done {
		return nil
	}
	return st
}

// suspect records that a crash counts against a task.
func (s *Scheduler) suspect(r lostRun, workerID string, shared bool) {
	st := s.openStep(r.task)
	if st == nil {
		return
	}
	t := &st.tasks[r.task.Index]
	t.crashedWorkers = append(t.crashedWorkers, workerID)
	s.markDirty(st.job)
	t.evidenceVersion = st.job.version
	if t.run != nil {
		s.watch(t.run)
	}
	s.logEvent(LogEvent{
		Event: "task-suspected", Job: r.task.Job, Task: r.task, Worker: workerID, Run: r.number, AffectedCount: len(t.evidence.Runs),
		Reason: fmt.Sprintf("begun %t, present for %v, rack lost %t", r.started, r.present.Round(time.Millisecond), shared),
	})
}

// giveUpExhausted fails the job of a task that must not be started again, and reports whether it
// did. It is called before each start as well, as a new owner may load such evidence.
func (s *Scheduler) giveUpExhausted(st *stepState, index int) bool {
	if !st.tasks[index].evidence.Exhausted() || st.job.state.Final() {
		return false
	}
	s.giveUp(st, index, "it must not crash another worker")
	return true
}

// giveUp fails the job of a task that crashes its workers.
func (s *Scheduler) giveUp(st *stepState, index int, reason string) {
	t := &st.tasks[index]
	s.logEvent(LogEvent{
		Event: "job-given-up", Job: st.job.spec.ID, Task: st.name(index), AffectedCount: len(t.evidence.Runs),
		Reason: reason + "; workers crashed in this term: " + strings.Join(t.crashedWorkers, ", "),
	})
	s.givenUp++
	s.finishJob(st.job, progress.Failed)
}

// clearEvidence removes the evidence against a task of which a run has outlived its start.
func (s *Scheduler) clearEvidence(st *stepState, index int) {
	t := &st.tasks[index]
	if n := len(t.evidence.Runs); t.evidence.Clear() {
		t.crashedWorkers = nil
		s.logEvent(LogEvent{Event: "task-cleared", Job: st.job.spec.ID, Task: st.name(index), AffectedCount: n})
		s.markDirty(st.job)
	}
}
