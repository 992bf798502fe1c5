package slot

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// SetMinions replaces the minions of a service that this owner grants slots of. Grants of
// minions that are no longer owned stay until they end.
func (a *Allocator) SetMinions(now time.Time, service string, minions []Target) {
	s := a.service(service)
	named := make(map[string]bool, len(minions))
	for _, t := range minions {
		named[t.Name] = true
		a.own(now, s, t)
	}
	for _, name := range sortedKeys(s.minions) {
		if m := s.minions[name]; !named[name] && m.owned {
			m.owned = false
			m.ejectedUntil, m.history, m.failures = time.Time{}, 0, 0
			a.refresh(now, m)
		}
	}
	a.trimEjected(now, s)
}

func (a *Allocator) own(now time.Time, s *service, t Target) {
	m := a.minion(s, t.Name)
	if m.zone.name != t.Zone {
		set(&m.zone.free, m, m.inZone > 0, false)
		m.zone = s.zone(t.Zone)
	}
	m.slots, m.leaving = t.Slots, t.Leaving
	m.usable = min(m.usable, m.slots)
	if !m.owned && !m.adopted {
		if t.Inherited {
			m.quietUntil = now.Add(quietPeriod)
		}
		if !m.warm {
			m.slowStart(laterOf(now, m.quietUntil))
		}
	}
	m.owned, m.adopted, m.warm, m.known = true, false, false, true
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

// refresh applies what is due for the minion and plans its next change by time.
func (a *Allocator) refresh(now time.Time, m *minion) {
	m.tick(now)
	m.service.seat(now, m)
	due := m.nextChange(now)
	if m.forgettable(now) {
		due = time.Time{}
		delete(m.service.minions, m.name)
	}
	if !due.Equal(m.due) {
		m.due = due
		set(&a.due, m, m.inDue > 0, !due.IsZero())
	}
}

// forgettable tells whether nothing about the minion matters should it be owned again.
func (m *minion) forgettable(now time.Time) bool {
	return !m.owned && !m.adopted && m.inUse == 0 && !now.Before(m.leavingUntil) && !now.Before(m.quietUntil)
}

// judge applies the outcome of a grant to the minion's health.
func (a *Allocator) judge(now time.Time, m *minion, outcome Outcome) {
	switch outcome {
	case Leaving:
		m.leavingUntil = now.Add(leavingHold)
		a.refresh(now, m)
		a.trimEjected(now, m.service)
	case OK, Failed, Silent:
		if !m.ejected() && m.counted(now) && m.note(now, outcome != OK) && a.mayEject(now, m.service) {
			m.eject(now)
		}
	case Unused:
	}
	a.refresh(now, m)
}

func (a *Allocator) mayEject(now time.Time, s *service) bool {
	n, ejected := s.counted(now)
	return len(ejected) < a.rules.cap(n)
}

// trimEjected readmits the minions with the least time to go when fewer minions have
// lowered the cap.
func (a *Allocator) trimEjected(now time.Time, s *service) {
	n, ejected := s.counted(now)
	over := len(ejected) - a.rules.cap(n)
	if over <= 0 {
		return
	}
	slices.SortFunc(ejected, func(x, y *minion) int {
		return cmp.Or(x.ejectedUntil.Compare(y.ejectedUntil), cmp.Compare(x.name, y.name))
	})
	for _, m := range ejected[:over] {
		m.readmit(now)
		a.refresh(now, m)
	}
}

// sortedKeys gives loops over maps a fixed order, so that decisions are repeatable.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
