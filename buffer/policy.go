// Package buffer decides how the pools of one client account cover bursts: by queueing,
// by lending idle slots without a move, or by moving a worker, and how many idle slots
// are held ready. It does no input or output.
package buffer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstDrain and firstWarmUp are used until a move was observed. A drain lasts as
	// long as the running requests; slow start adds a slot every 500 ms, so 8 slots
	// take 4 s.
	firstDrain  = 2 * time.Second
	firstWarmUp = 4 * time.Second
	// firstRecall is used until a recall of a released slot was observed: throttling
	// background work is the first and fastest step of making room for urgent work.
	firstRecall = time.Second
)

// Policy holds the decisions for the pools of one client account. It is not safe for
// concurrent use.
type Policy struct {
	pools   []*pool // in order of name, so that decisions are repeatable
	workers []Worker
	moves   []move
	demand  window
	budget  budget
	recall  time.Duration
	moving  time.Duration // observed drain and warm-up of one move
	out     []Action
	rules   rules
}

// rules are the rules that tests replace to show that they would notice their absence.
type rules struct {
	busy    func(p *Policy, worker string) bool
	owed    func(p *Policy, d *pool) int
	floor   func(d *pool) int
	payBack func(p *Policy) time.Duration
	brief   func(d *pool) bool
}

// pool is the state of one pool. Slots that are held are ready or being recalled.
type pool struct {
	Pool
	capacity  int
	hold      int
	told      int // the hold that the last action named
	lent      map[*pool]int
	load      load
	need      int
	borrowing time.Time // since when it borrows at least one worker's slots, or zero
	size      int       // slots of its largest worker
}

// New returns a policy that holds all slots ready until the first decision.
func New(pools []Pool, workers []Worker) *Policy {
	p := &Policy{recall: firstRecall, moving: firstDrain + firstWarmUp}
	p.rules = rules{
		busy:    (*Policy).isMoving,
		owed:    (*Policy).owed,
		floor:   (*pool).floor,
		payBack: (*Policy).payBack,
		brief:   (*pool).isBrief,
	}
	for _, d := range pools {
		p.pools = append(p.pools, &pool{Pool: d, lent: make(map[*pool]int)})
	}
	slices.SortFunc(p.pools, func(a, b *pool) int { return cmp.Compare(a.Name, b.Name) })
	p.SetWorkers(workers)
	return p
}

// SetWorkers replaces the workers that serve, after one failed, was drained or was added.
// A worker under way counts in no pool until Moved. The slots of a new worker are held
// ready; the next decision returns loans that a pool can no longer afford.
func (p *Policy) SetWorkers(workers []Worker) {
	p.workers = slices.Clone(workers)
	slices.SortFunc(p.workers, func(a, b Worker) int { return cmp.Compare(a.Name, b.Name) })
	p.moves = slices.DeleteFunc(p.moves, func(m move) bool { return !m.arrived && !p.serves(m.worker.Name) })
	for _, d := range p.pools {
		old := d.capacity
		d.capacity, d.size = 0, 0
		for _, w := range p.workers {
			if w.Pool == d.Name && !p.isMoving(w.Name) {
				d.capacity += w.Slots
				d.size = max(d.size, w.Slots)
			}
		}
		added := max(0, d.capacity-old)
		d.hold = min(d.capacity, d.hold+added)
		d.told = min(d.capacity, d.told+added)
	}
}

func (p *Policy) serves(worker string) bool {
	return slices.ContainsFunc(p.workers, func(w Worker) bool { return w.Name == worker })
}

// Recalled records how long a released slot took until it was ready.
func (p *Policy) Recalled(took time.Duration) { p.recall = took }

// Decide takes the reports of all pools and returns the actions to carry out now. The
// slice is valid until the next call. Its order is the order in which to apply it.
func (p *Policy) Decide(now time.Time, reports []Report) []Action {
	p.out = p.out[:0]
	for _, r := range reports {
		p.find(r.Pool).load.observe(now, r)
	}
	p.setNeeds(now)
	p.takeBack()
	p.moveForLastingDemand(now)
	p.coverShortages()
	p.release(now)
	for _, d := range p.pools {
		if d.hold != d.told {
			d.told = d.hold
			p.act(Action{Kind: Hold, From: d.Name, Slots: d.hold})
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
func (d *pool) floor() int { return min(d.capacity, d.MinAvailable*d.size) }

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

// wanted is the number of own slots that the pool does not lend.
func (p *Policy) wanted(d *pool) int { return max(d.need, p.rules.floor(d)) }

// idle counts the held slots beyond what the pool wants and has lent.
func (p *Policy) idle(d *pool) int { return max(0, d.hold-d.lentOut()-p.wanted(d)) }

// shortage counts the slots that the pool needs beyond those held or borrowed.
func (p *Policy) shortage(d *pool) int {
	return p.wanted(d) - (d.hold - d.lentOut()) - p.borrowed(d)
}
