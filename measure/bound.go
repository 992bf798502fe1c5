package measure

import (
	"container/heap"
	"time"
)

const (
	boundFirst, boundStep, boundLast = 96, 8, 176
)

// bound is the least buffer cost of the schedules that it tries with full knowledge of
// the demand: each service has its available workers' slots, and all share up to a number
// of further slots, of any worker and without loans or moves. A shared slot is held over
// a gap in its use or recalled in time for its end, whichever costs less. Among the
// numbers of shared slots without late work the cheapest counts.
func bound(s shape, requests []request) Row {
	best := Row{Policy: rowBound, Late: len(requests)}
	for n := boundFirst; n <= boundLast; n += boundStep {
		b := &pooled{shared: n, freed: make([]time.Duration, n)}
		row := b.run(requests)
		row.Buffer = round((b.idle + b.floor) * s.coresPerSlot())
		row.Floor = round(b.floor * s.coresPerSlot())
		if row.Late < best.Late || row.Late == best.Late && row.Buffer < best.Buffer {
			best = row
		}
	}
	return best
}

// pooled is the schedule with a number of shared slots.
type pooled struct {
	shared  int
	own     [services]int // slots in use of the available workers of each service
	used    int           // shared slots in use
	freed   []time.Duration
	waiting deadlines
	now     time.Duration
	events  events
	late    int
	idle    float64 // slot seconds of shared slots
	floor   float64 // slot seconds of available workers' slots
	order   int
}

func (b *pooled) run(requests []request) Row {
	for i := range b.freed {
		b.freed[i] = -recallTime
	}
	for _, r := range requests {
		b.playUntil(r.arrival)
		heap.Push(&b.waiting, r)
		b.start()
	}
	b.playUntil(duration + longestDeadline)
	return Row{Policy: rowBound, Requests: len(requests), Late: b.late + len(b.waiting)}
}

func (b *pooled) playUntil(at time.Duration) {
	for len(b.events) > 0 && b.events[0].at <= at {
		e := heap.Pop(&b.events).(event)
		b.advance(e.at)
		e.do()
	}
	b.advance(at)
}

func (b *pooled) advance(at time.Duration) {
	for _, n := range b.own {
		b.floor += float64(minAvailable*slotsPerWorker-n) * (at - b.now).Seconds()
	}
	b.now = at
}

func (b *pooled) start() {
	for len(b.waiting) > 0 {
		r := b.waiting[0]
		own := b.own[r.service] < minAvailable*slotsPerWorker
		if !own && b.used == b.shared {
			return
		}
		heap.Pop(&b.waiting)
		if r.deadline <= b.now {
			b.late++
			continue
		}
		if own {
			b.own[r.service]++
		} else {
			b.idle += min(recallTime, b.now-b.freed[b.used]).Seconds()
			b.used++
		}
		b.order++
		heap.Push(&b.events, event{b.now + r.run, b.order, func() { b.finish(r, own) }})
	}
}

func (b *pooled) finish(r request, own bool) {
	if own {
		b.own[r.service]--
	} else {
		b.used--
		b.freed[b.used] = b.now
	}
	if b.now > r.deadline {
		b.late++
	}
	b.start()
}
