package scheduler

import (
	"time"

	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

// machine is a listed machine of a pool, with the order that is planned or in flight for it.
type machine struct {
	worker.Machine
	// orderInFlight is set while an order is not answered.
	orderInFlight bool
	// away is set from an accepted order until the machine is up again, usually with another
	// worker than orderedWorker, which it carried when the order was sent. awayWave is the wave
	// of the order, zero for a move.
	away          bool
	awayWave      int64
	awaySince     time.Time
	orderedWorker string
	retryAt       time.Time
	// cordoned machines take no new tasks because an order for them is planned.
	cordoned   bool
	cordonedAt time.Time
	cordonWave int64
	moveTo     string // the pool to which the machine is to be lent
	// obstructedSince is since when a cordoned machine can't be emptied.
	obstructedSince time.Time
	// lastObstacle is why it could not be emptied when it was last asked.
	lastObstacle obstacle
	// noMovesAt is when no long-running task could be moved ahead of its cordon.
	noMovesAt time.Time
	// orderedTo is the pool to which the machine was last ordered, empty for maintenance.
	orderedTo string
	unlisted  bool // while the list is replaced
	// due is set while a wave still has to take the machine.
	due bool
	// doubtUntil is until when an order without an answer may still be carried out.
	doubtUntil time.Time
	// offered is the capacity that the machine had for tasks in the last round of planning.
	offered resource.Amount
	// orderSequence is the number of the last order for the machine. It is added to the fencing
	// token of the order, so that an older order which arrives late is refused.
	orderSequence int64
}

// SetMachines replaces the list of machines. asked is the time at which the list was requested.
func (s *Scheduler) SetMachines(list []worker.Machine, asked, now time.Time) {
	s.now = now
	for _, m := range s.machines {
		m.unlisted = true
	}
	for _, info := range list {
		m := s.machines[info.ID]
		if m == nil {
			m = &machine{}
			s.machines[info.ID] = m
		}
		if m.State != info.State || m.Worker != info.Worker || m.Pool != info.Pool {
			s.logEvent(LogEvent{Event: "machine-state", Worker: info.Worker, Reason: info.ID + " in " + info.Pool + " is " + string(info.State)})
		}
		m.Machine, m.unlisted = info, false
		if !s.machinesKnown && info.State == worker.Up && info.Worker != "" && !s.recovered {
			if _, known := s.recoveryWorkers[info.Worker]; !known {
				s.recoveryWorkers[info.Worker] = recoveryWorker{info.ID, info.Pool, now}
			}
		}
		if m.away && info.State == worker.Up && (info.Worker != "" || s.onStandby(info.Pool)) {
			m.endAbsence(s.workers[info.Worker], asked)
		}
	}
	for id, m := range s.machines {
		if m.unlisted {
			delete(s.machines, id)
		}
	}
	s.sortedMachines = sorted(s.machines)
	s.machinesInterval = asked.Sub(s.machinesAsked)
	s.machinesKnown, s.machinesAsked = true, asked
	for _, w := range s.waves {
		w.noteList(s.machines, asked)
	}
	s.markDue()
	for _, w := range s.sortedWorkers {
		m := s.machines[w.registration.Machine]
		// A list that was requested before the registration was seen may be older than it.
		if m != nil && !w.replaced && w.firstSeen.Before(asked) && m.workerReplaced(w.registration.ID) {
			s.replace(w)
		}
	}
	s.barWorkers()
	s.findCrashed(asked)
	s.dropGoneRecoveryWorkers(asked)
}

// endAbsence ends the absence of a machine that is up with a worker. w is the state of that
// worker, nil if it is not registered. The order may have been for this very worker, if the answer to
// an earlier one was lost and its repetition was accepted as already carried out.
func (m *machine) endAbsence(w *workerState, asked time.Time) {
	moved := m.Worker != m.orderedWorker || (m.orderedTo != "" && m.Pool == m.orderedTo)
	if !moved && asked.Sub(m.awaySince) < staleListWindow {
		return
	}
	m.away = false
	if w != nil {
		w.orderedAway = false
	}
}

// workerReplaced reports whether a worker that was on the machine has ended: the machine carries
// another worker, or is moving or in maintenance.
func (m *machine) workerReplaced(id string) bool {
	switch {
	case m.Worker != "":
		return m.Worker != id
	case m.State == worker.Moving, m.State == worker.Maintenance:
		return true
	}
	return false
}

// NeedsMachineList reports whether the list of machines is needed soon: for waves and moves, and
// because it shows first that a worker with tasks has crashed.
func (s *Scheduler) NeedsMachineList() bool {
	if !s.machinesKnown {
		return true
	}
	for _, w := range s.waves {
		if !w.finished {
			return true
		}
	}
	for _, m := range s.machines {
		if m.away {
			return true
		}
	}
	for _, ws := range s.workers {
		if len(ws.runs) > 0 {
			return true
		}
	}
	return false
}

// machineOf returns the machine that carries the worker at present, or nil.
func (s *Scheduler) machineOf(w *workerState) *machine {
	if m := s.machines[w.registration.Machine]; m != nil && m.Worker == w.registration.ID {
		return m
	}
	return nil
}

func (s *Scheduler) cordoned(w *workerState) bool {
	m := s.machineOf(w)
	return m != nil && (m.cordoned || m.orderInFlight || m.away)
}

// cordon keeps new tasks off the machine, for a wave or, if that is zero, a move to a pool.
func (m *machine) cordon(now time.Time, wave int64, moveTo string) {
	m.cordoned, m.cordonedAt, m.cordonWave, m.moveTo = true, now, wave, moveTo
	m.obstructedSince = time.Time{}
}

// selectable reports whether the machine is up and an order may be planned for it.
func (m *machine) selectable(now time.Time) bool {
	return m.State == worker.Up && !m.cordoned && !m.orderInFlight && !m.away && !now.Before(m.retryAt)
}

// MachineOrderAnswered reports the answer to an order. The plan for an impossible one is dropped.
func (s *Scheduler) MachineOrderAnswered(o MachineOrder, result OrderResult, now time.Time) {
	s.now = now
	m := s.machines[o.Machine]
	if m == nil {
		return
	}
	m.orderInFlight = false
	switch result {
	case OrderUnanswered:
		m.doubtUntil = now.Add(orderDoubt)
	case OrderAccepted:
		// Earlier orders have a lower fencing token.
		m.doubtUntil = time.Time{}
	}
	if result != OrderAccepted {
		m.retryAt = now.Add(orderRetryDelay)
		if result == OrderImpossible {
			m.cordoned, m.moveTo = false, ""
			if w := s.waves[o.Wave]; w != nil {
				delete(w.begun, m.ID)
			}
		}
		return
	}
	m.cordoned, m.moveTo, m.orderedTo = false, "", o.Pool
	m.away, m.awayWave, m.awaySince = true, o.Wave, now
	if ws := s.workers[m.orderedWorker]; ws != nil {
		ws.orderedAway = true
		for _, r := range ws.sortedRuns() {
			s.drop(r, "machine ordered away")
		}
	}
	if w := s.waves[o.Wave]; w != nil {
		w.done[m.ID] = true
		s.reportWave(w)
	}
}

// onStandby reports whether the machines of a pool are off.
func (s *Scheduler) onStandby(pool string) bool {
	if s.catalog == nil {
		return false
	}
	p := s.catalog.Pools[pool]
	return p != nil && p.Standby
}
