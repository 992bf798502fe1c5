package slot

import "time"

// Stop ends granting permanently, for a planned stop of the host.
func (a *Allocator) Stop() { a.stopped = true }

// Table returns the outstanding grants and the health of the wanted minions, for their
// next owner. The caller must have given up their ownership or called Stop before.
func (a *Allocator) Table(now time.Time, wanted func(minion string) bool) Table {
	a.advance(now)
	var t Table
	for _, s := range a.serviceList {
		for _, name := range sortedKeys(s.minions) {
			if m := s.minions[name]; wanted(name) && m.everOwned {
				t.Minions = append(t.Minions, m.health(now))
			}
		}
	}
	for _, id := range sortedKeys(a.records) {
		if r := a.records[id]; wanted(r.minion.name) {
			t.Grants = append(t.Grants, OutstandingGrant{Grant: r.grant(), Age: now.Sub(r.grantedAt), Left: r.expiresAt.Sub(now), Bound: r.bound})
		}
	}
	return t
}

// Overdue returns the ids of the grants that are at least age old, by host.
func (a *Allocator) Overdue(now time.Time, age time.Duration) map[string][]uint64 {
	overdue := make(map[string][]uint64)
	for _, id := range sortedKeys(a.records) {
		if r := a.records[id]; now.Sub(r.grantedAt) >= age {
			overdue[r.hostDemand.host] = append(overdue[r.hostDemand.host], id)
		}
	}
	return overdue
}

func (m *minion) health(now time.Time) Health {
	remaining := func(t time.Time) time.Duration {
		if t.IsZero() {
			return 0
		}
		return max(0, t.Sub(now))
	}
	return Health{
		Service: m.service.name, Minion: m.name, Usable: m.usable, Owned: m.owned,
		Ejection: remaining(m.ejectedUntil), Leaving: remaining(m.leavingUntil), Quiet: remaining(m.quietUntil),
	}
}

// addClockMargin returns the time at which a period of another host's clock has surely passed,
// allowing for different clock rates. The period is capped at quietPeriod, so that repeated
// hand-overs do not prolong it without bound.
func addClockMargin(now time.Time, d time.Duration) time.Time {
	d = min(d, quietPeriod)
	return now.Add(d + time.Duration(clockMargin*float64(d)))
}

// Adopt takes over the table of the previous owner, before or after SetMinions lists its
// minions. These need no quiet period of their own and no slow start.
func (a *Allocator) Adopt(now time.Time, t Table) {
	for _, outstanding := range t.Grants {
		a.adoptGrant(now, outstanding)
	}
	for _, health := range t.Minions {
		m := a.minion(a.service(health.Service), health.Minion)
		m.ownershipAdopted, m.healthAdopted = !m.owned && health.Owned, true
		m.usable, m.growAt = health.Usable, now.Add(growInterval)
		m.quietUntil, m.ejectedUntil = time.Time{}, time.Time{}
		if health.Quiet > 0 {
			m.quietUntil = addClockMargin(now, health.Quiet)
		}
		if health.Ejection > 0 {
			m.ejectedUntil = now.Add(health.Ejection)
		}
		m.leavingUntil = laterOf(m.leavingUntil, now.Add(health.Leaving))
		if m.owned {
			m.usable = min(m.usable, m.slots)
		} else {
			m.slots = m.usable
		}
		a.refresh(now, m)
	}
	for _, s := range a.serviceList {
		a.trimEjected(now, s)
	}
}

func (a *Allocator) adoptGrant(now time.Time, outstanding OutstandingGrant) {
	g := outstanding.Grant
	if a.records[g.ID] != nil {
		return
	}
	f := a.flow(g.Service, g.Team)
	m := a.minion(f.service, g.Minion)
	class := ordinaryClass
	if g.Urgent {
		class = urgentClass
	}
	a.addGrant(now, &grantRecord{
		id: g.ID, flow: f, hostDemand: f.hostDemand(g.Host), minion: m, class: class,
		grantedAt: now.Add(-outstanding.Age), expiresAt: addClockMargin(now, outstanding.Left), bound: outstanding.Bound,
	})
}
