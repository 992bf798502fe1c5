package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

// demand compares the capacity of a pool with what its running and waiting tasks need.
type demand struct {
	pool string
	// capacity is that of the machines, wanted what running and waiting tasks need whose jobs can
	// still be in time, and late what the others need.
	capacity resource.Amount
	wanted   resource.Amount
	late     resource.Amount
	machines int
	// perMachine is the mean capacity of a machine.
	perMachine resource.Amount
	// label is set for the demand of tasks that only run on machines with this label.
	label string
	// labelled holds the demands of waiting tasks that need a label, by label.
	labelled map[string]*demand
}

// addMachine adds a machine to the pool.
func (d *demand) addMachine(m *machine) {
	d.machines++
	d.capacity = d.capacity.Add(m.Capacity)
	for label, labelDemand := range d.labelled {
		if m.Labels.Has(label) {
			labelDemand.addMachine(m)
		}
	}
}

// removeMachine removes a machine from the pool.
func (d *demand) removeMachine(m *machine) {
	d.machines--
	d.capacity = d.capacity.Sub(m.Capacity)
	for label, labelDemand := range d.labelled {
		if m.Labels.Has(label) {
			labelDemand.removeMachine(m)
		}
	}
}

// addUsed adds what running tasks use of a worker of the pool.
func (d *demand) addUsed(w *workerState) {
	d.wanted = d.wanted.Add(w.used).Sub(w.lateUse)
	d.late = d.late.Add(w.lateUse)
	for label, labelDemand := range d.labelled {
		if w.registration.Labels.Has(label) {
			labelDemand.addUsed(w)
		}
	}
}

// addWaiting adds the needs of the waiting tasks of a step.
func (d *demand) addWaiting(st *stepState) {
	amount := st.spec.Reserved().Times(len(st.waitingTasks))
	if st.late() {
		d.late = d.late.Add(amount)
	} else {
		d.wanted = d.wanted.Add(amount)
	}
	if st.spec.Label == "" {
		return
	}
	labelDemand := d.labelled[st.spec.Label]
	if labelDemand == nil {
		labelDemand = &demand{pool: d.pool, label: st.spec.Label, perMachine: d.perMachine}
		d.labelled[st.spec.Label] = labelDemand
	}
	if st.late() {
		labelDemand.late = labelDemand.late.Add(amount)
	} else {
		labelDemand.wanted = labelDemand.wanted.Add(amount)
	}
}

// late reports whether the job of the step can't be in time any more.
func (st *stepState) late() bool { return st.rank.lateness > 0 && !st.spec.LongRunning }

// includeLate adds the needs of late jobs to those of the others.
func (d *demand) includeLate() {
	d.wanted, d.late = d.wanted.Add(d.late), resource.Amount{}
	for _, labelDemand := range d.labelled {
		labelDemand.includeLate()
	}
}

const (
	// minPoolMachines is the number of machines that a pool keeps at least when it lends others.
	minPoolMachines = 6
	// borrowThreshold is the utilization above which a pool borrows machines: a machine arrives
	// 1.5 s later, and a burst fills the rest of a pool within that time.
	borrowThreshold = 0.75
)

// planMoves lends machines to pools whose tasks need more than their capacity: spare machines
// first, then idle machines of pools with little demand.
func (s *Scheduler) planMoves() {
	pools := s.demands()
	s.lendForRelocation(pools)
	s.lendToShort(pools, false)
	s.lendToShort(pools, true)
}

// lendToShort lends machines to pools that lack some for work that can be in time, or, after
// that, for late work as well. Late work gets idle machines only; for other work, a pool gives
// machines that run nothing but late tasks.
func (s *Scheduler) lendToShort(pools map[string]*demand, late bool) {
	if late {
		for _, d := range pools {
			d.includeLate()
		}
	}
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
	for _, d := range short {
		for d.missing() > 0 {
			m := s.lender(pools, d, late)
			if m == nil {
				break
			}
			s.lend(m, d.pool, pools)
		}
	}
}

// lend cordons a machine that is to move to a pool, and counts it in that pool.
func (s *Scheduler) lend(m *machine, pool string, pools map[string]*demand) {
	m.cordoned, m.cordonedAt, m.cordonWave, m.moveTo = true, s.now, 0, pool
	if from := pools[m.Pool]; from != nil {
		from.removeMachine(m)
	}
	pools[pool].addMachine(m)
	s.logEvent(LogEvent{Event: "machine-lent", Worker: m.Worker, Reason: m.ID + " from " + m.Pool + " to " + pool})
}

// missing returns the number of machines that the pool lacks.
func (d *demand) missing() int {
	if d.perMachine.CPU == 0 {
		return 0
	}
	lackCPU := float64(d.wanted.CPU) - borrowThreshold*float64(d.capacity.CPU)
	lackMemory := float64(d.wanted.Memory) - borrowThreshold*float64(d.capacity.Memory)
	n := max(lackCPU/float64(d.perMachine.CPU), lackMemory/float64(max(1, d.perMachine.Memory)))
	return int(max(0, n) + 0.999)
}

func (s *Scheduler) demands() map[string]*demand {
	pools := make(map[string]*demand)
	unit := s.meanCapacity()
	for name, p := range s.catalog.Pools {
		if !p.Standby {
			pools[name] = &demand{pool: name, perMachine: unit, labelled: make(map[string]*demand)}
		}
	}
	for pool, steps := range s.waiting {
		d := pools[pool]
		if d == nil {
			continue
		}
		for _, st := range steps {
			d.addWaiting(st)
		}
	}
	for _, m := range s.sortedMachines {
		pool := m.Pool
		if m.moveTo != "" {
			pool = m.moveTo
		}
		if d := pools[pool]; d != nil && m.State != worker.Down && m.State != worker.Unknown && !s.evacuatedMachine(m) {
			d.addMachine(m)
		}
	}
	for _, w := range s.workers {
		if d := pools[w.registration.Pool]; d != nil && !s.evacuated(w) {
			d.addUsed(w)
		}
	}
	return pools
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
		if m := s.lender(pools, &demand{pool: r.pool, label: r.label}, true); m != nil && !m.due {
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

// lender returns the machine that is best lent to the borrower, nil if no other pool can spare one.
// With idleOnly, machines that run late tasks are not lent.
func (s *Scheduler) lender(pools map[string]*demand, borrower *demand, idleOnly bool) *machine {
	var best *machine
	bestSpare := false
	for _, m := range s.sortedMachines {
		if m.Pool == borrower.pool || !m.Labels.Has(borrower.label) || !s.lendable(m, idleOnly) {
			continue
		}
		from := pools[m.Pool]
		spare := from == nil
		if !spare && (from.machines <= minPoolMachines || from.missing() > 0 || float64(from.wanted.CPU) > borrowThreshold*float64(from.capacity.CPU-m.Capacity.CPU)) {
			continue
		}
		// Machines that are due for maintenance go last, as they would leave again soon.
		if best == nil || cmp.Or(cmp.Compare(s.runsOn(m), s.runsOn(best)), -boolCompare(spare, bestSpare), boolCompare(m.due, best.due), cmp.Compare(m.ID, best.ID)) < 0 {
			best, bestSpare = m, spare
		}
	}
	return best
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
	if m.State != worker.Up || s.evacuatedMachine(m) || m.cordoned || m.orderInFlight || m.away || s.now.Before(m.retryAt) {
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
