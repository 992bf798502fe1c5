package scheduler

import (
	"slices"

	"egretdrum.example/resource"
)

// A long-running task may need most of a worker. In a full pool, smaller tasks take each piece of
// capacity that becomes free, and the task would wait for as long as they come. So a worker is
// reserved for each waiting task: other steps get no capacity there that the task needs. A task
// that is stopped to empty its machine has a worker reserved before the stop.

// reservation holds capacity of a worker for a task of a long-running step.
type reservation struct {
	step   *stepState
	worker *workerState
	// due is set if the worker was reserved although it is due for maintenance itself.
	due bool
}

// maxReservedShare is the largest share of a pool's workers with reservations, so that the loss of
// many workers with long-running tasks does not stop all other work of the pool.
const maxReservedShare = 0.25

// reserveWorkers reserves a worker for each waiting task of a long-running step for which no worker
// had room in this pass. Such steps are placed first, so that later steps of the pass leave the
// reserved capacity alone.
func (s *Scheduler) reserveWorkers(st *stepState, workers []*workerState) {
	if !st.spec.LongRunning || st.spec.Gang || (st.reason != noFreeCapacity && st.reason != isolationWait) || mutation.ignoreReservations {
		return
	}
	limit := max(1, int(maxReservedShare*float64(len(workers))))
	for len(st.reservations) < len(st.waitingTasks) && reservedWorkers(workers) < limit {
		w := s.bestToReserve(st, workers)
		if w == nil {
			return
		}
		s.reserveFor(st, w, "no room for a waiting task")
	}
}

// bestToReserve returns the worker that has to free the least capacity before a task of the step
// fits, nil if there is none that could ever run it.
func (s *Scheduler) bestToReserve(st *stepState, workers []*workerState) *workerState {
	need := st.spec.Reserved()
	var best *workerState
	var bestLack float64
	for _, w := range workers {
		if !s.reservable(st, w) {
			continue
		}
		free := w.registration.Capacity.Sub(w.used).Sub(w.reservedForOthers(st))
		if lack := largestLack(need, free, w.registration.Capacity); best == nil || lack < bestLack {
			best, bestLack = w, lack
		}
	}
	return best
}

// reservable reports whether a task of the step fits on the worker once its other tasks have ended,
// apart from long-running ones and those with reservations.
func (s *Scheduler) reservable(st *stepState, w *workerState) bool {
	switch {
	case !w.canHold(st):
		return false
	case s.dueForMaintenance(w), w.onTrial(), !w.registration.Labels.Has(st.spec.Label), st.refusedBy(w), w.reservationsOf(st) > 0:
		return false
	}
	return st.spec.MaxPerWorker <= 0 || s.siblings(st, w) < st.spec.MaxPerWorker
}

// canHold reports whether a task of the step fits on the worker beside its long-running tasks and the
// reservations of other steps. Its capacity may have shrunk since it was reserved.
func (w *workerState) canHold(st *stepState) bool {
	return w.longRunningUse().Add(w.reservedForOthers(st)).Add(st.spec.Reserved()).Within(w.registration.Capacity)
}

// largestLack returns the largest part of a worker's capacity, over its resources, by which a need
// exceeds what is free. It is negative if the need fits.
func largestLack(need, free, capacity resource.Amount) float64 {
	part := func(need, free, capacity int) float64 { return float64(need-free) / float64(max(1, capacity)) }
	return max(
		part(need.CPU, free.CPU, capacity.CPU),
		part(need.Memory, free.Memory, capacity.Memory),
		part(need.Accelerators, free.Accelerators, capacity.Accelerators),
	)
}

// longRunningUse returns the capacity that long-running tasks of the worker use.
func (w *workerState) longRunningUse() resource.Amount {
	var sum resource.Amount
	for _, r := range w.runs {
		if r.step.spec.LongRunning && r.state != stopping {
			sum = sum.Add(r.need)
		}
	}
	return sum
}

// reserveFor reserves a worker for one task of a step; reason is logged.
func (s *Scheduler) reserveFor(st *stepState, w *workerState, reason string) {
	r := &reservation{st, w, s.dueForMaintenance(w)}
	st.reservations = append(st.reservations, r)
	w.reservations = append(w.reservations, r)
	s.logEvent(LogEvent{Event: "worker-reserved", Job: st.job.spec.ID, Task: st.name(0), Worker: w.registration.ID, Reason: reason})
}

// endReservation removes a reservation.
func (s *Scheduler) endReservation(r *reservation) {
	same := func(other *reservation) bool { return other == r }
	r.step.reservations = slices.DeleteFunc(r.step.reservations, same)
	r.worker.reservations = slices.DeleteFunc(r.worker.reservations, same)
	s.changedPools[r.worker.registration.Pool] = true
}

// useReservation ends one reservation of a step whose task starts on a worker, that on the worker
// if there is one.
func (s *Scheduler) useReservation(st *stepState, w *workerState) {
	if len(st.reservations) == 0 {
		return
	}
	used := st.reservations[0]
	for _, r := range st.reservations {
		if r.worker == w {
			used = r
		}
	}
	s.endReservation(used)
}

// dropReservations ends the reservations of a pool that are not needed any more, whose steps run in another
// pool now, or whose workers can't be used.
func (s *Scheduler) dropReservations(pool string) {
	for _, w := range s.workersOf(pool) {
		for _, r := range slices.Clone(w.reservations) {
			q := s.queueOf(r.step.job)
			if q == nil || q.Pool != pool || len(r.step.reservations) > r.step.tasksToPlace() || s.mayNotStart(r.step) || !s.usable(w) || s.cordoned(w) || s.dueForMaintenance(w) && !r.due || !w.canHold(r.step) {
				s.endReservation(r)
			}
		}
	}
}

// mayNotStart reports whether a step has to wait for something else than capacity, so that a worker that
// is reserved for it would stay idle. A run that is being stopped still counts against the limit of its
// account, so that its step may start once it has ended.
func (s *Scheduler) mayNotStart(st *stepState) bool {
	return s.mustWait(st) || (st.tasksToPlace() == len(st.waitingTasks) && !s.accountAllows(st, 1))
}

// tasksToPlace counts the tasks that wait or will wait once their runs have been stopped.
func (st *stepState) tasksToPlace() int {
	if st.job.state.Final() {
		return 0
	}
	n := len(st.waitingTasks)
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil && r.state == stopping {
			n++
		}
	}
	return n
}

// reservedWorkers counts the workers with reservations.
func reservedWorkers(workers []*workerState) int {
	n := 0
	for _, w := range workers {
		if len(w.reservations) > 0 {
			n++
		}
	}
	return n
}

// reservationsOf counts the reservations of a step on the worker.
func (w *workerState) reservationsOf(st *stepState) int {
	n := 0
	for _, r := range w.reservations {
		if r.step == st {
			n++
		}
	}
	return n
}

// reservedForOthers returns the capacity that is reserved on the worker for other steps.
func (w *workerState) reservedForOthers(st *stepState) resource.Amount {
	var sum resource.Amount
	for _, r := range w.reservations {
		if r.step != st {
			sum = sum.Add(r.step.spec.Reserved())
		}
	}
	return sum
}
