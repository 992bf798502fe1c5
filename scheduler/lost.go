package scheduler

import (
	"slices"
	"time"

	"egretdrum.example/crashes"
	"egretdrum.example/worker"
)

// The end of a lease does not tell whether the worker was cut off or has crashed. Later signs tell.

// lostWorker holds the runs of a worker whose lease ended without answers. The worker was silent or
// has crashed; later signs tell.
type lostWorker struct {
	worker, rack, pool, machine string
	incarnation                 int64
	at                          time.Time
	runs                        []lostRun
}

// rememberLost keeps the runs of a worker whose lease has ended until it is known whether the worker
// has crashed.
func (s *Scheduler) rememberLost(w *workerState, runs []*run) {
	e := &lostWorker{
		worker: w.registration.ID, rack: w.registration.Rack, pool: w.registration.Pool, machine: w.registration.Machine,
		incarnation: w.incarnation, at: s.now, runs: w.lostRuns(runs),
	}
	if e.incarnation == 0 {
		e.incarnation = w.recordedIncarnation
	}
	if len(e.runs) == 0 || e.incarnation == 0 || w.registration.Leaving || w.orderedAway || mutation.ignoreCrashes {
		return
	}
	if known := s.lost[e.worker]; known != nil && known.incarnation == e.incarnation {
		e.runs = append(known.runs, e.runs...)
	}
	s.lost[e.worker] = e
	s.setFateKnownBy(e, s.now.Add(fatePatience))
}

// setFateKnownBy sets until when the tasks of lost runs wait.
func (s *Scheduler) setFateKnownBy(e *lostWorker, at time.Time) {
	for _, r := range e.runs {
		if st := s.openStep(r.task); st != nil {
			st.tasks[r.task.Index].fateKnownBy = at
		}
	}
}

// resolveLost reports the crashes of workers whose lease has ended before, and forgets those that
// were only silent.
func (s *Scheduler) resolveLost() {
	for _, e := range sorted(s.lost) {
		reason, known := s.fateOf(e)
		if !known {
			continue
		}
		delete(s.lost, e.worker)
		s.setFateKnownBy(e, time.Time{})
		if reason != "" {
			s.crashReports = append(s.crashReports, crashReport{worker: e.worker, rack: e.rack, reason: reason, runs: e.runs})
		}
	}
}

// fateOf returns why a silent worker is known to have crashed, empty if it has not. known is false
// while nothing is known.
func (s *Scheduler) fateOf(e *lostWorker) (reason string, known bool) {
	if w := s.workers[e.worker]; w != nil {
		switch {
		case w.currentIncarnation() > e.incarnation:
			return "it has restarted", true
		case w.answered && w.incarnation == e.incarnation && w.aliveAt.After(e.at), w.registration.Leaving, w.orderedAway:
			return "", true
		}
	}
	m := s.machines[e.machine]
	switch {
	case m == nil && s.machinesAsked.After(e.at) && e.machine != "":
		return e.machine + " is not listed any more", true
	case s.now.Sub(e.at) > lostMemory, s.machinePlanned(e.machine, e.pool):
		return "", true
	case m != nil && m.State == worker.Down:
		return m.ID + " is down", true
	case m != nil && m.State == worker.Up && m.Worker != "" && m.Worker != e.worker && s.listedAfter(e.worker):
		return m.ID + " carries another worker", true
	}
	return "", false
}

// listedAfter reports whether the list of machines is newer than the registration of a worker, so
// that it does not show the worker that its machine had before.
func (s *Scheduler) listedAfter(id string) bool {
	w := s.workers[id]
	return w == nil || w.firstSeen.Before(s.machinesAsked)
}

// withLost adds the runs whose lease has ended to the record of an unresponsive worker, unless they are too
// many for it.
func (s *Scheduler) withLost(v UnresponsiveWorker) UnresponsiveWorker {
	e := s.lost[v.Worker]
	if e == nil || e.incarnation != v.Incarnation || s.tooManyToRecord(len(v.Runs)+len(e.runs)) {
		return v
	}
	for _, r := range e.runs {
		if r.present < crashes.Survival {
			v.Lost = append(v.Lost, UnconfirmedRun{r.task, r.number})
			if r.started {
				v.Begun = append(v.Begun, r.task)
			}
		}
	}
	return v
}

// restoreLost remembers the runs whose lease had ended under the previous owner.
func (s *Scheduler) restoreLost(w *workerState, v UnresponsiveWorker) {
	if len(v.Lost) == 0 || v.Incarnation == 0 || mutation.ignoreCrashes {
		return
	}
	e := &lostWorker{
		worker: v.Worker, rack: w.registration.Rack, pool: w.registration.Pool, machine: w.registration.Machine,
		incarnation: v.Incarnation, at: s.now,
	}
	for _, r := range v.Lost {
		e.runs = append(e.runs, lostRun{task: r.Task, number: r.Run, started: slices.Contains(v.Begun, r.Task)})
	}
	s.lost[v.Worker] = e
}

// reportRecorded reports a crash of a worker that has restarted since the previous owner recorded
// what may run there.
func (s *Scheduler) reportRecorded(w *workerState, v UnresponsiveWorker) {
	if v.Incarnation == 0 || w.registration.Incarnation < v.Incarnation || mutation.ignoreCrashes || s.endPlanned(w) {
		return
	}
	report := crashReport{worker: v.Worker, rack: w.registration.Rack, reason: "it has restarted"}
	for _, r := range v.Runs {
		if !slices.Contains(v.Survived, r.Task) {
			report.runs = append(report.runs, lostRun{task: r.Task, number: r.Run, started: slices.Contains(v.Begun, r.Task)})
		}
	}
	s.crashReports = append(s.crashReports, report)
}

// applyRecord takes over what the previous owner knew of a run: whether it had begun, whether it had
// outlived its start, and how long its lease may last.
func (w *workerState) applyRecord(u UnconfirmedRun, v UnresponsiveWorker) {
	if r := w.runs[u.Task]; r != nil && r.number == u.Run {
		r.usualLease = slices.Contains(v.UsualLease, u.Task)
		r.survived, r.begun = slices.Contains(v.Survived, u.Task), slices.Contains(v.Begun, u.Task)
	}
}
