package scheduler

import (
	"fmt"
	"slices"
	"time"

	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

// Before a machine is cordoned for maintenance or a move, and as long as it is, there is a plan by which
// it becomes empty: each long-running task has a place on another worker, or may be absent while the
// machine is. Without such a plan nothing is stopped, and the machine takes tasks again.

const (
	// drainTimeout is how long a cordoned machine waits for its tasks before they are stopped.
	drainTimeout = 3 * time.Second
	// liftDelay is how long a cordoned machine has no plan before its cordon is lifted. Workers that miss a
	// poll are back sooner.
	liftDelay = time.Second
	// cordonPause is the time after a lifted cordon until the machine may be cordoned again.
	cordonPause = 2 * time.Second
	// maxCordonWait is how long a long-running task waits for room while a cordoned machine has some.
	maxCordonWait = 3 * time.Second
	// maxMachineListAge is the least age of the list of machines from which orders are not expected to be
	// answered. Lists of many machines are requested less often.
	maxMachineListAge = 3 * time.Second
	// maxObstacleAge is how long an obstacle counts for a machine that is not cordoned. The search for places
	// goes through all workers of a pool for each long-running task.
	maxObstacleAge = 250 * time.Millisecond
)

// drainPlan says how the long-running tasks of a worker leave it.
type drainPlan struct {
	// places has the workers to which tasks can be moved.
	places map[*run]place
	// absent holds the runs of the tasks that fit nowhere else and wait until the machine is back.
	absent []*run
	// obstacle says why the worker can't be emptied at present; it is empty if it can.
	obstacle string
}

// place is a worker on which a long-running task fits beside other long-running ones.
type place struct {
	worker *workerState
	// free is set if the task fits at once, and not only after short tasks of the worker have ended.
	free bool
	// due is set if the worker is due for maintenance itself.
	due bool
}

// planDrain finds places for the long-running tasks of a worker, all of them together, and counts on what is
// done once the deadline is at risk: tasks may be absent, as far as their steps tolerate it, or move to a
// worker that is due for maintenance itself.
func (s *Scheduler) planDrain(w *workerState) drainPlan {
	p := drainPlan{places: make(map[*run]place)}
	planned := make(map[*workerState][]*stepState)
	absent := make(map[*stepState]int)
	for _, r := range w.sortedRuns() {
		st := r.step
		if !st.spec.LongRunning || r.state == stopping || !s.wanted(r) {
			continue
		}
		if found, ok := s.findPlace(r, planned); ok {
			p.places[r] = found
			planned[found.worker] = append(planned[found.worker], st)
			if !found.free {
				s.needRelocation(r)
			}
			continue
		}
		s.needRelocation(r)
		p.absent = append(p.absent, r)
		absent[st]++
		if n := absent[st] + st.withoutPlace(); st.spec.MayMiss > 0 && n > st.spec.MayMiss {
			p.obstacle = fmt.Sprintf("%s has no place on another worker; %d tasks of its step would be absent, %d may be", st.name(r.index), n, st.spec.MayMiss)
			return p
		}
	}
	return p
}

// needRelocation notes that the pool of a run lacks a machine on which its task fits.
func (s *Scheduler) needRelocation(r *run) {
	s.relocationNeeds[relocationNeed{r.worker.registration.Pool, r.step.spec.Label}] = true
}

// withoutPlace counts the tasks of a step that wait, or are being stopped, without a worker that is reserved
// for them.
func (st *stepState) withoutPlace() int {
	return max(0, st.tasksToPlace()-len(st.reservations))
}

// findPlace returns the best place for the task of a run on another worker of its pool, beside the steps that
// are planned on each worker, and whether there is one: a free one on a worker that is not due for
// maintenance if possible.
func (s *Scheduler) findPlace(r *run, planned map[*workerState][]*stepState) (best place, found bool) {
	for _, w := range s.workersOf(r.worker.registration.Pool) {
		if w == r.worker || !s.usable(w) || s.cordoned(w) {
			continue
		}
		p := place{worker: w, due: s.dueForMaintenance(w)}
		if !s.holdsBeside(r, w, planned[w]) {
			continue
		}
		if p.free = s.fitsBeside(r, w, planned[w]); p.free && !p.due {
			return p, true
		}
		if !found || p.free && !best.free || p.free == best.free && !p.due && best.due {
			best, found = p, true
		}
	}
	return best, found
}

// beside returns the number of tasks of the step of a run that are planned or reserved on a worker, and the
// capacity that those of other steps need.
func (w *workerState) beside(r *run, planned []*stepState) (n int, others resource.Amount) {
	n, others = w.reservationsOf(r.step), w.reservedForOthers(r.step)
	for _, st := range planned {
		if st == r.step {
			n++
		} else {
			others = others.Add(st.spec.Reserved())
		}
	}
	return n, others
}

// holdsBeside reports whether the task of a run fits on a worker, beside the planned ones, once its short
// tasks have ended.
func (s *Scheduler) holdsBeside(r *run, w *workerState, planned []*stepState) bool {
	st := r.step
	if w.onTrial() || !w.registration.Labels.Has(st.spec.Label) || st.refusedBy(w) {
		return false
	}
	n, others := w.beside(r, planned)
	if st.spec.MaxPerWorker > 0 && s.siblings(st, w)+n >= st.spec.MaxPerWorker {
		return false
	}
	return w.longRunningUse().Add(others).Add(r.need.Times(n + 1)).Within(w.registration.Capacity)
}

// fitsBeside reports whether the task of a run fits on a worker, beside the planned ones, at once.
func (s *Scheduler) fitsBeside(r *run, w *workerState, planned []*stepState) bool {
	n, others := w.beside(r, planned)
	return s.fits(r.step, w, r.need, n) && w.used.Add(others).Add(r.need.Times(n+1)).Within(w.registration.Capacity)
}

// obstacle is why a machine could not be emptied at a time.
type obstacle struct {
	reason string
	at     time.Time
}

// obstacleTo says why a machine that is not cordoned can't be emptied at present; it is empty if it can.
func (s *Scheduler) obstacleTo(m *machine) string {
	if m.lastObstacle.reason == "" || s.now.Sub(m.lastObstacle.at) >= maxObstacleAge {
		m.lastObstacle = obstacle{s.planToEmpty(m).obstacle, s.now}
	}
	return m.lastObstacle.reason
}

// planToEmpty returns the plan by which a machine becomes empty.
func (s *Scheduler) planToEmpty(m *machine) drainPlan {
	if age := s.now.Sub(s.machinesAsked); age > max(maxMachineListAge, 2*s.machinesInterval) {
		return drainPlan{obstacle: fmt.Sprintf("the machines were last listed %v ago", age.Round(time.Second))}
	}
	w := s.workers[m.Worker]
	if w == nil {
		return drainPlan{}
	}
	if !m.cordoned && len(w.reservations) > 0 {
		return drainPlan{obstacle: "its worker is reserved for " + w.reservations[0].step.name(0).String()}
	}
	return s.planDrain(w)
}

// moveAhead moves long-running tasks off a machine that is due for maintenance before it is cordoned: they
// need the longest, as those of a step are moved one after the other.
func (s *Scheduler) moveAhead(m *machine) {
	w := s.workers[m.Worker]
	if w == nil || s.now.Sub(m.noMovesAt) < maxObstacleAge || !s.mayMoveOne(w) {
		return
	}
	if p := s.planToEmpty(m); p.obstacle != "" || s.moveLongRunning(w, p, false) == 0 {
		m.noMovesAt = s.now
	}
}

// mayMoveOne reports whether a long-running task of a worker may be stopped now, as far as its step is
// concerned.
func (s *Scheduler) mayMoveOne(w *workerState) bool {
	if w.longRunning == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.step.spec.LongRunning && r.state == present && s.toleratesAbsence(r) {
			return true
		}
	}
	return false
}

// drain moves or stops the tasks of a cordoned machine, and sends its order once it is empty.
func (s *Scheduler) drain(m *machine) {
	if m.orderInFlight {
		return
	}
	w := s.waves[m.cordonWave]
	if m.State != worker.Up || (m.cordonWave != 0 && w == nil) {
		m.cordoned = false
		return
	}
	atRisk := w != nil && s.deadlineAtRisk(w)
	plan := s.planToEmpty(m)
	if s.liftIfObstructed(w, m, plan.obstacle) || s.now.Before(m.retryAt) {
		return
	}
	ws := s.workers[m.Worker]
	if ws != nil && len(ws.runs) > 0 {
		if plan.obstacle == "" {
			s.moveLongRunning(ws, plan, atRisk)
			if atRisk {
				s.stopAbsent(w, m, ws, plan)
			}
		}
		if w != nil && (atRisk || s.now.Sub(m.cordonedAt) > drainTimeout) {
			for _, r := range ws.sortedRuns() {
				if !r.step.spec.LongRunning && r.state == present {
					s.stop(r, "maintenance")
				}
			}
		}
		return
	}
	if ws != nil && (ws.uncertain || ws.durableEnd > ws.acknowledgedEnd || len(ws.unsavedEnds) > 0) && !s.canSkipAcknowledgment(w, ws) {
		// Ends that are not durable yet would be lost with the worker.
		return
	}
	if w != nil && !w.begunStored[m.ID] {
		// A new owner has to count the machine as away even if this host fails now.
		return
	}
	m.orderInFlight = true
	m.orderedWorker = m.Worker
	m.orderSequence++
	s.actions.Orders = append(s.actions.Orders, MachineOrder{Machine: m.ID, Pool: m.moveTo, Wave: m.cordonWave, Fence: s.fence + m.orderSequence})
}

func (s *Scheduler) canSkipAcknowledgment(w *wave, ws *workerState) bool {
	return w != nil && len(ws.unsavedEnds) == 0 && !ws.uncertain && s.deadlineAtRisk(w)
}

// liftIfObstructed lifts the cordon of a machine that can't be emptied, or whose room a long-running task has
// waited for: one that was stopped for an order that is not accepted, or that lost its worker meanwhile. It
// reports whether it has.
func (s *Scheduler) liftIfObstructed(w *wave, m *machine, obstacle string) bool {
	if obstacle == "" {
		m.obstructedSince = time.Time{}
	} else if m.obstructedSince.IsZero() {
		m.obstructedSince = s.now
	}
	if obstacle == "" || s.now.Sub(m.obstructedSince) < liftDelay {
		st := s.longestWaitFor(m)
		if st == nil {
			return false
		}
		obstacle = fmt.Sprintf("%s has waited for room for %v", st.name(st.waitingTasks[0]), s.now.Sub(st.waitingSince).Round(time.Second))
	}
	m.cordoned, m.moveTo, m.retryAt = false, "", s.now.Add(cordonPause)
	if w != nil && !s.orderMayBeInFlight(w, m) {
		w.lifted[m.ID] = true
	}
	s.changedPools[m.Pool] = true
	s.logEvent(LogEvent{Event: "machine-uncordoned", Worker: m.Worker, Run: m.cordonWave, Reason: m.ID + ": " + obstacle})
	return true
}

// longestWaitFor returns a long-running step with a task that has waited for room for longer than
// maxCordonWait and fits on a cordoned machine, nil if there is none.
func (s *Scheduler) longestWaitFor(m *machine) *stepState {
	w := s.workers[m.Worker]
	if w == nil || !s.usable(w) {
		return nil
	}
	for _, st := range s.longWaits[m.Pool] {
		if s.fits(st, w, st.spec.Reserved(), 0) {
			return st
		}
	}
	return nil
}

// noteLongWaits collects the long-running steps with tasks that have waited for room for longer than
// maxCordonWait, by pool.
func (s *Scheduler) noteLongWaits() {
	clear(s.longWaits)
	for pool, steps := range s.waiting {
		for _, st := range steps {
			if st.spec.LongRunning && st.reason == noFreeCapacity && len(st.waitingTasks) > 0 && s.now.Sub(st.waitingSince) > maxCordonWait && !s.mayNotStart(st) {
				s.longWaits[pool] = append(s.longWaits[pool], st)
			}
		}
	}
}

// orderMayBeInFlight reports whether a machine of a wave may still carry out an order, of this owner or a
// previous one.
func (s *Scheduler) orderMayBeInFlight(w *wave, m *machine) bool {
	return s.now.Before(m.doubtUntil) || w.begunBefore[m.ID] && s.now.Sub(s.started) < orderDoubt
}

// moveLongRunning stops the long-running tasks of a worker that have a place on another one, as far as
// their steps tolerate it, and reserves that place. They are queued again when the worker lists their end.
// Unless the deadline is at risk, a task runs on until its place is free. It returns the number of stopped
// tasks.
func (s *Scheduler) moveLongRunning(w *workerState, p drainPlan, deadlineAtRisk bool) int {
	if s.stopsUnknown() {
		return 0
	}
	moved := 0
	for _, r := range w.sortedRuns() {
		target, ok := p.places[r]
		if !ok || r.state != present || !s.toleratesAbsence(r) || !deadlineAtRisk && (!target.free || target.due) {
			continue
		}
		if !mutation.ignoreReservations {
			s.reserveFor(r.step, target.worker, "to empty "+w.registration.ID)
		}
		s.stop(r, "machine is emptied")
		moved++
	}
	return moved
}

// stopAbsent stops the long-running tasks of a cordoned machine that fit nowhere else. They are the last
// to leave, all at once, and only once the order can follow at once.
func (s *Scheduler) stopAbsent(w *wave, m *machine, ws *workerState, p drainPlan) {
	if len(p.absent) == 0 || s.stopsUnknown() || w == nil || !w.begunStored[m.ID] || ws.uncertain {
		return
	}
	stopped := make(map[*stepState]int)
	for _, r := range ws.sortedRuns() {
		switch {
		case !r.step.spec.LongRunning || r.state == stopping:
		case r.state != present || !slices.Contains(p.absent, r):
			return
		default:
			stopped[r.step]++
		}
	}
	for _, r := range p.absent {
		// The run itself is not among the absent tasks.
		if !s.toleratesAbsences(r, stopped[r.step]) {
			return
		}
	}
	for _, r := range p.absent {
		s.stop(r, "machine is emptied, no place elsewhere")
	}
}

// stopsUnknown reports whether workers may still list runs as at work that the previous owner has ordered
// to stop.
func (s *Scheduler) stopsUnknown() bool { return s.now.Sub(s.started) < s.limits.Stop+leaseMargin }
