package slot

import "time"

// HandOver stops granting and returns the outstanding grants and the health of the
// minions for the next owner.
func (a *Allocator) HandOver(now time.Time) Table {
	a.advance(now)
	a.stopped = true
	var t Table
	for _, s := range a.list {
		for _, name := range sortedKeys(s.minions) {
			m := s.minions[name]
			if m.owned {
				t.Minions = append(t.Minions, m.standing())
			}
		}
	}
	for _, id := range sortedKeys(a.records) {
		r := a.records[id]
		t.Grants = append(t.Grants, Held{Grant: r.grant(r.ends), Zone: r.minion.zone.name, Granted: r.granted, Bound: r.bound})
	}
	return t
}

func (m *minion) standing() Standing {
	return Standing{
		Service: m.service.name, Minion: m.name, Usable: m.usable,
		EjectedUntil: m.ejectedUntil, LeavingUntil: m.leavingUntil, QuietUntil: m.quietUntil,
	}
}

// Adopt takes over the table of the former owner, before or after SetMinions names its
// minions. These need no quiet period of their own and no slow start.
func (a *Allocator) Adopt(now time.Time, t Table) {
	for _, h := range t.Grants {
		a.adoptGrant(now, h)
	}
	for _, st := range t.Minions {
		m := a.minion(a.service(st.Service), st.Minion)
		m.adopted = !m.owned
		m.usable, m.growAt = st.Usable, now.Add(growStep)
		m.quietUntil, m.ejectedUntil, m.leavingUntil = st.QuietUntil, st.EjectedUntil, laterOf(m.leavingUntil, st.LeavingUntil)
		if m.owned {
			m.usable = min(m.usable, m.slots)
		} else {
			m.slots = m.usable
		}
		a.refresh(now, m)
	}
	for _, s := range a.list {
		a.trimEjected(now, s)
	}
}

func (a *Allocator) adoptGrant(now time.Time, h Held) {
	if a.records[h.ID] != nil {
		return
	}
	f := a.flow(h.Service, h.Team)
	m := a.minion(f.service, h.Minion)
	class := ordinaryClass
	if h.Urgent {
		class = urgentClass
	}
	a.hold(now, &record{id: h.ID, flow: f, claim: f.claimant(h.Host), minion: m, class: class, granted: h.Granted, ends: h.Expiry, bound: h.Bound})
}
