package scheduler

import (
	"time"
)

const (
	// firstPollRetry is the delay after the first unanswered poll: a single answer may be lost.
	// pollRetry is the delay after further ones.
	firstPollRetry = 50 * time.Millisecond
	pollRetry      = 250 * time.Millisecond
	// unsavedPoll is the interval between polls of a worker with an end that is not durable yet:
	// the worker lists that end again at once instead of waiting for the next one. A store that
	// answers fast has stored the end long before.
	unsavedPoll = 200 * time.Millisecond
	// startupWait is how long a poll waits while a long-running task starts up: the next task
	// of its step may be moved as soon as it has started up.
	startupWait = 300 * time.Millisecond
)

// planPoll polls a worker if a poll is due.
func (s *Scheduler) planPoll(w *workerState) {
	w.advanceDurableEnd()
	s.pollForProof(w)
	if w.replaced || w.polling || s.barred(w) || s.now.Before(w.nextPoll) {
		return
	}
	unknown := !w.answered || w.uncertain || w.hasUnknownRuns
	if !w.registered && len(w.runs) == 0 && !w.uncertain && s.recovered {
		return
	}
	news := w.durableEnd > w.acknowledgedEnd && !s.restricted
	if !unknown && !news && len(w.runs) == 0 {
		return
	}
	if !unknown && !news && len(w.unsavedEnds) > 0 && s.now.Sub(w.pollSent) < s.unsavedInterval() {
		return
	}
	poll := Poll{Worker: w.registration, Timeout: s.timeout(s.pollTimeout(w.unansweredPolls))}
	if news {
		// Without newly durable ends, the number would only make a new incarnation forget ends
		// of its own.
		poll.AckedEnd = w.durableEnd
	}
	poll.Fence = w.fence
	// The lease of a worker that does not answer is not extended, or its tasks could never be
	// started elsewhere. That of one which has restarted would be on the clock of the earlier
	// incarnation.
	if w.answered && !w.clockRead.IsZero() && len(w.runs) > 0 && (w.unansweredPolls == 0 || mutation.extendUnresponsive) {
		poll.Deadline = s.grant(w)
	}
	if !unknown && len(w.runs) > 0 && len(w.unsavedEnds) == 0 && w.unansweredPolls == 0 {
		poll.Wait = s.pollWait()
		if w.startingUp() {
			poll.Wait = startupWait
		}
		if w.serving > 0 && w.background > 0 {
			poll.Wait = min(poll.Wait, paceInterval)
		}
	}
	if left, waits := s.proofDue(w); waits {
		poll.Wait = min(poll.Wait, left)
	}
	s.poll(w, poll)
}

// unsavedInterval is the time between polls of a worker with an end that is not durable yet. Without
// starts, the ends that it lists meanwhile make room for nothing, so that polls only have to extend its
// lease.
func (s *Scheduler) unsavedInterval() time.Duration {
	if s.restricted && !s.restrictedStarts {
		return s.limits.PollWait
	}
	return unsavedPoll
}

// startingUp reports whether a long-running task is present and has not started up yet.
func (w *workerState) startingUp() bool {
	if w.longRunning == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.step.spec.LongRunning && r.state == present && r.percent < 100 {
			return true
		}
	}
	return false
}

func (s *Scheduler) poll(w *workerState, poll Poll) {
	w.sequence++
	poll.sequence = w.sequence
	w.polling, w.pollSent, w.pollFence = true, s.now, poll.Fence
	s.actions.Polls = append(s.actions.Polls, poll)
}

// grant extends the lease of a worker and returns its end on the worker's clock.
func (s *Scheduler) grant(w *workerState) time.Duration {
	w.granted = s.now
	since := s.now.Sub(w.clockRead)
	s.extendLease(w, s.limits.Lease+time.Duration(float64(since)*s.limits.MaxDrift)+clockResolution)
	return w.clock + since + s.limits.Lease
}

// extendLease notes that the runs of a worker may go on for d on its clock.
func (s *Scheduler) extendLease(w *workerState, d time.Duration) {
	if end := s.now.Add(s.leaseBound(d)); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// advanceDurableEnd moves durableEnd past the ends whose effects have become durable.
func (w *workerState) advanceDurableEnd() {
	for len(w.unsavedEnds) > 0 {
		u := w.unsavedEnds[0]
		if u.job != nil && u.job.saved < u.version && !mutation.acknowledgeEarly {
			return
		}
		w.durableEnd = u.number
		w.unsavedEnds = w.unsavedEnds[1:]
	}
}

// markCallUncertain handles a start or a stop without an answer. If other uncertain calls have raised
// the worker's fencing token since the call was sent, the poll that they caused resolves this one too.
func (s *Scheduler) markCallUncertain(w *workerState, c *claim) {
	if !c.sentBelow(w.fence) {
		s.markUncertain(w)
		return
	}
	s.changedWorkers[w] = true
	w.uncertain = true
}

// markUncertain raises the worker's fencing token: a run that a poll with the new token does not
// list was never started and never will be. That poll follows at once, in addition to the one in
// flight, unless the worker already does not answer: then the usual delays apply.
func (s *Scheduler) markUncertain(w *workerState) {
	s.changedWorkers[w] = true
	w.uncertain = true
	if !mutation.keepFence {
		w.setFence(w.fence + 1)
	}
	if w.unansweredPolls > 0 {
		return
	}
	w.sequence++
	w.polling, w.nextPoll = false, s.now
}

func (w *workerState) setFence(fence int64) {
	w.fence = fence
	w.newest.Store(fence)
}
