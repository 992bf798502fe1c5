package slot

import (
	"math/bits"
	"time"
)

const (
	// growStep is the time without failure after which a minion gets one more slot.
	growStep = 500 * time.Millisecond
	// failureRun and failureMajority of the last historyLength outcomes eject a minion.
	failureRun      = 3
	failureMajority = 6
	historyLength   = 10
	firstEjection   = time.Second
	longestEjection = time.Minute
	// leavingHold covers the delay of the host list after a sender's sign of leaving.
	leavingHold = 30 * time.Second
)

// minion is a back end with the slots and the health that its owner sees.
type minion struct {
	name    string
	zone    *zone
	service *service
	slots   int
	usable  int
	inUse   int

	owned, leaving, adopted bool
	// known is set once this host has owned the minion and has something to pass on.
	// warm tells that a former owner passed its health on, so that no slow start is due.
	known, warm  bool
	leavingUntil time.Time
	quietUntil   time.Time

	ejectedUntil time.Time // zero unless ejected
	ejection     time.Duration
	history      uint16
	failures     int // in a row
	growAt       time.Time

	due           time.Time // of the next change that time alone makes
	inZone, inDue int32
}

func (m *minion) ejected() bool { return !m.ejectedUntil.IsZero() }

func (m *minion) departing(now time.Time) bool { return m.leaving || now.Before(m.leavingUntil) }

// barred tells whether the minion must not get any grant.
func (m *minion) barred(now time.Time) bool {
	return !m.owned || m.ejected() || m.departing(now) || now.Before(m.quietUntil)
}

// counted tells whether the minion counts for the ejection cap.
func (m *minion) counted(now time.Time) bool { return m.owned && !m.departing(now) }

func (m *minion) slowStart(at time.Time) {
	m.usable = min(1, m.slots)
	m.growAt = at.Add(growStep)
}

// tick applies what is due by time: the end of an ejection and the growth of slow start.
func (m *minion) tick(now time.Time) {
	if m.ejected() && !now.Before(m.ejectedUntil) {
		m.readmit(now)
	}
	for !m.ejected() && m.recovering() && !now.Before(m.growAt) {
		if m.usable >= m.slots {
			m.ejection = 0
		}
		m.usable = min(m.usable+1, m.slots)
		m.growAt = m.growAt.Add(growStep)
	}
}

// recovering stays true for one step after the last slot has grown, so that a minion
// with a single slot also has to work for some time before its ejections start anew.
func (m *minion) recovering() bool { return m.usable < m.slots || m.ejection > 0 }

func (m *minion) readmit(now time.Time) {
	m.ejectedUntil = time.Time{}
	m.history, m.failures = 0, 0
	m.slowStart(now)
}

// note records an outcome and reports whether the minion is an outlier.
func (m *minion) note(now time.Time, failed bool) bool {
	m.history = m.history << 1 & (1<<historyLength - 1)
	if !failed {
		m.failures = 0
		return false
	}
	m.history |= 1
	m.failures++
	m.growAt = now.Add(growStep)
	return m.failures >= failureRun || bits.OnesCount16(m.history) >= failureMajority
}

func (m *minion) eject(now time.Time) {
	m.ejection = min(max(2*m.ejection, firstEjection), longestEjection)
	m.ejectedUntil = now.Add(m.ejection)
}

// nextChange returns the earliest time after now at which tick or barred change.
func (m *minion) nextChange(now time.Time) (next time.Time) {
	sooner := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	sooner(m.ejectedUntil)
	sooner(m.leavingUntil)
	sooner(m.quietUntil)
	if m.recovering() && !m.ejected() {
		sooner(m.growAt)
	}
	return next
}
