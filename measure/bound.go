package measure

import "time"

const (
	boundMinSlots, boundCoarseStep, boundMaxSlots = 72, 8, 144
	boundFineStep                                 = 4
)

// offlineBound returns the lowest buffer cost of several schedules with full knowledge of the
// demand. In these, each service has the slots of the workers that must stay available, and
// all services share a number of further slots, on any worker and without loans or moves. The
// number may change once, at riseTime, with every kind of demand. Over a gap in its use, a
// shared slot is either held or released and recalled in time for the next use, whichever
// costs less. Of the numbers tried, those with the least late work win, then the cheapest.
func offlineBound(s shape, requests []request) Row {
	best := Row{Late: len(requests)}
	before, after := boundMaxSlots, boundMaxSlots
	tryCounts := func(a, b int) {
		p := newSharedSchedule(s, a, b)
		row := p.run(requests, best)
		if row.Late < best.Late || row.Late == best.Late && row.Buffer < best.Buffer {
			best, before, after = row, a, b
		}
	}
	for n := boundMaxSlots; n >= boundMinSlots; n -= boundCoarseStep {
		tryCounts(n, n)
	}
	for n := boundMaxSlots; n >= boundMinSlots; n -= boundCoarseStep {
		tryCounts(before, n)
	}
	for _, d := range []int{-boundFineStep, boundFineStep} {
		tryCounts(before+d, after)
		tryCounts(before, after+d)
	}
	return best
}

// sharedSchedule simulates a schedule with a given number of shared slots, before and after
// riseTime.
type sharedSchedule struct {
	*clock
	shape                     shape
	sharedBefore, sharedAfter int
	reserved                  [services]int // slots in use on the available workers, by service
	sharedUsed                int           // shared slots in use
	freedAt                   []time.Duration
	waiting                   priorityQueue[*request]
	row                       Row
	sharedIdle, reservedIdle  float64 // idle slot seconds of shared slots and of available workers' slots
	totalWait                 time.Duration
}

func newSharedSchedule(s shape, before, after int) *sharedSchedule {
	p := &sharedSchedule{shape: s, sharedBefore: before, sharedAfter: after, freedAt: make([]time.Duration, max(before, after))}
	p.clock = &clock{elapse: func(d time.Duration) {
		for _, n := range p.reserved {
			p.reservedIdle += float64(s.floorSlots()-n) * d.Seconds()
		}
	}}
	for i := range p.freedAt {
		p.freedAt[i] = -recallTime
	}
	return p
}

// run stops early and counts all requests as late when the schedule can no longer beat best.
func (p *sharedSchedule) run(requests []request, best Row) Row {
	for i := range requests {
		r := &requests[i]
		if p.row.Late > best.Late || best.Late == 0 && p.cost() > best.Buffer {
			return Row{Late: len(requests)}
		}
		p.runUntil(r.arrival)
		p.waiting.push(r.deadline, r)
		p.startWaiting()
	}
	p.runUntil(arrivalPeriod + longestDeadline)
	return Row{
		Policy: rowBound, Requests: len(requests), Late: p.row.Late + len(p.waiting.items),
		Buffer: p.cost(), Floor: round(p.reservedIdle * p.shape.coresPerSlot()),
		Wait: int(p.totalWait.Milliseconds()) / len(requests),
	}
}

// cost returns the buffer cost in core-seconds.
func (p *sharedSchedule) cost() int {
	return round((p.sharedIdle + p.reservedIdle) * p.shape.coresPerSlot())
}

func (p *sharedSchedule) sharedSlots() int {
	if p.now < riseTime {
		return p.sharedBefore
	}
	return p.sharedAfter
}

func (p *sharedSchedule) startWaiting() {
	for len(p.waiting.items) > 0 {
		r := p.waiting.items[0].value
		reserved := p.reserved[r.service] < p.shape.floorSlots()
		if !reserved && p.sharedUsed >= p.sharedSlots() {
			return
		}
		p.waiting.pop()
		p.totalWait += p.now - r.arrival
		if r.deadline <= p.now {
			p.row.Late++
			continue
		}
		if reserved {
			p.reserved[r.service]++
		} else {
			p.sharedIdle += min(recallTime, p.now-p.freedAt[p.sharedUsed]).Seconds()
			p.sharedUsed++
		}
		p.after(r.run, func() { p.finish(r, reserved) })
	}
}

func (p *sharedSchedule) finish(r *request, reserved bool) {
	if reserved {
		p.reserved[r.service]--
	} else {
		p.sharedUsed--
		p.freedAt[p.sharedUsed] = p.now
	}
	if p.now > r.deadline {
		p.row.Late++
	}
	p.startWaiting()
}
