package scheduler

import (
	"fmt"
	"time"
)

// clockSign is what the clock in an answer says about the incarnation of a worker that gave it.
type clockSign int

const (
	// clockUnclear means that the answer may be that of the known incarnation or of a newer one.
	clockUnclear clockSign = iota
	// clockContinues means that the known incarnation has answered.
	clockContinues
	// clockBeganAnew means that a newer incarnation has answered.
	clockBeganAnew
)

// readClockSign compares the clock in an answer to a call that was decided on at the given time with
// the clock of the known incarnation. The clock of an incarnation that is newer than the last listing
// began after the request for that listing, and clocks may be slow, but not fast.
func (s *Scheduler) readClockSign(w *workerState, clock time.Duration, sent time.Time) clockSign {
	if clock <= 0 || w.clockRead.IsZero() {
		return clockUnclear
	}
	if clock > s.now.Sub(w.clockAsked) {
		return clockContinues
	}
	if clock < s.earliestClock(w, sent) {
		return clockBeganAnew
	}
	return clockUnclear
}

// earliestClock is the lowest reading that the known incarnation can give in an answer to a call that
// was decided on at the given time.
func (s *Scheduler) earliestClock(w *workerState, sent time.Time) time.Duration {
	if sent.Before(w.clockRead) {
		return w.clock - s.now.Sub(sent)
	}
	since := sent.Sub(w.clockRead)
	return w.clock + since - time.Duration(float64(since)*s.limits.MaxDrift)
}

// noteStartAnswer evaluates the clock in the answer to a start: a newer incarnation than the listed one
// takes the lease of the start for a far longer one.
func (s *Scheduler) noteStartAnswer(r *run, answer StartAnswer) {
	w := r.worker
	switch answer.Result {
	case StartNotSent, StartUnavailable, StartOtherIncarnation:
		return
	}
	switch s.readClockSign(w, answer.Clock, r.sent) {
	case clockContinues:
		r.inKnownIncarnation = true
	case clockUnclear:
		s.noteUnconfirmedGrant(w)
	case clockBeganAnew:
		s.logEvent(LogEvent{
			Event: "worker-clock-began-anew", Job: r.step.job.spec.ID, Task: r.step.name(r.index), Worker: w.registration.ID, Run: r.number,
			Reason: fmt.Sprintf("answer to a start has the clock time %v, at least %v was expected", answer.Clock, s.earliestClock(w, r.sent)),
		})
		s.noteUnconfirmedGrant(w)
		if w.answered {
			s.suspectNewIncarnation(w)
		}
	}
}

// noteUnconfirmedGrant extends the lease of runs in an incarnation that has not been listed yet, after
// a call with a lease that such an incarnation may have accepted until now.
func (s *Scheduler) noteUnconfirmedGrant(w *workerState) {
	if end := s.now.Add(s.leaseBound(s.limits.MaxLease)); end.After(w.unseenLeaseEnd) {
		w.unseenLeaseEnd = end
	}
}

// knownIncarnationAge is the age of an incarnation from which on no lease is left that an owner has
// granted on the clock of an earlier one. The earlier registration is removed after 4.5 s without a
// heartbeat, owners start nothing by registrations that are over 2.5 s old, or 2 s after their removal,
// and the first answer shows them the new incarnation. Calls are up to 12 s late, and the longest lease
// is 10 s.
const knownIncarnationAge = 60 * time.Second

// coverPreviousOwner extends the lease of a worker that answers this owner for the first time, with the
// given reading of its clock: the previous owner may have granted one on the clock of an earlier
// incarnation. Owners start tasks by registrations of any age where workers enforce their capacity.
func (s *Scheduler) coverPreviousOwner(w *workerState, clock time.Duration) {
	enforced := s.catalog == nil || s.catalog.EnforcesCapacity(w.registration.Pool)
	if (clock < knownIncarnationAge || enforced) && s.recoveryDeadline.After(w.leaseEnd) {
		w.leaseEnd = s.recoveryDeadline
	}
}

// usualLease reports whether a run has ended by the end of the usual lease if its worker gets no other.
func (s *Scheduler) usualLease(r *run) bool {
	return r.inKnownIncarnation && !r.worker.leaseEnd.After(s.now.Add(s.leaseBound(s.limits.Lease)))
}

// mayOutliveLease reports whether a run may be present after the end of the lease of the known
// incarnation: its start may have been accepted by a newer one, or its answer is outstanding.
func (s *Scheduler) mayOutliveLease(r *run) bool {
	if r.inKnownIncarnation {
		return false
	}
	return (r.awaitsAnswer && r.claim.sent()) || !s.now.After(r.worker.unseenLeaseEnd)
}
