// Package backlog decides which waiting work of a pool starts first, which is delayed and which can't
// be in time, and predicts when further work would be done. It does no input or output.
package backlog

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Work is what is left of one job in a pool.
type Work struct {
	// Priority is that of the queue; zero goes first.
	Priority int
	// OverShare is set for jobs beyond the share of their client account.
	OverShare bool
	// Due is when the job was to begin. Its result has its full worth until Deadline, is of some
	// use until Limit, and of none afterwards.
	Due, Deadline, Limit time.Time
	// Left is the work that has not started, in core-seconds.
	Left float64
	// Held is set for work that waits for something else than room in the pool, and so takes none from
	// other work.
	Held bool
	// Path is the critical path that is left.
	Path time.Duration
	// DelayCost is what callers lose if the job is late, relative to that of other jobs.
	DelayCost float64
}

// Capacity is the capacity of a pool for the work, in cores.
type Capacity struct {
	// Total is the capacity in use or free now, Free the part that is free.
	Total, Free float64
	// Soon is the capacity that arrives after SoonAfter.
	Soon      float64
	SoonAfter time.Duration
	// Aged is the part in use by work with the verdict Aged.
	Aged float64
}

// Verdict is what a plan decides about a piece of work.
type Verdict int

const (
	// Aged work has waited so long that it starts first, within agedShare of the pool.
	Aged Verdict = iota
	// First work can be in time, and starts before all that is delayed.
	First
	// Delayed work could be in time alone, but not together with the other work.
	Delayed
	// Late work can't be in time any more; its result is still of some use.
	Late
	// Useless work can't be done before its limit.
	Useless
)

// String returns the verdict as it is logged.
func (v Verdict) String() string {
	return [...]string{"aged", "first", "delayed", "late", "useless"}[v]
}

const (
	// agedFactor times the time from the due time to the limit is the wait after which work counts as aged,
	// so that no job waits forever while the pool is overloaded.
	agedFactor = 4
	// agedShare is the largest share of the pool for aged work, apart from one job: with more,
	// a lasting overload would make all work late.
	agedShare = 0.05
)

// Plan holds the decisions for the work of one pool. It is not changed after New.
type Plan struct {
	now      time.Time
	capacity Capacity
	order    Order
	items    []item // in the order of the work
	sorted   []*item
	// short is set if work was delayed.
	short bool
	// before holds, for each sorted item, the work that starts before it.
	before []float64
	// overShare is the place of the first item beyond the share of its account that takes room.
	overShare int
}

// item is a piece of work with its verdict. Times are in seconds from the time of the plan.
type item struct {
	*Work
	index, place int
	verdict      Verdict
	// latest is the latest start with which the work is in time, lastUse that with which it is of use.
	latest, lastUse float64
	// workForCost is the ratio of the work that is left and the cost of its delay, in costSteps.
	workForCost float64
}

// load returns the work that others have to wait for.
func (it *item) load() float64 {
	if it.Held {
		return 0
	}
	return it.Left
}

// New returns the plan for the work of a pool.
func New(now time.Time, capacity Capacity, order Order, work []Work) *Plan {
	p := &Plan{now: now, capacity: capacity, order: order, items: make([]item, len(work)), sorted: make([]*item, len(work))}
	for i := range work {
		p.items[i] = p.newItem(&work[i])
		p.items[i].index = i
		p.sorted[i] = &p.items[i]
	}
	if order.Defer != nil {
		p.deferWork()
	}
	p.limitAged()
	slices.SortFunc(p.sorted, p.compare)
	p.before, p.overShare = make([]float64, len(work)+1), len(work)
	for place, it := range p.sorted {
		if it.OverShare && it.load() > 0 {
			p.overShare = min(p.overShare, place)
		}
		it.place = place
		p.before[place+1] = p.before[place] + it.load()
	}
	return p
}

// Verdict returns the decision about a piece of work, by its index.
func (p *Plan) Verdict(i int) Verdict { return p.items[i].verdict }

// Place returns the position of a piece of work in the order of starts.
func (p *Plan) Place(i int) int { return p.items[i].place }

// Count returns how many pieces of work have a verdict.
func (p *Plan) Count(v Verdict) int {
	n := 0
	for i := range p.items {
		if p.items[i].verdict == v {
			n++
		}
	}
	return n
}

// String returns the capacity and the number of decisions, as they are logged.
func (p *Plan) String() string {
	return fmt.Sprintf("%.0f cores, %d jobs start first, %d are delayed, %d late, %d useless", p.capacity.Total, p.Count(First), p.Count(Delayed), p.Count(Late), p.Count(Useless))
}

// Short reports whether work is delayed.
func (p *Plan) Short() bool { return p.short }

// OverSharePlace returns the place of the first piece of work beyond the share of its account that takes
// room, the number of pieces if there is none.
func (p *Plan) OverSharePlace() int { return p.overShare }

// Predict returns when a job that arrives now would be done, what the plan would decide about it, and
// how many of the pieces of work would start before it.
func (p *Plan) Predict(w Work) (done time.Time, v Verdict, place int) { return p.PredictAfter(w, 0) }

// PredictAfter is Predict for a job that starts after further work that is not part of the plan.
func (p *Plan) PredictAfter(w Work, further float64) (done time.Time, v Verdict, place int) {
	it := p.newItem(&w)
	it.index = len(p.items)
	place, start := p.startOf(&it, further)
	if it.verdict == First && start > p.latestWithMargin(&it) {
		it.verdict = Delayed
		place, start = p.startOf(&it, further)
	}
	if start > it.lastUse {
		it.verdict = Useless
	}
	return p.now.Add(seconds(start) + w.Path), it.verdict, place
}

// latestWithMargin returns the latest start of work with the margin of the order.
func (p *Plan) latestWithMargin(it *item) float64 {
	return max(0, it.latest-p.order.Margin*it.Path.Seconds())
}

// startOf returns the place at which an item that is not part of the plan would start, and when it
// would after further work.
func (p *Plan) startOf(it *item, further float64) (place int, start float64) {
	place, _ = slices.BinarySearchFunc(p.sorted, it, p.compare)
	return place, p.timeFor(p.before[place] + further)
}

func (p *Plan) newItem(w *Work) item {
	path := max(w.Path, seconds(w.Left/max(1, p.capacity.Total)))
	it := item{
		Work: w, verdict: First,
		workForCost: math.Round(costSteps * w.Left / max(1e-9, w.DelayCost)),
		latest:      (w.Deadline.Sub(p.now) - path).Seconds(), lastUse: (w.Limit.Sub(p.now) - path).Seconds(),
	}
	switch {
	case p.now.Sub(w.Due) > agedFactor*w.Limit.Sub(w.Due):
		it.verdict = Aged
	case it.lastUse < 0:
		it.verdict = Useless
	case it.latest < 0:
		it.verdict = Late
	}
	return it
}

// limitAged makes aged work useless beyond its share of the pool, the oldest last.
func (p *Plan) limitAged() {
	var aged []*item
	for _, it := range p.sorted {
		if it.verdict == Aged {
			aged = append(aged, it)
		}
	}
	slices.SortFunc(aged, func(a, b *item) int { return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.index, b.index)) })
	for n, it := range aged {
		if n > 0 || p.capacity.Aged > agedShare*p.capacity.Total {
			it.verdict = Useless
		}
	}
}

// compare returns the order of starts.
func (p *Plan) compare(a, b *item) int {
	if c := boolCompare(a.verdict != Aged, b.verdict != Aged); c != 0 {
		return c
	}
	compare := p.order.Compare
	if p.short && p.order.CompareShort != nil {
		compare = p.order.CompareShort
	}
	if c := compare(a, b); c != 0 {
		return c
	}
	return cmp.Compare(a.index, b.index)
}

// workBy returns the work that the pool can start up to a time. Work that runs already ends evenly,
// so that the pool starts work at the rate of its capacity.
func (p *Plan) workBy(t float64) float64 {
	return p.capacity.Total*t + p.capacity.Soon*max(0, t-p.capacity.SoonAfter.Seconds())
}

// timeFor returns the time at which the pool has started an amount of work.
func (p *Plan) timeFor(work float64) float64 {
	c := p.capacity
	if c.Total <= 0 && c.Soon <= 0 {
		return 0
	}
	if t := work / max(c.Total, 1e-9); t <= c.SoonAfter.Seconds() {
		return t
	}
	return (work + c.Soon*c.SoonAfter.Seconds()) / (c.Total + c.Soon)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
