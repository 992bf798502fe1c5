package measure

import (
	"slices"
	"time"

	"egretdrum.example/buffer"
)

const (
	// decisionPeriod is the period of the heartbeats, by which entry hosts know the
	// demand of each other.
	decisionPeriod = 250 * time.Millisecond
	// recallTime is how long a released slot takes until it is ready.
	recallTime = time.Second
	// moveTime is drain (2 s) and warm-up (4 s, slow start) of a moved worker.
	moveTime = 6 * time.Second
	// reportBuckets of bucketWidth cover the longest deadline.
	reportBuckets = 12
	bucketWidth   = 500 * time.Millisecond
)

var epoch = time.Unix(1_000_000, 0)

// decider is a policy under measurement.
type decider struct {
	decide func(now time.Time, w *world) []buffer.Action
	moved  func(now time.Time, worker string)
}

// station is a pool in the model. Its service has the same index; the spare pool has none.
type station struct {
	name             string
	capacity, hold   int
	ready, recalling int
	lent, used       []int // own slots by service
	waiting          queue[*request]
	arrived          int
	slack            time.Duration
	runs             time.Duration
	runCount         int
}

// world is the event queue and the state of all pools.
type world struct {
	*clock
	shape    shape
	stations []*station
	members  []buffer.Worker
	by       decider
	moving   int // slots of workers under way
	result   Row
	idle     float64 // slot seconds
	wait     time.Duration
}

func newWorld(s shape, members []buffer.Worker) *world {
	w := &world{shape: s, members: members}
	w.clock = &clock{pass: w.pass}
	for _, p := range s.pools() {
		w.stations = append(w.stations, &station{name: p.Name, lent: make([]int, services), used: make([]int, services)})
	}
	for _, m := range members {
		st := w.station(m.Pool)
		st.capacity += m.Slots
	}
	for _, st := range w.stations {
		st.hold, st.ready = st.capacity, st.capacity
	}
	return w
}

func (w *world) station(name string) *station {
	return w.stations[slices.IndexFunc(w.stations, func(st *station) bool { return st.name == name })]
}

// run plays the requests and ends when the last deadline has passed.
func (w *world) run(requests []request) Row {
	end := duration + longestDeadline
	for at := time.Duration(0); at <= end; at += decisionPeriod {
		w.after(at, w.decision)
	}
	for i := range requests {
		w.playUntil(requests[i].arrival)
		w.arrive(&requests[i])
	}
	w.playUntil(end)
	for _, st := range w.stations {
		w.result.Late += len(st.waiting.items)
	}
	w.result.Requests = len(requests)
	w.result.Wait = int(w.wait.Milliseconds()) / len(requests)
	w.result.Buffer = round(w.idle * w.shape.coresPerSlot())
	return w.result
}

// pass adds the idle slots of the time that passes.
func (w *world) pass(d time.Duration) {
	n := w.moving
	for _, st := range w.stations {
		n += st.ready + st.recalling - sum(st.used)
	}
	w.idle += float64(n) * d.Seconds()
}

func (w *world) arrive(r *request) {
	st := w.stations[r.service]
	if d := r.deadline - r.arrival; st.arrived == 0 || d < st.slack {
		st.slack = d
	}
	st.arrived++
	st.waiting.push(r.deadline, r)
	w.start(r.service)
}

// start begins waiting requests of a service on its own slots, then on borrowed ones.
func (w *world) start(service int) {
	st := w.stations[service]
	for len(st.waiting.items) > 0 {
		on := w.freeSlot(service)
		if on == nil {
			return
		}
		r := st.waiting.pop()
		w.wait += w.now - r.arrival
		if r.deadline <= w.now {
			w.result.Late++
			continue
		}
		on.used[service]++
		w.after(r.run, func() { w.finish(on, r) })
	}
}

func (w *world) freeSlot(service int) *station {
	if st := w.stations[service]; st.free(service, service) > 0 {
		return st
	}
	for _, st := range w.stations {
		if st != w.stations[service] && st.free(service, -1) > 0 {
			return st
		}
	}
	return nil
}

// free counts the ready slots that the service may use now. Slots that were returned stay
// with the borrower until its request has ended.
func (st *station) free(service, own int) int {
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

func (w *world) finish(on *station, r *request) {
	on.used[r.service]--
	if w.now > r.deadline {
		w.result.Late++
	}
	st := w.stations[r.service]
	st.runs += r.run
	st.runCount++
	on.trim()
	w.start(r.service)
	w.startOwner(on)
}

// startOwner uses a slot that came back to its pool.
func (w *world) startOwner(on *station) {
	if i := slices.Index(w.stations, on); i < services {
		w.start(i)
	}
}

// trim releases idle slots beyond those held.
func (st *station) trim() {
	st.ready -= max(0, min(st.ready+st.recalling-st.hold, st.ready-sum(st.used)))
}

func (w *world) decision() {
	for _, a := range w.by.decide(epoch.Add(w.now), w) {
		w.apply(a)
	}
	for i := range services {
		w.start(i)
	}
}

func (w *world) apply(a buffer.Action) {
	from := w.station(a.From)
	switch a.Kind {
	case buffer.Lend:
		from.lent[slices.Index(w.shape.services, a.To)] += a.Slots
	case buffer.Return:
		from.lent[slices.Index(w.shape.services, a.To)] -= a.Slots
	case buffer.Hold:
		w.hold(from, min(a.Slots, from.capacity))
	case buffer.Move:
		w.move(a)
	}
}

func (w *world) hold(st *station, slots int) {
	st.hold = slots
	if n := slots - st.ready - st.recalling; n > 0 {
		st.recalling += n
		w.after(recallTime, func() {
			st.recalling -= n
			st.ready += n
			st.trim()
			for i := range services {
				w.start(i)
			}
		})
	}
	st.trim()
}

// move takes the slots out of use at once and gives them to the new pool after drain and
// warm-up.
func (w *world) move(a buffer.Action) {
	from, to := w.station(a.From), w.station(a.To)
	w.result.Moves++
	from.capacity -= a.Slots
	w.hold(from, min(from.hold, from.capacity))
	w.moving += a.Slots
	w.after(moveTime, func() {
		w.moving -= a.Slots
		to.capacity += a.Slots
		to.hold += a.Slots
		to.ready += a.Slots
		w.by.moved(epoch.Add(w.now), a.Worker)
		w.startOwner(to)
	})
}

// reports tells what the entry hosts observed since the last call.
func (w *world) reports() (out []buffer.Report) {
	for i, st := range w.stations[:services] {
		r := buffer.Report{Pool: w.shape.services[i], Arrived: st.arrived, Slack: st.slack, Run: meanRun, Longest: 3 * meanRun / 2}
		if st.runCount > 0 {
			r.Run = st.runs / time.Duration(st.runCount)
		}
		for _, on := range w.stations {
			r.Running += on.used[i]
		}
		r.Waiting = backlog(st.waiting, w.now)
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
