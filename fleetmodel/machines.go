package fleetmodel

import (
	"time"

	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

// Machines returns all machines.
func (f *Fleet) Machines() []worker.Machine {
	list := make([]worker.Machine, 0, len(f.machines))
	for _, m := range f.machines {
		entry := worker.Machine{ID: m.id, Pool: m.pool, State: m.state, Labels: worker.Labels{m.kind, m.rack}, Capacity: m.capacity, Zone: m.zone}
		if m.model != nil {
			entry.Worker = m.workerID
		}
		list = append(list, entry)
	}
	return list
}

// MachineOrder moves a machine to another pool, or starts its maintenance for a wave.
type MachineOrder struct {
	Machine, Pool string
	// Wave is zero for a move.
	Wave   int64
	Holder string
	Fence  int64
}

// OrderResult is the answer to a MachineOrder.
type OrderResult string

// The answers to an order.
const (
	Accepted OrderResult = "accepted"
	// LowerFence means that an order with a higher fencing token came before.
	LowerFence OrderResult = "lower-fence"
	// Busy means that the machine is not up, or about to leave.
	Busy OrderResult = "busy"
	// NotInWave means that the machine is not one of the wave.
	NotInWave OrderResult = "not-in-wave"
	// Impossible means that the machine or the pool does not exist, or do not fit.
	Impossible OrderResult = "impossible"
)

// Order carries out an order for a machine.
func (f *Fleet) Order(now time.Time, o *MachineOrder) OrderResult {
	m := f.byID[o.Machine]
	if m == nil || m.gone {
		return Impossible
	}
	f.recorder.Order(now, o.Machine, o.Holder, o.Fence)
	if f.settings.Machines.Fencing && o.Fence < m.fence {
		return LowerFence
	}
	m.fence = max(m.fence, o.Fence)
	if o.Wave != 0 {
		return f.maintain(now, m, o.Wave)
	}
	pool := f.pool(o.Pool)
	switch {
	case pool == nil || pool.Kind != m.kind:
		return Impossible
	case m.pool == o.Pool:
		return Accepted
	case m.state != worker.Up || m.draining:
		return Busy
	}
	f.lose(now, m)
	f.deregister(m)
	m.pool, m.state, m.workerID = o.Pool, worker.Moving, ""
	m.back = now.Add(f.settings.Machines.MoveTime)
	return Accepted
}

func (f *Fleet) maintain(now time.Time, m *machine, wave int64) OrderResult {
	switch {
	case f.waves[wave] == nil || !f.waves[wave][m.id]:
		return NotInWave
	case m.waves[wave]:
		return Accepted
	case m.state != worker.Up || m.draining:
		return Busy
	}
	f.lose(now, m)
	f.deregister(m)
	f.recorder.BeginMaintenance(now, wave, m.id)
	m.state, m.workerID, m.wave, m.waves[wave] = worker.Maintenance, "", wave, true
	m.back = now.Add(f.settings.Machines.MaintenanceTime)
	return Accepted
}

// WorkerState is the state of a machine and its worker.
type WorkerState struct {
	worker.Machine
	Rack           string
	Address        string
	Incarnation    int64
	Draining       bool
	Used           resource.Amount
	Fence          int64
	Running        []worker.Run
	Unacknowledged int
}

// State returns the states of all machines.
func (f *Fleet) State(now time.Time) []WorkerState {
	machines := f.Machines()
	states := make([]WorkerState, len(machines))
	for i, m := range f.machines {
		s := &states[i]
		s.Machine, s.Rack, s.Address, s.Draining = machines[i], m.rack, m.address.String(), m.draining
		if w := m.model; w != nil {
			s.Incarnation, s.Used, s.Fence, s.Unacknowledged = w.Incarnation(), w.Used(), w.Fence(), w.Unacknowledged()
			s.Running = w.List(now).Running
		}
	}
	return states
}
