// Package slot allocates the request slots of minions to entry hosts. For each minion a
// single entry host, the slot owner, grants the slots. This keeps the number of slots in
// use within the limit, and makes the teams' shares exact over all senders.
package slot

import "egretdrum.example/heap"

import "time"

// ejectablePercent is the percentage of a service's minions that may be ejected at a time.
// When more fail, they have a common cause, which ejecting all of them would not remove.
const ejectablePercent = 30

// maxUrgentLead is the slot time in seconds by which a team's urgent demand may exceed the
// team's share.
const maxUrgentLead = 1.0

// Allocator grants the slots of the minions that this host owns. It is not safe for
// concurrent use; only the control loop of the host calls it.
type Allocator struct {
	services     map[string]*service
	serviceList  []*service // in order of creation, so that decisions are reproducible
	shares       map[string]int64
	records      map[uint64]*grantRecord
	expiry       timingWheel
	minionTimers heap.Heap[*minion]
	freeRecords  []*grantRecord
	grantBuffer  []Grant
	nextID       uint64
	lastAccrual  time.Time
	accruedFlows []*flow
	stopped      bool
	rules        rules
}

// rules holds the allocation rules as functions and limits, so that mutation tests can
// disable single ones and check that the violation is detected.
type rules struct {
	usableSlots    func(m *minion) int
	ineligible     func(m *minion, now time.Time) bool
	ejectionCap    func(minions int) int
	resumeAt       func(own, minimum float64) float64
	slotTime       func(now time.Time, r *grantRecord) float64
	boundExpiry    func(now, deadline time.Time) time.Time
	unboundTimeout time.Duration
	maxUrgentLead  float64
	maxUrgentRun   int
}

// New returns an Allocator that has no minions yet.
func New(cfg Config) *Allocator {
	return &Allocator{
		services: make(map[string]*service),
		records:  make(map[uint64]*grantRecord),
		minionTimers: heap.Heap[*minion]{
			Less:     func(a, b *minion) bool { return a.nextChangeAt.Before(b.nextChangeAt) },
			Position: func(m *minion) *int32 { return &m.timerPosition },
		},
		nextID: cfg.FirstID,
		rules: rules{
			usableSlots:    func(m *minion) int { return m.usable },
			ineligible:     (*minion).ineligible,
			ejectionCap:    func(n int) int { return max(1, n*ejectablePercent/100) },
			resumeAt:       func(own, minimum float64) float64 { return max(own, minimum) },
			slotTime:       func(now time.Time, r *grantRecord) float64 { return max(0, now.Sub(r.grantedAt)).Seconds() },
			boundExpiry:    expiryWithMargin,
			unboundTimeout: quietPeriod,
			maxUrgentLead:  maxUrgentLead,
			maxUrgentRun:   maxUrgentRun,
		},
	}
}

// SetShares sets the weights of the teams. A team without a share has the minimum weight
// of 1. Its state is dropped when it has no demand, which bounds the memory.
func (a *Allocator) SetShares(shares map[string]int64) {
	a.shares = shares
	for _, s := range a.serviceList {
		for _, team := range sortedKeys(s.flows) {
			f := s.flows[team]
			f.weight = a.weight(f.team)
			s.updateOrder(f)
			if _, hasShare := shares[team]; !hasShare && len(f.hosts) == 0 {
				delete(s.flows, team)
			}
		}
	}
}

// Demand replaces the demand that a host last reported for a service and team.
func (a *Allocator) Demand(_ time.Time, d Demand) {
	f := a.flow(d.Service, d.Team)
	h := f.hostDemand(d.Host)
	h.zone, h.excluded = d.Zone, d.Excluded
	f.adjust(h, urgentClass, d.Urgent-h.waiting[urgentClass], 0)
	f.adjust(h, ordinaryClass, d.Ordinary-h.waiting[ordinaryClass], 0)
	if h.waiting == [classes]int{} && h.pending == [classes]int{} {
		f.removeHost(h)
	}
}

// Grants returns the grants to send now. The slice is valid until the next call.
func (a *Allocator) Grants(now time.Time) []Grant {
	a.advance(now)
	a.grantBuffer = a.grantBuffer[:0]
	if a.stopped {
		return a.grantBuffer
	}
	for _, s := range a.serviceList {
		for c, ok := s.choose(); ok; c, ok = s.choose() {
			a.grantBuffer = append(a.grantBuffer, a.issue(now, c))
		}
		s.unblock()
	}
	return a.grantBuffer
}

// Free returns the number of slots of the service that can be granted now. Senders prefer
// owners with more free slots.
func (a *Allocator) Free(service string) (n int) {
	s := a.services[service]
	if s == nil {
		return 0
	}
	for _, z := range s.zones {
		for _, m := range z.free.Items {
			n += a.rules.usableSlots(m) - m.inUse
		}
	}
	return n
}

// Bind records that the sender uses a grant for a request with this deadline. It returns
// false if the grant has ended.
func (a *Allocator) Bind(now time.Time, id uint64, deadline time.Time) bool {
	r := a.records[id]
	if r == nil {
		return false
	}
	a.bind(now, r, deadline)
	return true
}

// Release ends a grant. A grant that has ended already is ignored.
func (a *Allocator) Release(now time.Time, id uint64, outcome Outcome) {
	if r := a.records[id]; r != nil {
		a.endGrant(now, r, outcome)
	}
}

// Report applies an outcome to the health of a grant's minion without ending the grant.
// It is for a request that got no usable response and may still be running.
func (a *Allocator) Report(now time.Time, id uint64, outcome Outcome) {
	if r := a.records[id]; r != nil {
		a.applyOutcome(now, r.minion, outcome)
	}
}

// DropHost removes the demand of a host that left or is suspected to have failed. Its
// unbound grants are kept until the latest deadline that the host may have bound them to.
func (a *Allocator) DropHost(now time.Time, host string) {
	for _, s := range a.serviceList {
		for _, team := range sortedKeys(s.flows) {
			f := s.flows[team]
			for _, h := range f.hosts {
				if h.host == host {
					f.removeHost(h)
					break
				}
			}
		}
	}
	for _, id := range sortedKeys(a.records) {
		r := a.records[id]
		if r.hostDemand.host == host && !r.bound {
			a.bind(now, r, now.Add(maxTimeout))
		}
	}
}

func (a *Allocator) issue(now time.Time, c choice) Grant {
	f := c.flow
	r := a.newRecord()
	*r = grantRecord{id: a.nextID, flow: f, hostDemand: c.hostDemand, minion: c.minion, class: c.class, chargedTime: f.meanSlotTime, grantedAt: now, expiresAt: now.Add(a.rules.unboundTimeout)}
	a.nextID++
	f.urgentRun++
	if c.class == ordinaryClass {
		f.urgentRun = 0
	}
	f.charge(r.chargedTime)
	a.addGrant(now, r)
	return r.grant()
}

func (r *grantRecord) grant() Grant {
	return Grant{
		ID: r.id, Host: r.hostDemand.host, Service: r.flow.service.name, Team: r.flow.team,
		Urgent: r.class == urgentClass, Minion: r.minion.name,
	}
}

// advance ends expired grants and applies the timed changes of minions that are due.
func (a *Allocator) advance(now time.Time) {
	for r := a.expiry.expired(now); r != nil; r = a.expiry.expired(now) {
		a.endGrant(now, r, Unused)
	}
	a.accrue(now)
	for len(a.minionTimers.Items) > 0 && !now.Before(a.minionTimers.Items[0].nextChangeAt) {
		a.refresh(now, a.minionTimers.Items[0])
	}
}

func (a *Allocator) service(name string) *service {
	s := a.services[name]
	if s == nil {
		s = newService(name, &a.rules)
		a.services[name] = s
		a.serviceList = append(a.serviceList, s)
	}
	return s
}

func (a *Allocator) flow(service, team string) *flow {
	s := a.service(service)
	f := s.flows[team]
	if f == nil {
		f = &flow{service: s, team: team, weight: a.weight(team), meanSlotTime: initialSlotTime}
		s.flows[team] = f
	}
	return f
}

func (a *Allocator) weight(team string) float64 { return float64(max(1, a.shares[team])) }
