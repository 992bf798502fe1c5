package scheduler

import (
	"time"

	"egretdrum.example/worker"
)

// findCrashed handles the workers whose machine is down in a list of machines that was requested
// at the given time. The platform lists the machines of workers that are only unreachable as up.
func (s *Scheduler) findCrashed(asked time.Time) {
	for _, w := range s.sortedWorkers {
		m := s.machines[w.registration.Machine]
		if m != nil && m.State == worker.Down && !w.replaced && !w.heardSince(asked) {
			s.crash(w)
		}
	}
}

// heardSince reports whether the registration of the worker, an answer of it or an order for it
// is newer than a list of machines: the worker may have restarted since.
func (w *workerState) heardSince(asked time.Time) bool {
	if !w.firstSeen.Before(asked) || !w.clockRead.Before(asked) {
		return true
	}
	for _, r := range w.runs {
		if !r.sent.Before(asked) || !r.confirmed.Before(asked) {
			return true
		}
	}
	return false
}

// crash drops the runs of a worker whose machine is down: it has lost them and the ends that it
// listed. A start that is still in flight has a lower fencing token than the next poll.
func (s *Scheduler) crash(w *workerState) {
	delete(s.recoveryWorkers, w.registration.ID)
	if len(w.runs) == 0 && !w.answered {
		return
	}
	s.logEvent(LogEvent{Event: "worker-crashed", Worker: w.registration.ID, AffectedCount: len(w.runs), Reason: w.registration.Machine + " is down"})
	s.reportCrash(w, w.sortedRuns(), w.registration.Machine+" is down")
	s.bar(w)
	w.leaseExpired = true
	w.setFence(w.fence + 1)
	w.uncertain, w.answered = false, false
	w.unansweredPolls = max(1, w.unansweredPolls)
	for _, r := range w.sortedRuns() {
		s.drop(r, "machine is down")
	}
}
