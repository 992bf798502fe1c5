package scheduler

import (
	"maps"
	"slices"
	"time"

	"egretdrum.example/worker"
)

// recoveryWorker is a worker that may hold runs of a previous owner.
type recoveryWorker struct {
	machine, pool string
	// seen is when this owner first saw the worker, in its registration or on a machine.
	seen time.Time
}

// dropGoneRecoveryWorkers removes the workers for which a recovery need not wait, by a list of machines
// that was requested at the given time: their machine is down, is absent, or carries another worker, or
// is not listed any more and the worker has left as well.
func (s *Scheduler) dropGoneRecoveryWorkers(asked time.Time) {
	if s.recovered {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.recoveryWorkers)) {
		r := s.recoveryWorkers[id]
		if r.machine == "" || !r.seen.Before(asked) {
			continue
		}
		m, w := s.machines[r.machine], s.workers[id]
		left := w == nil || !w.registered || w.registration.Leaving
		// An empty list is that of a deployment without machines, and proves nothing.
		gone := m == nil && left && len(s.machines) > 0
		if m != nil {
			gone = m.State == worker.Down || m.workerReplaced(id)
		}
		// A worker that was heard of since the list was requested has restarted.
		if !gone || (w != nil && w.heardSince(asked)) {
			continue
		}
		delete(s.recoveryWorkers, id)
		s.logEvent(LogEvent{Event: "recovery-worker-gone", Worker: id, Reason: s.machineNote(r.machine)})
	}
}

// machineNote describes a machine for logs.
func (s *Scheduler) machineNote(id string) string {
	m := s.machines[id]
	switch {
	case m == nil:
		return id + " is not listed"
	case m.Worker != "":
		return id + " is " + string(m.State) + " and carries " + m.Worker
	}
	return id + " is " + string(m.State)
}
