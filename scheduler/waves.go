package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"egretdrum.example/worker"
)

// machine is a host in a pool, with the order that is under way for it.
type machine struct {
	worker.Machine
	// ordering is set while the answer to an order is outstanding.
	ordering bool
	// away is set from an accepted order until the machine is up with another worker.
	away      bool
	awayWave  int64
	awaySince time.Time
	oldWorker string
	retryAt   time.Time
	// cordoned machines take no new tasks because an order for them is planned.
	cordoned   bool
	cordonedAt time.Time
	cordonWave int64
	moveTo     string
	missing    bool
	// due machines are still going to be taken by a wave.
	due bool
	// ordersGiven numbers the orders for the machine, so that one which is carried out
	// late is refused.
	ordersGiven int64
}

// wave is a set of machines that are due for maintenance.
type wave struct {
	number   int64
	machines []string
	deadline time.Time
	limit    int
	done     map[string]bool
	// begun holds the machines that were selected, and stored those of them of which the
	// durable state tells: an order may be under way for them that a new owner does not
	// know of.
	begun    map[string]bool
	stored   map[string]bool
	finished bool
	reported bool
}

const (
	// drainPatience is how long a machine may wait for its tasks before they are stopped.
	drainPatience = 3 * time.Second
	// planInterval is how often machines are planned; they take seconds to come and go.
	planInterval = 50 * time.Millisecond
	// orderRetry is the pause after an order that was not accepted.
	orderRetry = 500 * time.Millisecond
	// cycleTime is how long a machine takes from its selection until the next one can take
	// its place, besides its maintenance: it is emptied, and noticed as back.
	cycleTime = 2500 * time.Millisecond
	// cycleReserve selects more machines than the deadline needs, for those that are late.
	cycleReserve = 1.5
	// poolShare is the part of a pool's machines that may be away or emptied at once, so
	// that its tasks have somewhere to go.
	poolShare = 0.34
	// maintenanceSlack is the time that a machine needs besides its maintenance: to be
	// noticed as back, and for the next one to be emptied.
	maintenanceSlack = 1500 * time.Millisecond
	// lastingMove is how long it takes to stop a long-running task and to have it at work on
	// another worker; those of one step go one after the other.
	lastingMove = 2 * time.Second
	// machinesPatience is how long a new owner holds long-running tasks back until it knows
	// which machines are due: those that start on one of them have to move again, one after
	// the other.
	machinesPatience = time.Second
	// unchangedAfter is how long after an accepted order the list may still show the
	// machine as before; later it shows that the order had been carried out earlier.
	unchangedAfter = 500 * time.Millisecond
)

// SetMachines replaces the list of machines, which was asked for at a given time.
func (s *Scheduler) SetMachines(list []worker.Machine, asked, now time.Time) {
	s.now = now
	for _, m := range s.machines {
		m.missing = true
	}
	for _, info := range list {
		m := s.machines[info.ID]
		if m == nil {
			m = &machine{}
			s.machines[info.ID] = m
		}
		if m.State != info.State || m.Worker != info.Worker || m.Pool != info.Pool {
			s.note(Note{Event: "machine-state", Worker: info.Worker, Reason: info.ID + " in " + info.Pool + " is " + string(info.State)})
		}
		m.Machine, m.missing = info, false
		if !s.machinesKnown && info.State == worker.Up && info.Worker != "" && !s.settled {
			s.expected[info.Worker] = true
		}
		if m.away && info.State == worker.Up && info.Worker != "" {
			m.back(s.hosts[info.Worker], asked)
		}
	}
	for id, m := range s.machines {
		if m.missing {
			delete(s.machines, id)
		}
	}
	s.machinesKnown = true
	s.markDue()
	for _, h := range s.ordered {
		m := s.machines[h.entry.Machine]
		// A list that was asked for earlier may be older than the registration.
		if m != nil && !h.replaced && h.since.Before(asked) && m.carriesOther(h.entry.ID) {
			s.replace(h)
		}
	}
	s.findCrashed(asked)
}

// back ends the absence of a machine that is up with a worker, nil if that is unknown.
func (m *machine) back(h *host, asked time.Time) {
	if m.Worker != m.oldWorker {
		m.away = false
		return
	}
	if asked.Sub(m.awaySince) < unchangedAfter {
		return
	}
	m.away = false
	if h != nil {
		h.orderedAway = false
	}
}

// carriesOther reports whether a worker that was on the machine has ended: the machine
// is on its way, or carries another worker.
func (m *machine) carriesOther(id string) bool {
	switch {
	case m.Worker != "":
		return m.Worker != id
	case m.State == worker.Moving, m.State == worker.Maintenance:
		return true
	}
	return false
}

// WantsMachines reports whether the list of machines is needed soon: for waves and moves, and
// because it is the first to tell that a worker with tasks has crashed.
func (s *Scheduler) WantsMachines() bool {
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
	for _, h := range s.hosts {
		if len(h.runs) > 0 {
			return true
		}
	}
	return false
}

// SetWave reports a maintenance wave with its durable state.
func (s *Scheduler) SetWave(machines []string, deadline time.Time, limit int, state WaveState) {
	if s.waves[state.Wave] != nil {
		return
	}
	s.waves[state.Wave] = &wave{
		number: state.Wave, machines: machines, deadline: deadline, limit: max(1, limit), finished: state.Finished,
		done: setOf(state.Done), begun: setOf(state.Begun), stored: setOf(state.Begun),
	}
	s.markDue()
}

// WaveStored reports that the state of a wave is durable.
func (s *Scheduler) WaveStored(state WaveState, now time.Time) {
	s.now = now
	if w := s.waves[state.Wave]; w != nil {
		w.stored = setOf(state.Begun)
	}
}

func setOf(ids []string) map[string]bool {
	set := make(map[string]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// machineOf returns the machine that carries a worker now, or nil.
func (s *Scheduler) machineOf(h *host) *machine {
	if m := s.machines[h.entry.Machine]; m != nil && m.Worker == h.entry.ID {
		return m
	}
	return nil
}

func (s *Scheduler) cordoned(h *host) bool {
	m := s.machineOf(h)
	return m != nil && (m.cordoned || m.ordering || m.away)
}

// dueForMaintenance reports whether a wave is still going to take the machine.
func (s *Scheduler) dueForMaintenance(h *host) bool {
	m := s.machineOf(h)
	return m != nil && m.due
}

// markDue finds the machines that a wave is still going to take.
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
	if !s.machinesKnown || !s.settled || s.catalog == nil || s.now.Before(s.nextPlan) {
		return
	}
	s.nextPlan = s.now.Add(planInterval + s.behind)
	s.markDue()
	clear(s.refuges)
	for _, w := range s.waves {
		if !w.finished {
			s.planWave(w)
		}
	}
	s.planMoves()
	for _, m := range s.machines {
		if m.cordoned {
			s.empty(m)
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
		m := s.machines[id]
		if m == nil {
			continue
		}
		if !w.done[id] {
			left++
		}
		switch {
		case m.State == worker.Maintenance, m.away && m.awayWave == w.number, m.ordering && m.cordonWave == w.number:
			// A machine in maintenance counts whoever ordered it.
			busy++
		case w.done[id]:
		case m.cordoned && m.cordonWave == w.number:
			busy++
		case w.begun[id]:
			// An earlier owner may have given its order, so it is given again.
			busy++
			if m.selectable(s.now) {
				s.cordonForWave(w, m)
			}
		case m.selectable(s.now):
			open = append(open, m)
		}
	}
	for _, m := range open {
		// Tasks that are moved one after the other take the longest, so they go first.
		if h := s.hosts[m.Worker]; h != nil && h.lasting > 0 {
			s.moveLasting(h, false)
		}
	}
	if left == 0 && !s.anyUndone(w) {
		w.finished = true
		s.reportWave(w)
		return
	}
	pools := s.poolStates()
	slices.SortFunc(open, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(s.burden(a), s.burden(b)), cmp.Compare(a.ID, b.ID))
	})
	limit := s.parallel(w, left)
	pressed := s.pressed(w)
	for _, m := range open {
		if busy >= limit {
			return
		}
		state := pools[m.Pool]
		if !state.mayLose(pressed) {
			continue
		}
		state.away++
		busy++
		w.begun[m.ID] = true
		s.cordonForWave(w, m)
		s.reportWave(w)
	}
}

// selectable reports whether the machine is up and no order is planned for it.
func (m *machine) selectable(now time.Time) bool {
	return m.State == worker.Up && !m.cordoned && !m.ordering && !m.away && !now.Before(m.retryAt)
}

func (s *Scheduler) cordonForWave(w *wave, m *machine) {
	m.cordoned, m.cordonedAt, m.cordonWave, m.moveTo = true, s.now, w.number, ""
	s.note(Note{Event: "machine-cordoned", Worker: m.Worker, Run: w.number, Reason: "maintenance " + m.ID})
}

// parallel is how many machines of a wave are taken at the same time: as many as the
// deadline needs, so that the pools keep the others.
func (s *Scheduler) parallel(w *wave, left int) int {
	remaining := w.deadline.Sub(s.now)
	if remaining <= 0 {
		return w.limit
	}
	cycle := s.limits.Maintenance + cycleTime
	n := math.Ceil(float64(left) * cycle.Seconds() * cycleReserve / remaining.Seconds())
	return min(w.limit, max(1, int(n)))
}

// poolState counts the machines of a pool.
type poolState struct {
	machines, away int
	// short is set while the pool lacks room for waiting work.
	short bool
}

// mayLose reports whether one more machine may be taken from the pool.
func (p *poolState) mayLose(pressed bool) bool {
	if p.short && !pressed {
		return false
	}
	return p.away < max(1, int(poolShare*float64(p.machines)))
}

func (s *Scheduler) poolStates() map[string]*poolState {
	pools := make(map[string]*poolState)
	demands := s.demands()
	for _, m := range s.machines {
		p := pools[m.Pool]
		if p == nil {
			p = &poolState{short: demands[m.Pool] != nil && demands[m.Pool].missing() > 0}
			pools[m.Pool] = p
		}
		p.machines++
		if m.cordoned || m.ordering || m.away || m.State != worker.Up {
			p.away++
		}
	}
	return pools
}

func (s *Scheduler) anyUndone(w *wave) bool {
	for _, id := range w.machines {
		if s.machines[id] != nil && !w.done[id] {
			return true
		}
	}
	return false
}

// burden is what has to leave a machine before it can be taken.
func (s *Scheduler) burden(m *machine) int {
	h := s.hosts[m.Worker]
	if h == nil {
		return 0
	}
	const lastingWeight = 100 // a long-running task is restarted, another one just ends
	return lastingWeight*h.lasting + len(h.runs)
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

// pressed reports whether a wave misses its deadline unless each machine is taken at once.
func (s *Scheduler) pressed(w *wave) bool {
	undone, lasting := 0, 0
	for _, id := range w.machines {
		m := s.machines[id]
		if m == nil || w.done[id] {
			continue
		}
		undone++
		if h := s.hosts[m.Worker]; h != nil {
			lasting = max(lasting, h.lasting)
		}
	}
	rounds := (undone + w.limit - 1) / w.limit
	need := time.Duration(rounds)*(s.limits.Maintenance+maintenanceSlack) + time.Duration(lasting)*lastingMove
	return s.now.Add(need).After(w.deadline)
}

// empty brings a cordoned machine to the point at which its order can be given.
func (s *Scheduler) empty(m *machine) {
	if m.ordering || s.now.Before(m.retryAt) {
		return
	}
	w := s.waves[m.cordonWave]
	if m.State != worker.Up || (m.cordonWave != 0 && w == nil) {
		m.cordoned = false
		return
	}
	h := s.hosts[m.Worker]
	if h != nil && len(h.runs) > 0 {
		s.moveLasting(h, w != nil && s.pressed(w))
		if w != nil && (s.pressed(w) || s.now.Sub(m.cordonedAt) > drainPatience) {
			for _, r := range h.runs {
				if !r.part.step.LongRunning && r.state == present {
					s.stop(r, "maintenance")
				}
			}
		}
		return
	}
	if h != nil && (h.doubt || h.noted > h.acknowledged || len(h.unsaved) > 0) && !s.pressedOrGone(w, h) {
		// Ends that are not durable yet would be lost with the worker.
		return
	}
	if w != nil && !w.stored[m.ID] {
		// A new owner has to count the machine as away even if this host ends now.
		return
	}
	m.ordering = true
	m.oldWorker = m.Worker
	m.ordersGiven++
	s.actions.Orders = append(s.actions.Orders, Order{Machine: m.ID, Pool: m.moveTo, Wave: m.cordonWave, Fence: s.fence + m.ordersGiven})
}

func (s *Scheduler) pressedOrGone(w *wave, h *host) bool {
	return w != nil && len(h.unsaved) == 0 && !h.doubt && s.pressed(w)
}

// moveLasting stops long-running tasks of a worker that is to be emptied, as far as the
// steps may miss them. They are queued again when their end is listed. Unless a deadline
// presses, they wait for a worker that can take them.
func (s *Scheduler) moveLasting(h *host, pressed bool) {
	// Runs that a predecessor told to stop are still listed as at work.
	if s.now.Sub(s.started) < s.limits.Stop+leaseMargin {
		return
	}
	for _, r := range h.runs {
		if !r.part.step.LongRunning || r.state != present {
			continue
		}
		if !s.canMiss(r) {
			continue
		}
		if !s.hasRefuge(r) {
			s.refuges[refuge{h.entry.Pool, r.part.step.Label}] = true
			if !pressed {
				continue
			}
		}
		s.stop(r, "machine is emptied")
	}
}

// hasRefuge reports whether a long-running task could start on a worker that stays.
func (s *Scheduler) hasRefuge(r *run) bool {
	for _, h := range s.ordered {
		if h != r.host && h.entry.Pool == r.host.entry.Pool && s.usable(h) && !s.cordoned(h) && !s.dueForMaintenance(h) && s.fits(r.part, h, r.need, 0) {
			return true
		}
	}
	return false
}

// Ordered reports the answer to an order; accepted means that it is done or was done before.
func (s *Scheduler) Ordered(o Order, accepted, impossible bool, now time.Time) {
	s.now = now
	m := s.machines[o.Machine]
	if m == nil {
		return
	}
	m.ordering = false
	if !accepted {
		m.retryAt = now.Add(orderRetry)
		if impossible {
			m.cordoned, m.moveTo = false, ""
			if w := s.waves[o.Wave]; w != nil {
				delete(w.begun, m.ID)
			}
		}
		return
	}
	m.cordoned, m.moveTo = false, ""
	m.away, m.awayWave, m.awaySince = true, o.Wave, now
	if h := s.hosts[m.oldWorker]; h != nil {
		h.orderedAway = true
		for _, r := range h.runs {
			s.drop(r, "machine ordered away")
		}
	}
	if w := s.waves[o.Wave]; w != nil {
		w.done[m.ID] = true
		s.reportWave(w)
	}
}
