package scheduler

import (
	"fmt"
	"time"

	"egretdrum.example/worker"
)

// clockResolution is the resolution of the clock times in answers of workers.
const clockResolution = time.Millisecond

// maxClockAge is how long before a grant an owner has read the clock of the worker at most: polls are
// answered within this time, and a worker that does not answer gets no lease.
const maxClockAge = 2 * time.Second

// earliestClock is the lowest reading that the known incarnation of a worker can give in an answer to a
// call that was decided on at the given time.
func (s *Scheduler) earliestClock(w *workerState, sent time.Time) time.Duration {
	if sent.Before(w.clockRead) {
		return w.clock - s.now.Sub(sent) - clockResolution
	}
	since := sent.Sub(w.clockRead)
	return w.clock + since - time.Duration(float64(since)*s.limits.MaxDrift) - clockResolution
}

// noteStartAnswer evaluates the clock in the answer to a start. The clock of a newer incarnation may begin
// anywhere. If it is behind that of the known one, the lease of the start lasts longer there; if not, the
// lease is the usual one, whichever incarnation has answered.
func (s *Scheduler) noteStartAnswer(r *run, answer StartAnswer) {
	w := r.worker
	switch answer.Result {
	case StartNotSent, StartUnavailable, StartOtherIncarnation:
		return
	}
	switch earliest := s.earliestClock(w, r.sent); {
	case answer.Clock <= 0 || w.clockRead.IsZero():
		s.noteUnconfirmedGrant(w)
	case answer.Clock >= earliest:
		r.usualLease = true
	default:
		s.logEvent(LogEvent{
			Event: "worker-clock-began-anew", Job: r.step.job.spec.ID, Task: r.step.name(r.index), Worker: w.registration.ID, Run: r.number,
			Reason: fmt.Sprintf("answer to a start has the clock time %v, at least %v was expected", answer.Clock, earliest),
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
// and the first answer shows them the new incarnation. Calls are up to 12 s late, the longest lease is
// 10 s, and times of day differ by up to 10 s.
const knownIncarnationAge = 75 * time.Second

// coverPreviousOwner extends the lease of a worker that answers this owner for the first time: the
// previous owner may have granted one on the clock of an earlier incarnation. Owners start tasks by
// registrations of any age where workers enforce their capacity.
func (s *Scheduler) coverPreviousOwner(w *workerState, answer *worker.Listing) {
	known := !answer.Started.IsZero() && s.now.Sub(answer.Started) > knownIncarnationAge
	enforced := s.catalog == nil || s.catalog.EnforcesCapacity(w.registration.Pool)
	if (!known || enforced) && s.recoveryDeadline.After(w.leaseEnd) {
		w.leaseEnd = s.recoveryDeadline
	}
	// A previous owner without a confirmed lease may have extended the lease until this answer, but not
	// beyond the recovery deadline.
	end := s.now.Add(s.leaseBound(s.limits.Lease + time.Duration(float64(maxClockAge)*s.limits.MaxDrift) + clockResolution))
	if end.After(s.recoveryDeadline) {
		end = s.recoveryDeadline
	}
	if end.After(w.leaseEnd) && !mutation.ignoreLeaseBeforeAnswer {
		w.leaseEnd = end
	}
}

// endsWithUsualLease reports whether a run has ended by the end of the usual lease if its worker gets no
// other.
func (s *Scheduler) endsWithUsualLease(r *run) bool {
	return r.usualLease && !r.worker.leaseEnd.After(s.now.Add(s.leaseBound(s.limits.Lease)))
}

// mayOutliveLease reports whether a run may be present after the end of the lease of the known
// incarnation: its start may have been accepted by a newer one, or its answer is outstanding.
func (s *Scheduler) mayOutliveLease(r *run) bool {
	if r.usualLease {
		return false
	}
	return (r.awaitsAnswer && r.claim.sent()) || !s.now.After(r.worker.unseenLeaseEnd)
}
