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

// checkStartClock compares the clock in the answer to a start with that of the known incarnation.
func (s *Scheduler) checkStartClock(r *run, clock time.Duration) clockSign {
	sign := s.readClockSign(r.worker, clock, r.sent)
	if sign == clockBeganAnew {
		s.logEvent(LogEvent{
			Event: "worker-clock-began-anew", Job: r.step.job.spec.ID, Task: r.step.name(r.index), Worker: r.worker.registration.ID, Run: r.number,
			Reason: fmt.Sprintf("answer to a start has the clock time %v, at least %v was expected", clock, s.earliestClock(r.worker, r.sent)),
		})
	}
	return sign
}
