package scheduler

import (
	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

// demand compares the capacity of a pool with what its running and waiting tasks need.
type demand struct {
	pool string
	// capacity is what the machines offer to tasks, wanted what running and waiting tasks need whose jobs can
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
	d.capacity = d.capacity.Add(m.offered)
	for label, labelDemand := range d.labelled {
		if m.Labels.Has(label) {
			labelDemand.addMachine(m)
		}
	}
}

// removeMachine removes a machine from the pool.
func (d *demand) removeMachine(m *machine) {
	d.machines--
	d.capacity = d.capacity.Sub(m.offered)
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
		m.offered = s.offeredCapacity(m)
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
