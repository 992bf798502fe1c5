package scheduler

import (
	"cmp"
	"slices"

	"egretdrum.example/resource"
)

// SetCapacitiesKnown reports whether the owner knows the present capacities of the workers. While it
// doesn't, they may have shrunk, and tasks are started only in pools whose workers reject what exceeds
// their capacity.
func (s *Scheduler) SetCapacitiesKnown(known bool) {
	if s.capacitiesUnknown == !known {
		return
	}
	s.capacitiesUnknown = !known
	s.changeAll()
}

// capacityChanged handles a registration of a worker with another capacity than that before. Runs above a
// capacity that has shrunk go on, and nothing is started beside them until there is room again.
func (s *Scheduler) capacityChanged(w *workerState, before resource.Amount) {
	s.logEvent(LogEvent{Event: "worker-capacity", Worker: w.registration.ID, Capacity: &CapacityChange{From: before, To: w.registration.Capacity, Used: w.used}})
	s.dropUnsentAbove(w)
	s.changedPools[w.registration.Pool] = true
}

// dropUnsentAbove withdraws starts for a worker that wait to be sent, the newest first, until what
// the worker runs is within its capacity.
func (s *Scheduler) dropUnsentAbove(w *workerState) {
	runs := w.sortedRuns()
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(b.number, a.number) })
	for _, r := range runs {
		if w.used.Within(w.registration.Capacity) || mutation.keepUnsent {
			return
		}
		if r.state == starting && r.claim.withdraw() {
			s.drop(r, "the capacity of its worker has shrunk")
		}
	}
}

// largestCapacity returns an upper bound of what a worker may run. Runs that were started before its
// capacity shrank may use as much as its machine has.
func (s *Scheduler) largestCapacity(w *workerState) resource.Amount {
	capacity := w.registration.Capacity
	if m := s.machines[w.registration.Machine]; m != nil && !mutation.countShrunk {
		capacity = capacity.Max(m.Capacity)
	}
	return capacity
}

// offeredCapacity returns the capacity that a machine has for tasks: that of its worker, which may have
// shrunk, or that of the machine if its worker is not registered. A machine that is lent counts in the
// other pool with the same capacity: what has shrunk its worker may stay with the machine.
func (s *Scheduler) offeredCapacity(m *machine) resource.Amount {
	if w := s.workers[m.Worker]; w != nil && w.registered {
		return w.registration.Capacity
	}
	return m.Capacity
}

// shrunk reports whether a machine offers less than half of its capacity. It is not lent then: a move
// takes more than a second of its time, and the other pool would gain little.
func (m *machine) shrunk() bool {
	return 2*m.offered.CPU < m.Capacity.CPU || 2*m.offered.Memory < m.Capacity.Memory
}
