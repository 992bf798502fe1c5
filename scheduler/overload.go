package scheduler

import "time"

// An owner without enough CPU time processes answers late and sends calls late. It must not
// conclude that the workers do not answer: the leases of their runs would expire and the tasks
// would be started elsewhere, which costs still more time. While it lags, it reduces its work in
// this order: new starts, planning of machines, and polls that only report ends sooner.
// Polls renew the leases of what runs, so they go on, with longer timeouts.
const (
	// minEventDelay is the delay below which an owner counts as keeping up. The delay is smaller
	// on a host that gets its CPU time in slices of a tenth of a second.
	minEventDelay = 120 * time.Millisecond
	// noStartsDelay is the delay from which on no task is started. A poll whose request and
	// answer are each late by that much still renews a lease in time.
	noStartsDelay = 300 * time.Millisecond
	// minWindow and maxWindow bound the start window: the number of unanswered starts that an
	// owner may have. The window is halved when the owner lags and starts are the cause, at most
	// once in windowPause. It grows by the factor windowGrowth in that time while it is full and
	// the owner keeps up.
	minWindow    = 32
	maxWindow    = 4096
	windowPause  = 250 * time.Millisecond
	windowGrowth = 1.5
	// maxPollPause bounds the pause before the next poll, in which more ends accumulate. The
	// lease of a worker lasts several times as long.
	maxPollPause = 600 * time.Millisecond
	// timeoutFactor times the delay is added to the timeout of a call: the request and its
	// answer are both late. maxTimeout bounds the addition, so that the answer to a poll arrives
	// within the lease.
	timeoutFactor = 2
	maxTimeout    = 1200 * time.Millisecond
)

// SetEventDelay reports how late the owner processes events, zero if it keeps up. It is called
// before each Tick.
func (s *Scheduler) SetEventDelay(d time.Duration, now time.Time) {
	if d < minEventDelay {
		d = 0
	}
	s.eventDelay = d
	if now.Sub(s.windowChanged) < windowPause {
		return
	}
	switch {
	case d > 0 && s.unansweredStarts >= minWindow:
		s.startWindow = max(minWindow, min(s.startWindow, s.unansweredStarts)/2)
	case s.startWindow < maxWindow && s.windowFull:
		s.startWindow = min(maxWindow, int(windowGrowth*float64(s.startWindow))+1)
	default:
		return
	}
	s.windowChanged, s.windowFull = now, false
}

// pollPause is the pause between an answered poll and the next one.
func (s *Scheduler) pollPause() time.Duration { return min(s.eventDelay, maxPollPause) }

// timeout extends the usual timeout of a call by the delay of the owner.
func (s *Scheduler) timeout(usual time.Duration) time.Duration {
	return usual + min(timeoutFactor*s.eventDelay, maxTimeout)
}

// startsHeld reports whether no further tasks are started for now.
func (s *Scheduler) startsHeld() bool {
	if s.eventDelay >= noStartsDelay || s.zonesUnknown || (s.restricted && !s.restrictedStarts) {
		return true
	}
	full := s.unansweredStarts >= s.startWindow
	s.windowFull = s.windowFull || full
	return full
}
