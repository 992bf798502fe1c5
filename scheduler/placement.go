package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"egretdrum.example/resource"
)

// place starts waiting tasks on workers with enough free capacity.
func (s *Scheduler) place() {
	if s.catalog == nil || s.startsHeld() {
		return
	}
	if s.now.Sub(s.lastPass) > fullPassInterval {
		s.lastPass = s.now
		s.moveToNewPool()
		for pool := range s.waiting {
			s.changedPools[pool] = true
		}
	}
	s.dropPlans()
	for _, pool := range s.passOrder() {
		if s.now.Before(s.nextPass[pool]) {
			continue
		}
		delete(s.changedPools, pool)
		s.dropReservations(pool)
		steps := s.waiting[pool]
		if len(steps) == 0 {
			continue
		}
		workers := s.candidates(pool)
		maxFree := maxFreeCapacity(workers)
		s.sortSteps(pool, steps, workers)
		s.nextPass[pool] = s.now.Add(passPause(len(steps), len(workers)))
		var unplaceable unplaceable
		for _, st := range steps {
			before := s.lastRun
			switch {
			case s.startsHeld():
				st.reason = "the owner lags, or too many starts are unanswered"
				s.changedPools[pool] = true
			case s.waitsForTerm(st):
				st.reason = termWait
			case s.mustWait(st):
				st.reason = s.waitReason(st)
			case s.queueOf(st.job).Pool != pool:
				st.reason = "its queue has changed to another pool"
			case !s.ensurePoolUseStored(st):
				st.reason = "the use of the pool is being stored"
			case s.capacitiesUnknown && !s.catalog.EnforcesCapacity(pool):
				st.reason = "the capacities of the workers are not known at present"
			case !st.spec.Reserved().Within(maxFree), unplaceable.covers(st):
				st.reason = noFreeCapacity
			case st.spec.Gang:
				s.placeGang(st, s.colocate(st, s.advisedWorkers(st, workers)))
			default:
				allowed := s.colocate(st, s.advisedWorkers(st, workers))
				s.placeStep(st, allowed)
				if len(allowed) == len(workers) {
					unplaceable.add(st)
				}
			}
			s.reserveWorkers(st, workers)
			s.logPlacement(st, before)
		}
		s.waiting[pool] = slices.DeleteFunc(steps, func(st *stepState) bool {
			if len(st.waitingTasks) > 0 {
				return false
			}
			st.inWaitingList = false
			return true
		})
	}
}

// fullPassInterval is the time between two passes over the waiting tasks of all pools. In
// between, a pass covers a pool only when a task was added to it or one of its workers got free
// capacity.
const fullPassInterval = 100 * time.Millisecond

// passOrder returns the changed pools, the one whose pass is due for the longest first: while
// starts are held back, one pool can't use up those of the others.
func (s *Scheduler) passOrder() []string {
	return slices.SortedFunc(maps.Keys(s.changedPools), func(a, b string) int {
		return cmp.Or(s.nextPass[a].Compare(s.nextPass[b]), cmp.Compare(a, b))
	})
}

const (
	// passTimePerStep and passTimePerWorker are the approximate times that a pass needs for each
	// waiting step and each worker.
	passTimePerStep   = 2 * time.Microsecond
	passTimePerWorker = 200 * time.Nanosecond
	// maxPassShare is the largest share of the owner's time for the passes over one pool.
	maxPassShare = 0.1
)

// passPause returns the least time between two passes over a pool. Each end frees capacity for
// a waiting task, and an owner that went through thousands of waiting tasks after each end had
// no time left to start any.
func passPause(steps, workers int) time.Duration {
	return time.Duration(float64(time.Duration(steps)*passTimePerStep+time.Duration(workers)*passTimePerWorker) / maxPassShare)
}

// unplaceable holds the needs of tasks that did not fit on any worker in this pass. Free capacity
// only shrinks during a pass, so tasks that need at least as much don't fit either.
type unplaceable []resource.Amount

// add adds the need of a step that was tried on all workers and did not fit. Steps with
// further constraints are left out, as these may be the reason.
func (m *unplaceable) add(st *stepState) {
	constrained := st.spec.Label != "" || st.spec.MaxPerWorker > 0 || st.spec.Speculative
	if len(st.waitingTasks) == 0 || st.reason != noFreeCapacity || constrained {
		return
	}
	*m = append(*m, st.spec.Reserved())
}

// covers reports whether a step needs at least as much as one that did not fit. Workers that are reserved
// for the step have capacity that the other one could not use.
func (m *unplaceable) covers(st *stepState) bool {
	if st.spec.Gang || len(st.reservations) > 0 {
		return false
	}
	for _, need := range *m {
		if need.Within(st.spec.Reserved()) {
			return true
		}
	}
	return false
}

// noFreeCapacity is the wait reason of steps whose tasks fit on no worker.
const noFreeCapacity = "no room in the pool"

// accountLimitWait is the wait reason of steps whose account has reached its limit.
const accountLimitWait = "limit of the account"

// maxFreeCapacity returns an upper bound of the free capacity of a single worker, so that most
// waiting tasks of a full pool need not be compared with each of its workers.
func maxFreeCapacity(workers []*workerState) resource.Amount {
	var bound resource.Amount
	for _, w := range workers {
		bound = bound.Max(w.registration.Capacity.Sub(w.used))
	}
	return bound
}

// moveToNewPool moves waiting steps to the pool to which a configuration change has moved their
// queue.
func (s *Scheduler) moveToNewPool() {
	for _, pool := range slices.Sorted(maps.Keys(s.waiting)) {
		var moved []*stepState
		s.waiting[pool] = slices.DeleteFunc(s.waiting[pool], func(st *stepState) bool {
			q := s.queueOf(st.job)
			if q == nil || q.Pool == pool {
				return false
			}
			moved = append(moved, st)
			return true
		})
		for _, st := range moved {
			st.inWaitingList = false
			s.addToWaiting(st)
		}
	}
}

// mustWait reports whether a step must not start yet: its occurrence is not due, earlier steps are not done, runs of it that
// the previous owner has started may be unknown, nothing is known of its queue, or it
// waits for the list of machines.
func (s *Scheduler) mustWait(st *stepState) bool {
	// Tasks that may have several runs need not wait for those of the previous owner.
	unknown := st.job.inherited && !st.spec.Speculative && s.mayHaveUnknownRuns(st.job.spec.Queue) && !mutation.ignoreUnknown
	return (st.blocked > 0 && !mutation.ignoreDependencies) || st.occurrence.due.After(s.now) || unknown || s.queueOf(st.job) == nil || s.awaitsMachineList(st)
}

// awaitsMachineList reports whether a long-running task waits for the list of machines.
func (s *Scheduler) awaitsMachineList(st *stepState) bool {
	return st.spec.LongRunning && !s.machinesKnown && s.now.Sub(s.started) < machineListTimeout
}

func (s *Scheduler) waitReason(st *stepState) string {
	switch {
	case st.occurrence.due.After(s.now):
		return "not due yet"
	case st.blocked > 0:
		return "earlier steps are not done"
	case s.queueOf(st.job) == nil:
		return "queue is not configured"
	case s.awaitsMachineList(st):
		return "the machines are not known yet"
	}
	return "recovery: runs of the earlier owner may be unknown"
}

// waitLogDelay is how long a step waits before the reason is logged; most steps start within
// milliseconds.
const waitLogDelay = 500 * time.Millisecond

// logPlacement logs the starts of a step in this pass, or why the step has to wait, with its
// rank. The first run of this pass follows the run number before.
func (s *Scheduler) logPlacement(st *stepState, before int64) {
	if s.lastRun == before {
		st.waitedFor = st.reason
		if !st.waitLogged && s.now.Sub(st.waitingSince) > waitLogDelay && len(st.waitingTasks) > 0 {
			st.waitLogged = true
			s.logEvent(LogEvent{Event: "tasks-wait", Job: st.job.spec.ID, Waited: s.now.Sub(st.waitingSince), WaitReason: st.reason + s.evacuationNote(), Reason: fmt.Sprintf("step %d, %d tasks; %s", st.number, len(st.waitingTasks), st.rankNote())})
		}
		return
	}
	s.logEvent(LogEvent{
		Event: "tasks-placed", Job: st.job.spec.ID, Run: before + 1, Waited: s.now.Sub(st.waitingSince), WaitReason: st.waitedFor,
		Reason: fmt.Sprintf("step %d, %d tasks, %d wait; %s", st.number, s.lastRun-before, len(st.waitingTasks), st.rankNote()),
	})
}

// workersOf returns the workers of a pool, sorted by ID.
func (s *Scheduler) workersOf(pool string) []*workerState {
	if s.byPool == nil {
		s.byPool = make(map[string][]*workerState)
		for _, w := range s.sortedWorkers {
			s.byPool[w.registration.Pool] = append(s.byPool[w.registration.Pool], w)
		}
	}
	return s.byPool[pool]
}

func (s *Scheduler) candidates(pool string) []*workerState {
	var workers []*workerState
	for _, w := range s.workersOf(pool) {
		if s.usable(w) && !s.cordoned(w) {
			s.updateShare(w)
			workers = append(workers, w)
		}
	}
	return workers
}

// placeStep starts as many tasks of the step as fit. All tasks of a step have the same needs,
// so the first one that does not fit ends the attempt.
func (s *Scheduler) placeStep(st *stepState, workers []*workerState) {
	s.suspectsLast(st)
	for len(st.waitingTasks) > 0 && !s.startsHeld() {
		index := st.waitingTasks[0]
		if s.failExhausted(st, &st.tasks[index]) || s.giveUpExhausted(st, index) {
			return
		}
		if s.awaitsEvidence(st, index) {
			st.reason = evidenceWait
			return
		}
		if !s.accountAllows(st, 1) {
			st.reason = accountLimitWait
			return
		}
		w := s.choose(st, index, workers)
		if w == nil {
			st.reason = noFreeCapacity
			if st.suspected(index) {
				st.reason = isolationWait
			}
			return
		}
		st.waitingTasks = st.waitingTasks[1:]
		s.lastRun++
		s.start(st, index, w, s.lastRun)
	}
}

// placeGang starts all tasks of a step or none.
func (s *Scheduler) placeGang(st *stepState, workers []*workerState) {
	if len(st.waitingTasks) < st.unfinished || !s.accountAllows(st, len(st.waitingTasks)) {
		st.reason = "limit of the account, or members of the gang have not ended"
		return
	}
	plan := make([]*workerState, 0, len(st.waitingTasks))
	extra := make(map[*workerState]int)
	queue := st.suspectsFirst()
	for _, index := range queue {
		if s.giveUpExhausted(st, index) {
			return
		}
		if s.awaitsEvidence(st, index) {
			st.reason = evidenceWait
			return
		}
		w := s.chooseWith(st, index, workers, extra)
		if w == nil {
			st.reason = "no room for the whole gang"
			return
		}
		extra[w]++
		plan = append(plan, w)
		if st.suspected(index) && s.isolatesGang(st) {
			workers = slices.DeleteFunc(slices.Clone(workers), func(other *workerState) bool { return other == w })
		}
	}
	s.lastRun++
	st.waitingTasks = nil
	for i, index := range queue {
		s.start(st, index, plan[i], s.lastRun)
	}
}

// accountAllows reports whether n more tasks stay within the limit of the client account. One
// task may always run, as a task above the limit would wait forever otherwise.
func (s *Scheduler) accountAllows(st *stepState, n int) bool {
	if st.job.account == "" || mutation.ignoreLimit {
		return true
	}
	limit := s.limitOf(st.job)
	if limit.IsZero() {
		return true
	}
	if !s.recovered && !s.machinesKnown {
		return false
	}
	used := s.accounts[st.job.account].Add(s.unknownUse())
	return used.IsZero() || used.Add(st.spec.Need.Times(n)).WithinLimit(limit)
}

// unknownUse returns the capacity of the workers that have not answered yet and that runs of the
// previous owner may use. It counts for each account, as it is not known whose runs they are.
func (s *Scheduler) unknownUse() resource.Amount {
	var sum resource.Amount
	if s.recovered {
		return sum
	}
	for id := range s.recoveryWorkers {
		if w := s.workers[id]; w != nil && !w.answered && !w.runsAccounted {
			sum = sum.Add(s.largestCapacity(w))
		}
	}
	for _, m := range s.machines {
		if _, awaited := s.recoveryWorkers[m.Worker]; awaited && s.workers[m.Worker] == nil {
			sum = sum.Add(m.Capacity)
		}
	}
	return sum
}

// start reserves the resources of a run and tells the worker to start it.
func (s *Scheduler) start(st *stepState, index int, w *workerState, number int64) {
	t := &st.tasks[index]
	r := &run{step: st, index: index, number: number, worker: w, sent: s.now, awaitsAnswer: true, need: st.spec.Reserved(), late: st.rank.lateness > 0 && !st.spec.LongRunning, aged: st.isAged(), percentAllowed: 100, paceKnown: true}
	s.reserve(r)
	s.useReservation(st, w)
	s.unansweredStarts++
	checkpoint := t.checkpoint
	if st.spec.Gang {
		checkpoint = st.checkpoint
	}
	r.resumed, r.copied = checkpoint != "", len(t.earlierRuns) > 0
	s.actions.Starts = append(s.actions.Starts, Start{
		Worker: w.registration, Task: st.name(index), Run: number, Spec: st.job.spec.Payload,
		LeaseEnd: s.grant(w), Checkpoint: checkpoint, Ticket: st.ticketFor(w),
		Timeout: s.timeout(s.answerTimeout()), newest: w.newest, claim: &r.claim,
	})
}
