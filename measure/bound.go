package measure

import "time"

const (
	boundFirst, boundStep, boundLast = 72, 8, 144
	boundFine                        = 4
)

// bound is the least buffer cost of the schedules that it tries with full knowledge of
// the demand: each service has its available workers' slots, and all share up to a number
// of further slots, of any worker and without loans or moves. The number may change once,
// at the time of the lasting rise, in every demand. A shared slot is held over a gap in its use or recalled
// in time for its end, whichever costs less. The cheapest numbers without late work count.
func bound(s shape, requests []request) Row {
	best := Row{Late: len(requests)}
	first, then := boundLast, boundLast
	try := func(a, b int) {
		p := newPooled(s, a, b)
		row := p.run(requests, best)
		if row.Late < best.Late || row.Late == best.Late && row.Buffer < best.Buffer {
			best, first, then = row, a, b
		}
	}
	for n := boundLast; n >= boundFirst; n -= boundStep {
		try(n, n)
	}
	for n := boundLast; n >= boundFirst; n -= boundStep {
		try(first, n)
	}
	for _, d := range []int{-boundFine, boundFine} {
		try(first+d, then)
		try(first, then+d)
	}
	return best
}

// pooled is the schedule with a number of shared slots.
type pooled struct {
	*clock
	shape       shape
	first, then int
	own         [services]int // slots in use of the available workers of each service
	used        int           // shared slots in use
	freed       []time.Duration
	waiting     queue[*request]
	row         Row
	idle, floor float64 // slot seconds of shared slots and of available workers' slots
	wait        time.Duration
}

func newPooled(s shape, first, then int) *pooled {
	p := &pooled{shape: s, first: first, then: then, freed: make([]time.Duration, max(first, then))}
	p.clock = &clock{pass: func(d time.Duration) {
		for _, n := range p.own {
			p.floor += float64(s.floorSlots()-n) * d.Seconds()
		}
	}}
	for i := range p.freed {
		p.freed[i] = -recallTime
	}
	return p
}

// run ends early, with all requests late, when it can be no better than the best so far.
func (p *pooled) run(requests []request, best Row) Row {
	for i := range requests {
		r := &requests[i]
		if p.row.Late > best.Late || best.Late == 0 && p.cost() > best.Buffer {
			return Row{Late: len(requests)}
		}
		p.playUntil(r.arrival)
		p.waiting.push(r.deadline, r)
		p.start()
	}
	p.playUntil(duration + longestDeadline)
	return Row{
		Policy: rowBound, Requests: len(requests), Late: p.row.Late + len(p.waiting.items),
		Buffer: p.cost(), Floor: round(p.floor * p.shape.coresPerSlot()),
		Wait: int(p.wait.Milliseconds()) / len(requests),
	}
}

// cost is the buffer cost in core-seconds.
func (p *pooled) cost() int { return round((p.idle + p.floor) * p.shape.coresPerSlot()) }

func (p *pooled) shared() int {
	if p.now < riseTime {
		return p.first
	}
	return p.then
}

func (p *pooled) start() {
	for len(p.waiting.items) > 0 {
		r := p.waiting.items[0].value
		own := p.own[r.service] < p.shape.floorSlots()
		if !own && p.used >= p.shared() {
			return
		}
		p.waiting.pop()
		p.wait += p.now - r.arrival
		if r.deadline <= p.now {
			p.row.Late++
			continue
		}
		if own {
			p.own[r.service]++
		} else {
			p.idle += min(recallTime, p.now-p.freed[p.used]).Seconds()
			p.used++
		}
		p.after(r.run, func() { p.finish(r, own) })
	}
}

func (p *pooled) finish(r *request, own bool) {
	if own {
		p.own[r.service]--
	} else {
		p.used--
		p.freed[p.used] = p.now
	}
	if p.now > r.deadline {
		p.row.Late++
	}
	p.start()
}
