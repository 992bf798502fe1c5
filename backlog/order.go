package backlog

import (
	"cmp"
	"container/heap"
	"slices"
)

// Order is a way to decide which work starts first.
type Order struct {
	// Compare orders work; less goes first.
	Compare func(a, b *item) int
	// Defer returns by how much the others gain, for what it costs, if the work is delayed. While
	// work can't be in time together, that with the highest value is delayed. Nil delays none.
	Defer func(a *item) float64
	// Margin is the part of the critical path that is kept free for run times above the expectation.
	Margin float64
	// CompareShort takes the place of Compare once work is delayed, unless it is nil.
	CompareShort func(a, b *item) int
}

// Due is the order by priority, share, lateness and age.
func Due() Order {
	return Order{Compare: func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), boolCompare(a.OverShare, b.OverShare), cmp.Compare(a.verdict, b.verdict), a.Due.Compare(b.Due))
	}}
}

// Slack is the order by the time that is left until the latest start.
func Slack() Order {
	return Order{Compare: func(a, b *item) int {
		return cmp.Or(compareClass(a, b), cmp.Compare(a.latest, b.latest))
	}}
}

// Worth is the order by the work that is left for the cost of its delay, and then by the latest start.
func Worth() Order {
	return Order{Compare: func(a, b *item) int {
		return cmp.Or(compareClass(a, b), cmp.Compare(workForCost(a), workForCost(b)), cmp.Compare(a.latest, b.latest))
	}}
}

// Share is the order by age, of which work beyond the share of its account counts half.
func Share() Order {
	age := func(it *item) float64 {
		if it.OverShare {
			return it.latest / 2
		}
		return it.latest - it.Limit.Sub(it.Due).Seconds()
	}
	return Order{Compare: func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(age(a), age(b)))
	}}
}

// runTimeMargin is the margin of Feasible: much less makes jobs late that were not delayed, much more
// delays jobs that could be in time.
const runTimeMargin = 0.33

// Feasible starts work in the order of the latest starts while all of it can be in time together. Otherwise
// it delays work by the method of Moore and Hodgson with weights: in that order, the work that is most for
// its cost is delayed until the rest can be in time. The rest then starts in the order of work for
// cost, so that jobs that have begun are done first and overlong run times make few jobs late.
func Feasible() Order {
	return Order{Margin: runTimeMargin, Defer: workForCost, Compare: Slack().Compare, CompareShort: Worth().Compare}
}

// compareClass compares by whether the work could be in time, by share, by what is delayed and by
// priority: work beyond the share of its account takes no room that could bring other work in time.
func compareClass(a, b *item) int {
	return cmp.Or(
		cmp.Compare(max(a.verdict, Delayed), max(b.verdict, Delayed)),
		boolCompare(a.OverShare, b.OverShare),
		cmp.Compare(a.verdict, b.verdict),
		cmp.Compare(a.Priority, b.Priority),
	)
}

// costSteps is the number of steps by which ratios of work and cost are told apart.
const costSteps = 16

// workForCost returns the work that is left for the cost of its delay.
func workForCost(it *item) float64 { return it.workForCost }

// deferWork delays work that can't be in time together with other work of at least its priority and
// share.
func (p *Plan) deferWork() {
	slices.SortFunc(p.sorted, func(a, b *item) int {
		return cmp.Or(compareClass(a, b), cmp.Compare(a.latest, b.latest), cmp.Compare(a.index, b.index))
	})
	var earlier, delayed float64 // work that goes first, and work that is delayed
	var class []*item
	for i, it := range p.sorted {
		if it.verdict != First {
			continue
		}
		class = append(class, it)
		if i+1 < len(p.sorted) && compareClass(it, p.sorted[i+1]) == 0 {
			continue
		}
		kept, deferred := p.deferClass(class, earlier)
		earlier, delayed = earlier+kept, delayed+deferred
		if class = class[:0]; i+1 < len(p.sorted) && p.sorted[i+1].OverShare && !it.OverShare {
			// Work beyond a share starts after what is delayed of the work within one.
			earlier, delayed = earlier+delayed, 0
		}
	}
}

// deferClass delays work of one class, which is sorted by its latest start, after earlier work. It
// returns the sums of the work that is kept and delayed.
func (p *Plan) deferClass(class []*item, earlier float64) (kept, delayed float64) {
	candidates := &deferHeap{}
	for _, it := range class {
		room := p.workBy(p.latestWithMargin(it)) - earlier
		if room < 0 {
			it.verdict, p.short = Delayed, true
			delayed += it.load()
			continue
		}
		heap.Push(candidates, deferrable{it, p.order.Defer(it)})
		before := kept
		kept += it.load()
		for before > room {
			worst := heap.Pop(candidates).(deferrable).item
			worst.verdict, p.short = Delayed, true
			kept, delayed = kept-worst.load(), delayed+worst.load()
			if worst == it {
				break
			}
			before -= worst.load()
		}
	}
	return kept, delayed
}

// deferrable is work with the value of its delay.
type deferrable struct {
	*item
	value float64
}

// deferHeap has the work whose delay is worth most on top, and of equal work that which came last: earlier
// work keeps its turn.
type deferHeap []deferrable

func (h deferHeap) Len() int { return len(h) }
func (h deferHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[j].value, h[i].value), h[j].Due.Compare(h[i].Due), cmp.Compare(h[j].index, h[i].index)) < 0
}
func (h deferHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *deferHeap) Push(x any)   { *h = append(*h, x.(deferrable)) }
func (h *deferHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
