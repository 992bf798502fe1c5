// Package buffer decides how the pools of one client account cover bursts: by queueing, by
// lending idle slots to each other, or by moving a worker. It also decides how many idle
// slots are held ready. It does no input or output.
package buffer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// initialDrain and initialWarmUp are the estimates until the first move was observed. A
	// drain lasts as long as the running requests; slow start adds a slot every 500 ms,
	// which is 4 s for 8 slots.
	initialDrain  = 2 * time.Second
	initialWarmUp = 4 * time.Second
	// initialRecall is the estimate until the first recall of a released slot was observed.
	// It is short because throttling background work is the first and fastest step to free
	// capacity for urgent work.
	initialRecall = time.Second
)

// Policy holds the decisions for the pools of one client account. It is not safe for
// concurrent use.
type Policy struct {
	pools      []*pool // in order of name, so that decisions are repeatable
	workers    []Worker
	moves      []move
	demand     demandHistory
	average    loadAverage
	recallTime time.Duration // observed time until a released slot is ready
	moveTime   time.Duration // observed drain and warm-up of one move
	out        []Action
	rules      rules
}

// rules are the rules that mutation tests replace, to show that the test of each rule fails
// without it.
type rules struct {
	isMoving   func(p *Policy, worker string) bool
	recallNeed func(p *Policy, d *pool) int
	floor      func(d *pool) int
	payback    func(p *Policy) time.Duration
	mayBorrow  func(d *pool) bool
}

// pool is the state of one pool. Held slots are ready or being recalled; the others are
// released to background work.
type pool struct {
	Pool
	capacity   int
	held       int
	announced  int // held slots as of the last action
	lent       map[*pool]int
	load       load
	need       int
	shortSince time.Time // since when it has borrowed or lacked the slots of a worker, or zero
	maxWorker  int       // slots of its largest worker
}

// New returns a policy that holds all slots ready until the first decision.
func New(pools []Pool, workers []Worker) *Policy {
	p := &Policy{recallTime: initialRecall, moveTime: initialDrain + initialWarmUp}
	p.rules = rules{
		isMoving:   (*Policy).isMoving,
		recallNeed: (*Policy).recallNeed,
		floor:      (*pool).floor,
		payback:    (*Policy).payback,
		mayBorrow:  (*pool).mayBorrow,
	}
	for _, d := range pools {
		p.pools = append(p.pools, &pool{Pool: d, lent: make(map[*pool]int)})
	}
	slices.SortFunc(p.pools, func(a, b *pool) int { return cmp.Compare(a.Name, b.Name) })
	p.SetWorkers(workers)
	return p
}

// SetWorkers replaces the list of serving workers, after one failed, was drained or was
// added. A worker that is moving counts in no pool until Moved. The slots of a new worker
// are held ready; the next decision takes back loans that a pool can no longer cover.
func (p *Policy) SetWorkers(workers []Worker) {
	p.workers = slices.Clone(workers)
	slices.SortFunc(p.workers, func(a, b Worker) int { return cmp.Compare(a.Name, b.Name) })
	p.moves = slices.DeleteFunc(p.moves, func(m move) bool { return !m.arrived && !p.serves(m.worker.Name) })
	for _, d := range p.pools {
		old := d.capacity
		d.capacity, d.maxWorker = 0, 0
		for _, w := range p.workers {
			if w.Pool == d.Name && !p.isMoving(w.Name) {
				d.capacity += w.Slots
				d.maxWorker = max(d.maxWorker, w.Slots)
			}
		}
		added := max(0, d.capacity-old)
		d.held = min(d.capacity, d.held+added)
		d.announced = min(d.capacity, d.announced+added)
	}
}

func (p *Policy) serves(worker string) bool {
	return slices.ContainsFunc(p.workers, func(w Worker) bool { return w.Name == worker })
}

// Recalled records how long a released slot took until it was ready.
func (p *Policy) Recalled(took time.Duration) { p.recallTime = took }

// Decide takes the reports of all pools and returns the actions to carry out now. The
// slice is valid until the next call. The actions must be applied in its order.
func (p *Policy) Decide(now time.Time, reports []Report) []Action {
	p.out = p.out[:0]
	for _, r := range reports {
		p.find(r.Pool).load.observe(now, r)
	}
	p.setNeeds(now)
	p.endLoans()
	p.moveForSustainedDemand(now)
	p.coverShortages()
	p.releaseIdle(now)
	for _, d := range p.pools {
		if d.held != d.announced {
			d.announced = d.held
			p.act(Action{Kind: Hold, From: d.Name, Slots: d.held})
		}
	}
	return p.out
}

func (p *Policy) act(a Action) { p.out = append(p.out, a) }

func (p *Policy) find(name string) *pool {
	for _, d := range p.pools {
		if d.Name == name {
			return d
		}
	}
	return nil
}

// floor is the number of slots that are always held ready and never lent.
func (d *pool) floor() int { return min(d.capacity, d.MinAvailable*d.maxWorker) }

func (d *pool) lentOut() (n int) {
	for _, m := range d.lent {
		n += m
	}
	return n
}

func (p *Policy) borrowed(d *pool) (n int) {
	for _, from := range p.pools {
		n += from.lent[d]
	}
	return n
}

// required is the number of own slots that the pool does not lend.
func (p *Policy) required(d *pool) int { return max(d.need, p.rules.floor(d)) }

// idle counts the held slots beyond those that the pool requires and has lent.
func (p *Policy) idle(d *pool) int { return max(0, d.held-d.lentOut()-p.required(d)) }

// shortage counts the slots that the pool needs beyond those held or borrowed.
func (p *Policy) shortage(d *pool) int {
	return p.required(d) - (d.held - d.lentOut()) - p.borrowed(d)
}
