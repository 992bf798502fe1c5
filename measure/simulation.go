package measure

import (
	"slices"
	"time"

	"egretdrum.example/buffer"
)

const (
	// decisionPeriod is the heartbeat interval: entry hosts learn the demand of each other
	// from heartbeats.
	decisionPeriod = 250 * time.Millisecond
	// recallTime is the time until a released slot is ready again.
	recallTime = time.Second
	// moveTime is the time to drain (2 s) and warm up (4 s, slow start) a moved worker.
	moveTime = 6 * time.Second
	// reportBuckets buckets of bucketWidth cover the longest deadline.
	reportBuckets = 12
	bucketWidth   = 500 * time.Millisecond
)

var epoch = time.Unix(1_000_000, 0)

// decider is a policy or baseline under measurement. moved is called when a move has ended.
type decider struct {
	decide func(now time.Time, sim *simulation) []buffer.Action
	moved  func(now time.Time, worker string)
}

// poolState is the state of a pool. A service has the same index as its pool; the spare pool
// has no service.
type poolState struct {
	name             string
	capacity, held   int
	ready, recalling int
	lent, used       []int // slots of this pool, by service
	waiting          priorityQueue[*request]
	arrived          int
	slack            time.Duration
	runTime          time.Duration
	runCount         int
}

// simulation is the event queue and the state of all pools.
type simulation struct {
	*clock
	shape           shape
	pools           []*poolState
	members         []buffer.Worker
	decider         decider
	movingSlots     int // slots of workers that are being moved
	result          Row
	idleSlotSeconds float64
	totalWait       time.Duration
}

func newSimulation(s shape, members []buffer.Worker) *simulation {
	sim := &simulation{shape: s, members: members}
	sim.clock = &clock{elapse: sim.addIdle}
	for _, p := range s.pools() {
		sim.pools = append(sim.pools, &poolState{name: p.Name, lent: make([]int, services), used: make([]int, services)})
	}
	for _, m := range members {
		st := sim.poolByName(m.Pool)
		st.capacity += m.Slots
	}
	for _, st := range sim.pools {
		st.held, st.ready = st.capacity, st.capacity
	}
	return sim
}

func (sim *simulation) poolByName(name string) *poolState {
	return sim.pools[slices.IndexFunc(sim.pools, func(st *poolState) bool { return st.name == name })]
}

// run simulates the requests until the last deadline has passed.
func (sim *simulation) run(requests []request) Row {
	end := arrivalPeriod + longestDeadline
	for at := time.Duration(0); at <= end; at += decisionPeriod {
		sim.after(at, sim.runDecision)
	}
	for i := range requests {
		sim.runUntil(requests[i].arrival)
		sim.arrive(&requests[i])
	}
	sim.runUntil(end)
	for _, st := range sim.pools {
		sim.result.Late += len(st.waiting.items)
	}
	sim.result.Requests = len(requests)
	sim.result.Wait = int(sim.totalWait.Milliseconds()) / len(requests)
	sim.result.Buffer = round(sim.idleSlotSeconds * sim.shape.coresPerSlot())
	return sim.result
}

// addIdle adds the idle slot time of a span of time.
func (sim *simulation) addIdle(d time.Duration) {
	n := sim.movingSlots
	for _, st := range sim.pools {
		n += st.ready + st.recalling - sum(st.used)
	}
	sim.idleSlotSeconds += float64(n) * d.Seconds()
}

func (sim *simulation) arrive(r *request) {
	st := sim.pools[r.service]
	if d := r.deadline - r.arrival; st.arrived == 0 || d < st.slack {
		st.slack = d
	}
	st.arrived++
	st.waiting.push(r.deadline, r)
	sim.startWaiting(r.service)
}

// startWaiting starts waiting requests of a service on its own slots, then on borrowed ones.
func (sim *simulation) startWaiting(service int) {
	st := sim.pools[service]
	for len(st.waiting.items) > 0 {
		pool := sim.poolWithFreeSlot(service)
		if pool == nil {
			return
		}
		r := st.waiting.pop()
		sim.totalWait += sim.now - r.arrival
		if r.deadline <= sim.now {
			sim.result.Late++
			continue
		}
		pool.used[service]++
		sim.after(r.run, func() { sim.finish(pool, r) })
	}
}

func (sim *simulation) poolWithFreeSlot(service int) *poolState {
	if st := sim.pools[service]; st.free(service, service) > 0 {
		return st
	}
	for _, st := range sim.pools {
		if st != sim.pools[service] && st.free(service, -1) > 0 {
			return st
		}
	}
	return nil
}

// free returns the number of ready slots that the service may use now. A slot that was
// returned stays in use by the borrower until its request has ended.
func (st *poolState) free(service, own int) int {
	n := st.ready - sum(st.used)
	if service != own {
		return min(n, st.lent[service]-st.used[service])
	}
	for i, lent := range st.lent {
		if i != own {
			n -= max(0, lent-st.used[i])
		}
	}
	return n
}

func (sim *simulation) finish(pool *poolState, r *request) {
	pool.used[r.service]--
	if sim.now > r.deadline {
		sim.result.Late++
	}
	st := sim.pools[r.service]
	st.runTime += r.run
	st.runCount++
	pool.releaseIdle()
	sim.startWaiting(r.service)
	sim.startOwnService(pool)
}

// startOwnService starts waiting requests of the pool's own service on a slot that is free
// again.
func (sim *simulation) startOwnService(pool *poolState) {
	if i := slices.Index(sim.pools, pool); i < services {
		sim.startWaiting(i)
	}
}

// releaseIdle releases the idle slots beyond those that the policy holds ready.
func (st *poolState) releaseIdle() {
	st.ready -= max(0, min(st.ready+st.recalling-st.held, st.ready-sum(st.used)))
}

func (sim *simulation) runDecision() {
	for _, a := range sim.decider.decide(epoch.Add(sim.now), sim) {
		sim.apply(a)
	}
	for i := range services {
		sim.startWaiting(i)
	}
}

func (sim *simulation) apply(a buffer.Action) {
	from := sim.poolByName(a.From)
	switch a.Kind {
	case buffer.Lend:
		from.lent[slices.Index(sim.shape.services, a.To)] += a.Slots
	case buffer.Return:
		from.lent[slices.Index(sim.shape.services, a.To)] -= a.Slots
	case buffer.Hold:
		sim.hold(from, min(a.Slots, from.capacity))
	case buffer.Move:
		sim.move(a)
	}
}

func (sim *simulation) hold(st *poolState, slots int) {
	st.held = slots
	if n := slots - st.ready - st.recalling; n > 0 {
		st.recalling += n
		sim.after(recallTime, func() {
			st.recalling -= n
			st.ready += n
			st.releaseIdle()
			for i := range services {
				sim.startWaiting(i)
			}
		})
	}
	st.releaseIdle()
}

// move takes the slots of a worker out of use at once and adds them to the new pool after
// drain and warm-up.
func (sim *simulation) move(a buffer.Action) {
	from, to := sim.poolByName(a.From), sim.poolByName(a.To)
	sim.result.Moves++
	from.capacity -= a.Slots
	sim.hold(from, min(from.held, from.capacity))
	sim.movingSlots += a.Slots
	sim.after(moveTime, func() {
		sim.movingSlots -= a.Slots
		to.capacity += a.Slots
		to.held += a.Slots
		to.ready += a.Slots
		sim.decider.moved(epoch.Add(sim.now), a.Worker)
		sim.startOwnService(to)
	})
}

// takeReports returns what the entry hosts observed since the last call and resets the counts
// of arrivals.
func (sim *simulation) takeReports() (out []buffer.Report) {
	for i, st := range sim.pools[:services] {
		r := buffer.Report{Pool: sim.shape.services[i], Arrived: st.arrived, Slack: st.slack, Run: meanRunTime, Longest: 3 * meanRunTime / 2}
		if st.runCount > 0 {
			r.Run = st.runTime / time.Duration(st.runCount)
		}
		for _, pool := range sim.pools {
			r.Running += pool.used[i]
		}
		r.Waiting = backlog(st.waiting, sim.now)
		st.arrived = 0
		out = append(out, r)
	}
	return out
}

func sum(ns []int) (out int) {
	for _, n := range ns {
		out += n
	}
	return out
}
