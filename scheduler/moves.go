package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

const (
	// minPoolMachines is the number of machines that a pool keeps at least when it lends others.
	minPoolMachines = 6
	// minPoolForBusyLoans is the number of machines from which on pools lend machines with late
	// tasks: such a machine is missing for two to three seconds, a tenth of a smaller pool.
	minPoolForBusyLoans = 24
	// borrowThreshold is the utilization above which a pool borrows machines: a machine arrives
	// 1.5 s later, and a burst fills the rest of a pool within that time.
	borrowThreshold = 0.75
)

// planMoves lends machines to pools whose tasks need more than their capacity: spare machines
// first, then idle machines of pools with little demand. Where pools are large, work that can be in
// time borrows before late work.
func (s *Scheduler) planMoves() {
	pools := s.demands()
	lateApart := len(s.machines) >= minPoolForBusyLoans*len(pools)
	if !lateApart {
		includeLate(pools)
	}
	s.lendForRelocation(pools)
	if lateApart {
		s.lendToShort(pools, false)
		includeLate(pools)
	}
	s.lendToShort(pools, true)
}

// includeLate has late work count like other work.
func includeLate(pools map[string]*demand) {
	for _, d := range pools {
		d.includeLate()
	}
}

// lendToShort lends machines to pools that lack some. With idleOnly, it leaves out those of large
// pools that run nothing but late tasks.
func (s *Scheduler) lendToShort(pools map[string]*demand, idleOnly bool) {
	var short []*demand
	for _, d := range pools {
		if d.missing() > 0 {
			short = append(short, d)
		}
		for _, labelDemand := range d.labelled {
			if labelDemand.missing() > 0 {
				short = append(short, labelDemand)
			}
		}
	}
	// Demands with a label go first, as machines without the label don't help them.
	slices.SortFunc(short, func(a, b *demand) int {
		return cmp.Or(-boolCompare(a.label != "", b.label != ""), cmp.Compare(b.missing(), a.missing()), cmp.Compare(a.pool, b.pool), cmp.Compare(a.label, b.label))
	})
	if len(short) == 0 {
		return
	}
	lenders := s.lenders(pools, idleOnly)
	for _, d := range short {
		for d.missing() > 0 {
			m := takeLender(&lenders, pools, d)
			if m == nil {
				break
			}
			s.lend(m, d.pool, pools)
		}
	}
}

// lend cordons a machine that is to move to a pool, and counts it in that pool.
func (s *Scheduler) lend(m *machine, pool string, pools map[string]*demand) {
	m.cordon(s.now, 0, pool)
	if from := pools[m.Pool]; from != nil {
		from.removeMachine(m)
	}
	pools[pool].addMachine(m)
	s.logEvent(LogEvent{Event: "machine-lent", Worker: m.Worker, Reason: m.ID + " from " + m.Pool + " to " + pool})
}

// relocationNeed names a pool that lacks a machine with a label for long-running tasks which have
// to leave their worker: the other machines of the pool are due as well or run the same step.
type relocationNeed struct{ pool, label string }

// lendForRelocation lends a machine that is not due for maintenance to each pool that needs one
// for a relocation.
func (s *Scheduler) lendForRelocation(pools map[string]*demand) {
	for _, r := range slices.SortedFunc(maps.Keys(s.relocationNeeds), func(a, b relocationNeed) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.label, b.label))
	}) {
		if pools[r.pool] == nil || s.machineIncoming(r) {
			continue
		}
		lenders := slices.DeleteFunc(s.lenders(pools, true), func(m *machine) bool { return m.due })
		if m := takeLender(&lenders, pools, &demand{pool: r.pool, label: r.label}); m != nil {
			s.lend(m, r.pool, pools)
		}
	}
}

// machineIncoming reports whether a machine that meets the need is on the move to the pool.
func (s *Scheduler) machineIncoming(r relocationNeed) bool {
	for _, m := range s.sortedMachines {
		if !m.Labels.Has(r.label) {
			continue
		}
		if m.moveTo == r.pool || (m.Pool == r.pool && (m.away || m.State == worker.Moving)) {
			return true
		}
	}
	return false
}

// meanCapacity returns the mean capacity of a machine.
func (s *Scheduler) meanCapacity() resource.Amount {
	var sum resource.Amount
	for _, m := range s.sortedMachines {
		sum = sum.Add(m.Capacity)
	}
	n := max(1, len(s.machines))
	return resource.Amount{CPU: sum.CPU / n, Memory: sum.Memory / n, Accelerators: sum.Accelerators / n}
}

// lenders returns the machines that may be lent, the best ones first: those with the fewest tasks,
// then spare ones. Machines that are due for maintenance go last, as they would leave again soon.
// With idleOnly, machines that run late tasks are left out.
func (s *Scheduler) lenders(pools map[string]*demand, idleOnly bool) []*machine {
	var list []*machine
	for _, m := range s.sortedMachines {
		smallPool := pools[m.Pool] != nil && pools[m.Pool].machines < minPoolForBusyLoans
		if s.lendable(m, idleOnly || smallPool) {
			list = append(list, m)
		}
	}
	spare := func(m *machine) bool { return pools[m.Pool] == nil }
	slices.SortStableFunc(list, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(s.runsOn(a), s.runsOn(b)), -boolCompare(spare(a), spare(b)), boolCompare(a.due, b.due))
	})
	return list
}

// takeLender removes the first machine from a list of lenders that helps the borrower and that its
// pool can spare, and returns it; nil if there is none.
func takeLender(list *[]*machine, pools map[string]*demand, borrower *demand) *machine {
	for i, m := range *list {
		if m.Pool == borrower.pool || !m.Labels.Has(borrower.label) {
			continue
		}
		if from := pools[m.Pool]; from != nil && !from.canLend(m) {
			continue
		}
		*list = slices.Delete(*list, i, i+1)
		return m
	}
	return nil
}

// canLend reports whether the pool has capacity enough without the machine.
func (d *demand) canLend(m *machine) bool {
	return d.machines > minPoolMachines && d.missing() == 0 && float64(d.wanted.CPU) <= borrowThreshold*float64(d.capacity.CPU-m.offered.CPU)
}

// runsOn counts the runs on a machine.
func (s *Scheduler) runsOn(m *machine) int {
	if w := s.workers[m.Worker]; w != nil {
		return len(w.runs)
	}
	return 0
}

// lendable reports whether a machine may be moved to another pool: it is idle or, unless idleOnly
// is set, runs nothing but late tasks.
func (s *Scheduler) lendable(m *machine, idleOnly bool) bool {
	if m.State != worker.Up || s.evacuatedMachine(m) || m.cordoned || m.orderInFlight || m.away || s.now.Before(m.retryAt) || m.shrunk() {
		return false
	}
	w := s.workers[m.Worker]
	if w == nil {
		return true
	}
	if len(w.reservations) > 0 || w.registration.Leaving || w.orderedAway || w.uncertain {
		return false
	}
	return len(w.runs) == 0 || !idleOnly && w.longRunning == 0 && w.lateUse == w.used
}
