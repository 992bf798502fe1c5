package slot

import (
	"slices"
	"time"

	"egretdrum.example/heap"
)

// service holds the minions and the demand of one service. Services share no minions, so
// each has its own order of flows.
type service struct {
	name    string
	rules   *rules
	minions map[string]*minion
	zones   []*zone
	flows   map[string]*flow
	order   heap.Heap[*flow] // by virtual time
	urgent  heap.Heap[*flow] // flows whose next grant is urgent, by leadStart
	blocked []*flow          // flows with demand that no free minion can serve now
}

// zone holds the minions of an availability zone that can get a grant, least loaded first.
type zone struct {
	name string
	free heap.Heap[*minion]
}

func newService(name string, r *rules) *service {
	return &service{
		name: name, rules: r,
		minions: make(map[string]*minion), flows: make(map[string]*flow),
		order: heap.Heap[*flow]{
			Less:     func(a, b *flow) bool { return a.virtualTime < b.virtualTime },
			Position: func(f *flow) *int32 { return &f.orderPosition },
		},
		urgent: heap.Heap[*flow]{
			Less:     func(a, b *flow) bool { return a.leadStart() < b.leadStart() },
			Position: func(f *flow) *int32 { return &f.urgentPosition },
		},
	}
}

// leadStart returns the virtual time that the first flow of the order must have reached
// before this flow's urgent demand may be served ahead of the order.
func (f *flow) leadStart() float64 { return f.virtualTime - f.service.rules.maxUrgentLead/f.weight }

func lessLoaded(a, b *minion) bool { return a.inUse*b.usable < b.inUse*a.usable }

func (s *service) zone(name string) *zone {
	for _, z := range s.zones {
		if z.name == name {
			return z
		}
	}
	z := &zone{name: name, free: heap.Heap[*minion]{Less: lessLoaded, Position: func(m *minion) *int32 { return &m.zonePosition }}}
	s.zones = append(s.zones, z)
	return z
}

func (s *service) hasFree() bool {
	return slices.ContainsFunc(s.zones, func(z *zone) bool { return len(z.free.Items) > 0 })
}

// updateFree adds the minion to the free minions of its zone, updates its position or removes
// it, depending on whether it can get a grant.
func (s *service) updateFree(now time.Time, m *minion) {
	want := m.inUse < s.rules.usableSlots(m) && !s.rules.ineligible(m, now)
	updateHeap(&m.zone.free, m, m.zonePosition > 0, want)
}

// updateOrder adds the flow to both orders, updates its positions or removes it, depending on
// its unmet demand. A flow that was idle resumes at no less than the minimum virtual time, so
// that it gets no credit for its unused share.
func (s *service) updateOrder(f *flow) {
	want := f.unmet[urgentClass]+f.unmet[ordinaryClass] > 0
	if want && f.orderPosition == 0 && len(s.order.Items) > 0 {
		f.virtualTime = s.rules.resumeAt(f.virtualTime, s.order.Items[0].virtualTime)
	}
	updateHeap(&s.order, f, f.orderPosition > 0, want)
	updateHeap(&s.urgent, f, f.urgentPosition > 0, want && f.nextClass() == urgentClass)
}

func updateHeap[T any](h *heap.Heap[T], x T, has, want bool) {
	switch {
	case has && want:
		h.Fix(x)
	case has:
		h.Remove(x)
	case want:
		h.Push(x)
	}
}

// choice is an allocation decision: which demand gets a slot of which minion.
type choice struct {
	flow       *flow
	class      int
	hostDemand *hostDemand
	minion     *minion
}

// choose decides the next grant. It moves flows that no free minion can serve to blocked;
// unblock returns them to the order.
func (s *service) choose() (choice, bool) {
	for s.hasFree() && len(s.order.Items) > 0 {
		if f := s.nextUrgentFlow(); f != nil {
			if h, m := f.pick(urgentClass); h != nil {
				return choice{f, urgentClass, h, m}, true
			}
			s.urgent.Remove(f)
			s.blocked = append(s.blocked, f)
			continue
		}
		f := s.order.Items[0]
		first := f.nextClass()
		for _, class := range [classes]int{first, ordinaryClass - first} {
			if h, m := f.pick(class); h != nil {
				return choice{f, class, h, m}, true
			}
		}
		s.order.Remove(f)
		updateHeap(&s.urgent, f, f.urgentPosition > 0, false)
		s.blocked = append(s.blocked, f)
	}
	return choice{}, false
}

// nextUrgentFlow returns the flow whose urgent demand is served ahead of the order, or nil.
// After the grant the flow's lead over the order is still within maxUrgentLead.
func (s *service) nextUrgentFlow() *flow {
	if len(s.urgent.Items) == 0 {
		return nil
	}
	f := s.urgent.Items[0]
	if f.leadStart()+f.meanSlotTime/f.weight > s.order.Items[0].virtualTime {
		return nil
	}
	return f
}

func (s *service) unblock() {
	for _, f := range s.blocked {
		s.updateOrder(f)
	}
	s.blocked = s.blocked[:0]
}

// pick returns the least loaded free minion that the host may use. On a tie it prefers the
// host's own zone.
func (s *service) pick(h *hostDemand) (best *minion) {
	for _, z := range s.zones {
		m := z.leastLoaded(h.excluded)
		if m == nil {
			continue
		}
		if best == nil || lessLoaded(m, best) || z.name == h.zone && !lessLoaded(best, m) {
			best = m
		}
	}
	return best
}

// leastLoaded returns the free minion with the least load that is not excluded.
func (z *zone) leastLoaded(excluded []string) (found *minion) {
	var skipped []*minion
	for len(z.free.Items) > 0 {
		m := z.free.Items[0]
		if !slices.Contains(excluded, m.name) {
			found = m
			break
		}
		z.free.Remove(m)
		skipped = append(skipped, m)
	}
	for _, m := range skipped {
		z.free.Push(m)
	}
	return found
}

// ejectionCounts returns the number of minions that count towards the ejection cap, and those
// of them that are ejected.
func (s *service) ejectionCounts(now time.Time) (n int, ejected []*minion) {
	for _, m := range s.minions {
		if !m.countsForCap(now) {
			continue
		}
		n++
		if m.ejected() {
			ejected = append(ejected, m)
		}
	}
	return n, ejected
}
