package queue

import "time"

const (
	// paceMemory is the waiting time after which older observations count less.
	paceMemory = 5 * time.Second
	// paceMinimum is the shortest observation that gives an estimate. A burst that has
	// just begun would otherwise be refused by the pace of its first milliseconds.
	paceMinimum = time.Second
	// paceExpiry is the idle time after which an observation is no longer used.
	paceExpiry = time.Minute
)

// pace is the rate at which requests leave a line, observed only while some wait: the
// rate of an idle line tells its demand and not its capacity.
type pace struct {
	busy  time.Duration
	taken float64
	since time.Time // of the last update while busy, of the last end while idle
}

func (p *pace) begin(now time.Time) {
	if now.Sub(p.since) > paceExpiry {
		*p = pace{}
	}
	p.since = now
}

func (p *pace) end(now time.Time) { p.update(now) }

func (p *pace) take(now time.Time) {
	p.update(now)
	p.taken++
}

func (p *pace) update(now time.Time) {
	if d := now.Sub(p.since); d > 0 {
		p.busy += d
		p.since = now
	}
	if p.busy > paceMemory {
		p.taken *= float64(paceMemory) / float64(p.busy)
		p.busy = paceMemory
	}
}

// wait estimates the time until n requests have left. One more than the observed number
// counts as taken, so that a line that is stalled for a moment does not refuse everything.
func (p *pace) wait(now time.Time, n int) time.Duration {
	busy := p.busy + max(0, now.Sub(p.since))
	if n == 0 || busy < paceMinimum {
		return 0
	}
	return time.Duration(float64(n) * float64(busy) / (p.taken + 1))
}

// rankBuckets covers the longest timeout, 60 s, in buckets of one second.
const rankBuckets = 64

// histogram counts deadlines by second. It gives the rank of a deadline in constant
// time, which a heap cannot. The rank is exact to one second.
type histogram [rankBuckets]int16

func (h *histogram) add(deadline time.Time, n int16) {
	h[deadline.Unix()&(rankBuckets-1)] += n
}

// upTo counts the deadlines up to the end of this deadline's second.
func (h *histogram) upTo(now, deadline time.Time) int {
	n := 0
	first, last := now.Unix(), min(deadline.Unix(), now.Unix()+rankBuckets-1)
	for s := first; s <= last; s++ {
		n += int(h[s&(rankBuckets-1)])
	}
	return n
}
