package scheduler

import "time"

// stop requests the end of a run. The run still counts against the capacity of the worker until
// the worker lists its end.
func (s *Scheduler) stop(r *run, reason string) {
	if r.state == stopping {
		return
	}
	if r.state == starting && r.confirmed.IsZero() {
		// The answer to the start is outstanding; the stop also prevents a start that arrives late.
		s.logEvent(LogEvent{Event: "stop-before-start", Job: r.step.job.spec.ID, Task: r.step.name(r.index), Worker: r.worker.registration.ID, Run: r.number})
	}
	r.state = stopping
	r.claim.withdraw()
	s.sendStop(r, reason)
}

func (s *Scheduler) sendStop(r *run, reason string) {
	r.stopSent = s.now
	s.orderStop(r.worker, r.key(), reason)
}

// orderStop tells a worker to end a run, unless the answer to an earlier stop of it is outstanding.
func (s *Scheduler) orderStop(w *workerState, key runKey, reason string) {
	if w.stops[key] != nil {
		return
	}
	c := new(claim)
	w.stops[key] = c
	s.actions.Stops = append(s.actions.Stops, Stop{
		Worker: w.registration, Task: key.task, Run: key.run, Reason: reason, Timeout: s.timeout(s.answerTimeout()), newest: w.newest, claim: c,
	})
}

// StopAnswered reports the answer to a stop. A stop that the worker has not accepted is sent again as
// long as it is needed.
func (s *Scheduler) StopAnswered(a Stop, answer StopAnswer, now time.Time) {
	s.now = now
	w := s.workers[a.Worker.ID]
	if w == nil {
		return
	}
	if key := (runKey{a.Task, a.Run}); w.stops[key] == a.claim {
		delete(w.stops, key)
	}
	r := w.runs[a.Task]
	if r == nil || r.number != a.Run || r.state != stopping {
		return
	}
	if answer.Result == StopAccepted {
		if r.stopSent = now; r.stopped.IsZero() {
			r.stopped = now
		}
		return
	}
	s.logEvent(LogEvent{Event: "stop-not-accepted", Job: a.Task.Job, Task: a.Task, Worker: a.Worker.ID, Run: a.Run, Reason: answer.Reason})
	s.noteFailedStop(w, a, answer.Result)
	if w.runs[a.Task] == r {
		s.sendStop(r, a.Reason)
	}
}

// noteFailedStop draws the conclusions about a worker from a stop that it has not accepted. Only a
// missing answer leaves open what the worker did; other results say nothing against it.
func (s *Scheduler) noteFailedStop(w *workerState, a Stop, result StopResult) {
	switch result {
	case StopUnanswered:
		s.markCallUncertain(w, a.claim)
	case StopFenced:
		if a.Fence >= w.fence {
			// Another owner has polled the worker.
			s.markUncertain(w)
		}
	case StopOtherIncarnation:
		if w.incarnation != 0 && w.answered {
			s.endIncarnation(w)
		}
	}
}

// enforceStop stops a listed run that no job needs, and repeats a stop that has had no effect: the
// run may have begun after its stop, in an incarnation of the worker that knows of none.
func (s *Scheduler) enforceStop(r *run) {
	if r.state != stopping {
		if !s.wanted(r) {
			s.stop(r, notWanted)
		}
		return
	}
	if r.worker.stops[r.key()] != nil || r.worker.pollSent.Sub(r.stopSent) <= s.limits.Stop+stopRepeatMargin {
		return
	}
	e := LogEvent{Event: "stop-repeated", Job: r.step.job.spec.ID, Task: r.step.name(r.index), Worker: r.worker.registration.ID, Run: r.number, Reason: "its worker has restarted since"}
	if !r.stopSent.IsZero() {
		e.Reason = "its worker still lists it"
		e.Waited, e.WaitReason = s.now.Sub(r.stopSent), "its end"
	}
	s.logEvent(e)
	s.sendStop(r, "run still listed")
}

// stopRepeatMargin covers the time from the decision to stop a run until the worker has carried
// out the stop, besides the time that it needs for that.
const stopRepeatMargin = 300 * time.Millisecond
