package scheduler

import "time"

// suspectNewIncarnation polls a worker whose registration says that it has restarted. Only its
// listing distinguishes the runs that were lost from those that it was ordered to start since.
func (s *Scheduler) suspectNewIncarnation(w *workerState) {
	w.answered = false
	s.dropUnsent(w, restartedReason)
	s.markUncertain(w)
	w.polling, w.nextPoll = false, s.now
}

// restartedReason is why starts for an earlier incarnation of a worker are withdrawn: their leases
// are on the clock of that incarnation.
const restartedReason = "worker has restarted"

// coverEarlierClock extends the lease of a worker by the longest one that workers grant while it may
// have accepted a lease on the clock of an earlier incarnation: its clock has begun anew, so that it
// takes the lease for a far longer one.
func (s *Scheduler) coverEarlierClock(w *workerState) {
	if w.clockFence == 0 {
		return
	}
	s.extendLease(w, s.limits.MaxLease)
	if w.pollFence >= w.clockFence {
		w.clockFence = 0
	}
}

// dropUnsent withdraws the starts for a worker that wait to be sent.
func (s *Scheduler) dropUnsent(w *workerState, reason string) {
	for _, r := range w.sortedRuns() {
		if r.state == starting && r.claim.withdraw() {
			s.drop(r, reason)
		}
	}
}

// newIncarnation handles a worker that has restarted: its numbers of ends and its clock begin
// anew. Runs that its listing does not have are gone, as is any run that was present before.
// Calls that are still in flight have a lower fencing token.
func (s *Scheduler) newIncarnation(w *workerState, incarnation int64) {
	s.logEvent(LogEvent{Event: "worker-restarted", Worker: w.registration.ID, AffectedCount: len(w.runs)})
	w.incarnation = incarnation
	s.bar(w)
	s.dropUnsent(w, restartedReason)
	w.setFence(w.fence + 1)
	if !w.granted.IsZero() {
		w.clockFence = w.fence
	}
	w.granted = time.Time{}
	w.processedEnd, w.durableEnd, w.acknowledgedEnd, w.unsavedEnds, w.furtherEnds = 0, 0, 0, nil, false
	for _, r := range w.runs {
		// Stops were for the earlier incarnation. A run that this one lists is stopped again.
		r.stopped, r.stopSent = time.Time{}, time.Time{}
	}
}

// endIncarnation handles a worker whose address is now used by another one: all of its runs are
// lost.
func (s *Scheduler) endIncarnation(w *workerState) {
	s.reportCrash(w, w.sortedRuns(), "another worker has its address")
	s.newIncarnation(w, 0)
	w.answered, w.uncertain = false, false
	w.clockRead, w.clockFence = time.Time{}, 0
	w.polling, w.nextPoll = false, s.now.Add(pollRetry)
	w.sequence++
	w.ignoredUpTo = w.sequence
	for _, r := range w.sortedRuns() {
		s.drop(r, "another worker has its address")
	}
}

// replace handles a worker whose machine now runs another one.
func (s *Scheduler) replace(w *workerState) {
	s.logEvent(LogEvent{Event: "worker-replaced", Worker: w.registration.ID, AffectedCount: len(w.runs)})
	s.reportCrash(w, w.sortedRuns(), w.registration.Machine+" carries another worker")
	w.replaced, w.answered = true, false
	s.bar(w)
	w.sequence++
	w.ignoredUpTo = w.sequence
	delete(s.recoveryWorkers, w.registration.ID)
	for _, r := range w.sortedRuns() {
		s.drop(r, "machine runs another worker")
	}
}
