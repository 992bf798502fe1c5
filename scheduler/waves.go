package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"egretdrum.example/worker"
)

// wave is a set of machines that are due for maintenance.
type wave struct {
	number   int64
	machines []string
	deadline time.Time
	limit    int
	done     map[string]bool
	// begun holds the selected machines, begunStored those of them that the durable state of
	// the wave lists. A maintenance order is sent only for machines in begunStored, so that a
	// new owner knows for which machines one may be in flight.
	begun       map[string]bool
	begunStored map[string]bool
	// begunBefore holds the machines that a previous owner has selected.
	begunBefore map[string]bool
	finished    bool
	reported    bool
	// learned is when this owner was told of the wave. Only lists of machines that were requested
	// later show which of its machines exist.
	learned time.Time
	// unlistedSince is, for each machine that the last list lacks, when the first list in a row that
	// lacks it was requested; lastList is when the last one was.
	unlistedSince map[string]time.Time
	lastList      time.Time
	// lifted holds the begun machines whose cordon was lifted and for which no order can be in flight: they
	// do not count against the limit.
	lifted map[string]bool
	// waitLogged is when the log last said which machines can't be emptied.
	waitLogged time.Time
}

const (
	// planInterval is the time between two planning rounds for machines, whose moves and
	// maintenance need seconds.
	planInterval = 50 * time.Millisecond
	// orderRetryDelay is the delay after an order that was not accepted.
	orderRetryDelay = 500 * time.Millisecond
	// cycleOverhead is the time, besides its maintenance, from the selection of a machine until
	// the next one can be selected in its place: to drain it, and to notice that it is back.
	cycleOverhead = 2500 * time.Millisecond
	// cycleSafetyFactor has more machines selected than the deadline needs, as some are late.
	cycleSafetyFactor = 1.5
	// maxAwayShare is the share of a pool's machines that may be away or draining at once, so
	// that the others can take over their tasks.
	maxAwayShare = 0.34
	// maintenanceOverhead is the time that a machine needs besides its maintenance: to be
	// noticed as back, and for the next one to be drained.
	maintenanceOverhead = 1500 * time.Millisecond
	// longRunningMoveTime is how long it takes to stop a long-running task and to have it at
	// work on another worker; the tasks of one step are moved one after the other.
	longRunningMoveTime = 2 * time.Second
	// machineListTimeout is how long a new owner holds back long-running tasks until it has
	// the list of machines that are due for maintenance: tasks that start on one of them have
	// to move again, one after the other.
	machineListTimeout = time.Second
	// staleListWindow is how long after an accepted order the list of machines may still show
	// the state before it. A list of a later time that shows the same worker means that the
	// order had already been carried out before it was sent.
	staleListWindow = 500 * time.Millisecond
	// obstacleLogInterval is the time between two log lines on the machines of a wave that can't be emptied.
	obstacleLogInterval = 5 * time.Second
	// removedAfter is how long lists of machines have to lack a machine of a wave until it counts as
	// removed.
	removedAfter = 2 * time.Second
)

// SetWave adds a maintenance wave with its durable state; a known wave is left unchanged.
func (s *Scheduler) SetWave(machines []string, deadline time.Time, limit int, state WaveState, now time.Time) {
	s.now = now
	if s.waves[state.Wave] != nil {
		return
	}
	s.waves[state.Wave] = &wave{
		number: state.Wave, machines: machines, deadline: deadline, limit: max(1, limit), finished: state.Finished,
		done: setOf(state.Done), begun: setOf(state.Begun), begunStored: setOf(state.Begun), begunBefore: setOf(state.Begun),
		learned: now, unlistedSince: make(map[string]time.Time), lifted: make(map[string]bool),
	}
	s.markDue()
}

// noteList records which machines of the wave the list lacks that was requested at the given time. An
// empty list is that of a deployment without machines, and proves nothing.
func (w *wave) noteList(machines map[string]*machine, asked time.Time) {
	if w.finished || len(machines) == 0 || !asked.After(w.learned) {
		return
	}
	w.lastList = asked
	for _, id := range w.machines {
		if machines[id] != nil {
			delete(w.unlistedSince, id)
		} else if w.unlistedSince[id].IsZero() {
			w.unlistedSince[id] = asked
		}
	}
}

// removed reports whether a machine of the wave has been removed, or never existed.
func (w *wave) removed(id string) bool {
	since, unlisted := w.unlistedSince[id]
	return unlisted && w.lastList.Sub(since) >= removedAfter
}

// unfinished reports whether a machine of the wave still has to be maintained. One that is not listed
// counts until it is known to be removed: it may have been added a moment ago.
func (w *wave) unfinished(id string) bool { return !w.done[id] && !w.removed(id) }

// WaveStored reports that the state of a wave is durable.
func (s *Scheduler) WaveStored(state WaveState, now time.Time) {
	s.now = now
	if w := s.waves[state.Wave]; w != nil {
		w.begunStored = setOf(state.Begun)
	}
}

func setOf(ids []string) map[string]bool {
	set := make(map[string]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// dueForMaintenance reports whether the machine of a worker is due for maintenance.
func (s *Scheduler) dueForMaintenance(w *workerState) bool {
	m := s.machineOf(w)
	return m != nil && m.due
}

// markDue marks the machines that an unfinished wave has not ordered to maintenance yet.
func (s *Scheduler) markDue() {
	for _, m := range s.machines {
		m.due = false
	}
	for _, w := range s.waves {
		if w.finished {
			continue
		}
		for _, id := range w.machines {
			if m := s.machines[id]; m != nil && !w.done[id] {
				m.due = true
			}
		}
	}
}

func (s *Scheduler) planMachines() {
	if s.restricted || !s.machinesKnown || !s.recovered || s.catalog == nil || s.now.Before(s.nextPlan) {
		return
	}
	s.nextPlan = s.now.Add(planInterval + s.eventDelay)
	s.markDue()
	clear(s.relocationNeeds)
	for _, w := range sorted(s.waves) {
		if !w.finished {
			s.planWave(w)
		}
	}
	s.planMoves()
	s.noteLongWaits()
	for _, m := range s.sortedMachines {
		if m.cordoned {
			s.drain(m)
		}
	}
}

// planWave cordons as many machines as the wave allows, idle ones first.
func (s *Scheduler) planWave(w *wave) {
	if !w.reported {
		w.reported = true
		s.reportWave(w)
	}
	busy, left := 0, 0
	var open []*machine
	for _, id := range w.machines {
		if w.unfinished(id) {
			left++
		}
		m := s.machines[id]
		if m == nil {
			continue
		}
		switch {
		case m.State == worker.Maintenance, m.away && m.awayWave == w.number, m.orderInFlight && m.cordonWave == w.number:
			// A machine in maintenance counts whoever ordered it.
			busy++
		case w.done[id]:
		case m.cordoned && m.cordonWave == w.number:
			busy++
		case w.begun[id] && !w.lifted[id]:
			busy++
			if m.selectable(s.now) {
				s.resumeBegun(w, m)
			}
		case m.selectable(s.now):
			open = append(open, m)
		}
	}
	if left == 0 {
		s.finishWave(w)
		return
	}
	for _, m := range open {
		s.moveAhead(m)
	}
	s.selectMachines(w, open, busy, left)
}

// resumeBegun goes on with a machine that was selected before. The previous owner may have sent its order,
// so that it is sent again if the machine can be emptied.
func (s *Scheduler) resumeBegun(w *wave, m *machine) {
	switch {
	case s.obstacleTo(m) == "":
		s.cordonForWave(w, m)
	case !s.orderMayBeInFlight(w, m):
		w.lifted[m.ID] = true
	}
}

// selectMachines cordons machines among the open ones of a wave of which busy count against its limit
// and left are not done. One that can't be emptied is passed over.
func (s *Scheduler) selectMachines(w *wave, open []*machine, busy, left int) {
	pools := s.poolStates()
	slices.SortFunc(open, func(a, b *machine) int {
		return cmp.Or(-boolCompare(s.evacuatedMachine(a), s.evacuatedMachine(b)), cmp.Compare(s.drainCost(a), s.drainCost(b)), cmp.Compare(a.ID, b.ID))
	})
	limit := s.parallelism(w, left)
	atRisk := s.deadlineAtRisk(w)
	var obstacles []string
	for _, m := range open {
		state := pools[m.Pool]
		// An empty machine of an evacuated zone costs its pool nothing.
		free := s.evacuatedMachine(m) && s.drainCost(m) == 0
		if busy >= w.limit || !free && busy >= limit {
			break
		}
		if !free && !state.canSpareMachine(atRisk) {
			continue
		}
		if obstacle := s.obstacleTo(m); obstacle != "" {
			obstacles = append(obstacles, m.ID+": "+obstacle)
			continue
		}
		if !free {
			state.away++
		}
		busy++
		w.begun[m.ID] = true
		s.cordonForWave(w, m)
		s.reportWave(w)
	}
	s.logObstacles(w, obstacles)
}

// logObstacles logs that machines of a wave can't be emptied at present.
func (s *Scheduler) logObstacles(w *wave, obstacles []string) {
	if len(obstacles) == 0 || s.now.Sub(w.waitLogged) < obstacleLogInterval {
		return
	}
	w.waitLogged = s.now
	s.logEvent(LogEvent{Event: "wave-waits", Run: w.number, AffectedCount: len(obstacles), Reason: obstacles[0]})
}

func (s *Scheduler) cordonForWave(w *wave, m *machine) {
	m.cordon(s.now, w.number, "")
	delete(w.lifted, m.ID)
	s.logEvent(LogEvent{Event: "machine-cordoned", Worker: m.Worker, Run: w.number, Reason: "maintenance " + m.ID})
}

// parallelism returns how many machines of a wave are taken at the same time: no more than the
// deadline needs, so that the pools keep the others.
func (s *Scheduler) parallelism(w *wave, left int) int {
	remaining := w.deadline.Sub(s.now)
	if remaining <= 0 {
		return w.limit
	}
	cycle := s.limits.Maintenance + cycleOverhead
	n := math.Ceil(float64(left) * cycle.Seconds() * cycleSafetyFactor / remaining.Seconds())
	return min(w.limit, max(1, int(n)))
}

// poolState counts the machines of a pool and those of them that are away or soon will be.
type poolState struct {
	machines, away int
	// lacksCapacity is set while the pool has too little free capacity for its waiting tasks.
	lacksCapacity bool
}

// canSpareMachine reports whether one more machine may be taken from the pool.
func (p *poolState) canSpareMachine(deadlineAtRisk bool) bool {
	if p.lacksCapacity && !deadlineAtRisk {
		return false
	}
	return p.away < max(1, int(maxAwayShare*float64(p.machines)))
}

func (s *Scheduler) poolStates() map[string]*poolState {
	pools := make(map[string]*poolState)
	demands := s.demands()
	includeLate(demands)
	for _, m := range s.machines {
		p := pools[m.Pool]
		if p == nil {
			p = &poolState{lacksCapacity: demands[m.Pool] != nil && demands[m.Pool].missing() > 0}
			pools[m.Pool] = p
		}
		if s.evacuatedMachine(m) {
			// It takes no tasks, so its maintenance costs the pool nothing.
			continue
		}
		p.machines++
		if m.cordoned || m.orderInFlight || m.away || m.State != worker.Up {
			p.away++
		}
	}
	return pools
}

// finishWave reports a wave as finished, and logs which of its machines count as removed.
func (s *Scheduler) finishWave(w *wave) {
	for _, id := range w.machines {
		if !w.done[id] {
			s.logEvent(LogEvent{Event: "wave-machine-removed", Run: w.number, Reason: id + " is not listed"})
		}
	}
	w.finished = true
	s.reportWave(w)
}

// drainCost returns the weighted number of runs that have to leave a machine before it can be
// taken.
func (s *Scheduler) drainCost(m *machine) int {
	w := s.workers[m.Worker]
	if w == nil {
		return 0
	}
	const longRunningCost = 100 // a long-running task has to be restarted, others end by themselves
	return longRunningCost*(w.longRunning+len(w.reservations)) + len(w.runs)
}

func (s *Scheduler) reportWave(w *wave) {
	state := WaveState{Wave: w.number, Finished: w.finished}
	for id := range w.done {
		state.Done = append(state.Done, id)
	}
	for id := range w.begun {
		if !w.done[id] {
			state.Begun = append(state.Begun, id)
		}
	}
	slices.Sort(state.Done)
	slices.Sort(state.Begun)
	s.actions.WaveStates = append(s.actions.WaveStates, state)
}

// deadlineAtRisk reports whether a wave misses its deadline unless machines are taken as early
// as its limit allows.
func (s *Scheduler) deadlineAtRisk(w *wave) bool {
	unfinished, longRunning := 0, 0
	for _, id := range w.machines {
		if !w.unfinished(id) {
			continue
		}
		unfinished++
		m := s.machines[id]
		if m == nil {
			continue
		}
		if ws := s.workers[m.Worker]; ws != nil {
			longRunning = max(longRunning, ws.longRunning)
		}
	}
	rounds := (unfinished + w.limit - 1) / w.limit
	need := time.Duration(rounds)*(s.limits.Maintenance+maintenanceOverhead) + time.Duration(longRunning)*longRunningMoveTime
	return s.now.Add(need).After(w.deadline)
}
