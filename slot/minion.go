package slot

import (
	"math/bits"
	"time"
)

const (
	// growInterval is the time without failure after which slow start adds one slot.
	growInterval = 500 * time.Millisecond
	// A minion is ejected after consecutiveFailureLimit failures in a row, or failureLimit
	// failures in its last historyLength outcomes. The length of successive ejections doubles
	// from minEjection up to maxEjection.
	consecutiveFailureLimit = 3
	failureLimit            = 6
	historyLength           = 10
	minEjection             = time.Second
	maxEjection             = time.Minute
	// leavingPeriod is the time for which a minion gets no grants after a sender saw a sign of
	// leaving. It covers the delay until the host list shows that.
	leavingPeriod = 30 * time.Second
)

// minion is the owner's view of a minion: its slots and its health.
type minion struct {
	name    string
	zone    *zone
	service *service
	slots   int
	usable  int
	inUse   int

	// ownershipAdopted is set for a minion that a previous owner handed over as owned until
	// SetMinions lists it.
	owned, leaving, ownershipAdopted bool
	// everOwned is set once this host has owned the minion and has state to hand over.
	// healthAdopted is set if a previous owner handed over the minion's health, so that it
	// needs no slow start.
	everOwned, healthAdopted bool
	leavingUntil             time.Time
	quietUntil               time.Time

	ejectedUntil        time.Time // zero unless ejected
	lastEjection        time.Duration
	history             uint16
	consecutiveFailures int
	growAt              time.Time

	nextChangeAt                time.Time // time of the next timed change; zero if there is none
	zonePosition, timerPosition int32     // in the heaps of the zone and the Allocator
}

func (m *minion) ejected() bool { return !m.ejectedUntil.IsZero() }

func (m *minion) departing(now time.Time) bool { return m.leaving || now.Before(m.leavingUntil) }

// ineligible reports whether the minion must not get any grant.
func (m *minion) ineligible(now time.Time) bool {
	return !m.owned || m.ejected() || m.departing(now) || now.Before(m.quietUntil)
}

// countsForCap reports whether the minion counts towards the ejection cap.
func (m *minion) countsForCap(now time.Time) bool { return m.owned && !m.departing(now) }

func (m *minion) slowStart(at time.Time) {
	m.usable = min(1, m.slots)
	m.growAt = at.Add(growInterval)
}

// advance applies the timed changes that are due: the end of an ejection and the growth of
// slow start.
func (m *minion) advance(now time.Time) {
	if m.ejected() && !now.Before(m.ejectedUntil) {
		m.readmit(now)
	}
	for !m.ejected() && m.recovering() && !now.Before(m.growAt) {
		if m.usable >= m.slots {
			m.lastEjection = 0
		}
		m.usable = min(m.usable+1, m.slots)
		m.growAt = m.growAt.Add(growInterval)
	}
}

// recovering reports whether slow start is under way. It stays true for one growInterval
// after all slots are usable, so that a minion with a single slot, too, has to work for some
// time before the next ejection is a short one again.
func (m *minion) recovering() bool { return m.usable < m.slots || m.lastEjection > 0 }

func (m *minion) readmit(now time.Time) {
	m.ejectedUntil = time.Time{}
	m.history, m.consecutiveFailures = 0, 0
	m.slowStart(now)
}

// recordOutcome records an outcome and reports whether the minion is to be ejected as an
// outlier.
func (m *minion) recordOutcome(now time.Time, failed bool) bool {
	m.history = m.history << 1 & (1<<historyLength - 1)
	if !failed {
		m.consecutiveFailures = 0
		return false
	}
	m.history |= 1
	m.consecutiveFailures++
	m.growAt = now.Add(growInterval)
	return m.consecutiveFailures >= consecutiveFailureLimit || bits.OnesCount16(m.history) >= failureLimit
}

func (m *minion) eject(now time.Time) {
	m.lastEjection = min(max(2*m.lastEjection, minEjection), maxEjection)
	m.ejectedUntil = now.Add(m.lastEjection)
}

// nextChange returns the earliest time after now at which advance has something to do or the
// result of ineligible changes. It returns zero if there is none.
func (m *minion) nextChange(now time.Time) (next time.Time) {
	consider := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	consider(m.ejectedUntil)
	consider(m.leavingUntil)
	consider(m.quietUntil)
	if m.recovering() && !m.ejected() {
		consider(m.growAt)
	}
	return next
}
