package slot

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// SetMinions replaces the set of a service's minions that this host owns. Grants on minions
// that it no longer owns are kept until they end.
func (a *Allocator) SetMinions(now time.Time, service string, minions []Target) {
	s := a.service(service)
	listed := make(map[string]bool, len(minions))
	for _, target := range minions {
		listed[target.Name] = true
		a.applyTarget(now, s, target)
	}
	for _, name := range sortedKeys(s.minions) {
		if m := s.minions[name]; !listed[name] && m.owned {
			m.owned = false
			m.ejectedUntil, m.history, m.consecutiveFailures = time.Time{}, 0, 0
			a.refresh(now, m)
		}
	}
	a.trimEjected(now, s)
}

func (a *Allocator) applyTarget(now time.Time, s *service, target Target) {
	m := a.minion(s, target.Name)
	if m.zone.name != target.Zone {
		updateHeap(&m.zone.free, m, m.zonePosition > 0, false)
		m.zone = s.zone(target.Zone)
	}
	m.slots, m.leaving = target.Slots, target.Leaving
	m.usable = min(m.usable, m.slots)
	if !m.owned && !m.ownershipAdopted {
		if target.Inherited {
			m.quietUntil = now.Add(quietPeriod)
		}
		if !m.healthAdopted {
			m.slowStart(laterOf(now, m.quietUntil))
		}
	}
	m.owned, m.ownershipAdopted, m.healthAdopted, m.everOwned = true, false, false, true
	a.refresh(now, m)
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (a *Allocator) minion(s *service, name string) *minion {
	m := s.minions[name]
	if m == nil {
		m = &minion{name: name, service: s, zone: s.zone("")}
		s.minions[name] = m
	}
	return m
}

// refresh applies the timed changes that are due for the minion and schedules the next one.
func (a *Allocator) refresh(now time.Time, m *minion) {
	m.advance(now)
	m.service.updateFree(now, m)
	next := m.nextChange(now)
	if m.removable(now) {
		next = time.Time{}
		delete(m.service.minions, m.name)
	}
	if !next.Equal(m.nextChangeAt) {
		m.nextChangeAt = next
		updateHeap(&a.minionTimers, m, m.timerPosition > 0, !next.IsZero())
	}
}

// removable reports whether the minion has no state that would matter if this host owned it
// again.
func (m *minion) removable(now time.Time) bool {
	return !m.owned && !m.ownershipAdopted && m.inUse == 0 && !now.Before(m.leavingUntil) && !now.Before(m.quietUntil)
}

// applyOutcome applies the outcome of a grant to the health of its minion.
func (a *Allocator) applyOutcome(now time.Time, m *minion, outcome Outcome) {
	switch outcome {
	case Leaving:
		m.leavingUntil = now.Add(leavingPeriod)
		a.refresh(now, m)
		a.trimEjected(now, m.service)
	case OK, Failed, Unresponsive:
		if !m.ejected() && m.countsForCap(now) && m.recordOutcome(now, outcome != OK) && a.mayEject(now, m.service) {
			m.eject(now)
		}
	case Unused:
	}
	a.refresh(now, m)
}

func (a *Allocator) mayEject(now time.Time, s *service) bool {
	n, ejected := s.ejectionCounts(now)
	return len(ejected) < a.rules.ejectionCap(n)
}

// trimEjected readmits ejected minions, those with the least ejection time left first, when
// the cap has dropped because fewer minions count.
func (a *Allocator) trimEjected(now time.Time, s *service) {
	n, ejected := s.ejectionCounts(now)
	excess := len(ejected) - a.rules.ejectionCap(n)
	if excess <= 0 {
		return
	}
	slices.SortFunc(ejected, func(x, y *minion) int {
		return cmp.Or(x.ejectedUntil.Compare(y.ejectedUntil), cmp.Compare(x.name, y.name))
	})
	for _, m := range ejected[:excess] {
		m.readmit(now)
		a.refresh(now, m)
	}
}

// sortedKeys gives loops over maps a fixed order, so that decisions are reproducible.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
