package buffer

import (
	"slices"
	"time"
)

const (
	// gapMemory is the number of observed gaps between bursts that count.
	gapMemory = 32
	// gapMinimum is the number of gaps from which on their lengths are used.
	gapMinimum = 4
	// peakHalfLife lets the peak that gaps are judged by follow a lasting fall of demand.
	peakHalfLife = 30 * time.Second
)

// release lets idle slots go that no demand of the last holding time would have used.
func (p *Policy) release(now time.Time) {
	total, held := 0, 0
	for _, d := range p.pools {
		total += p.wanted(d)
		held += d.hold
	}
	p.gaps.observe(now, total)
	p.demand.add(now, total)
	excess := held - p.demand.highest(now.Add(-p.gaps.holdFor(p.recall)))
	for _, d := range slices.Backward(p.byPreference(nil)) {
		n := min(excess, p.idle(d))
		if n > 0 {
			d.hold -= n
			excess -= n
		}
	}
}

// gaps observes the times between bursts of the whole account.
type gaps struct {
	peak    float64
	last    time.Time
	begin   time.Time // of the current gap, or zero
	lengths []time.Duration
}

func (g *gaps) observe(now time.Time, total int) {
	if !g.last.IsZero() {
		g.peak -= g.peak * min(1, now.Sub(g.last).Seconds()/peakHalfLife.Seconds()/2)
	}
	g.last = now
	g.peak = max(g.peak, float64(total))
	low := float64(total) < g.peak/2
	switch {
	case low && g.begin.IsZero():
		g.begin = now
	case !low && !g.begin.IsZero():
		g.lengths = append(g.lengths, now.Sub(g.begin))
		g.lengths = g.lengths[max(0, len(g.lengths)-gapMemory):]
		g.begin = time.Time{}
	}
}

// holdFor returns how long an idle slot is held before its release: the time with the
// least cost over the observed gaps. Without observations it is the recall time, which
// costs at most twice as much as the best decision.
func (g *gaps) holdFor(recall time.Duration) time.Duration {
	if len(g.lengths) < gapMinimum {
		return recall
	}
	best, least := time.Duration(0), g.cost(0, recall)
	for _, h := range g.lengths {
		if c := g.cost(h, recall); c < least || c == least && h < best {
			best, least = h, c
		}
	}
	return best
}

// cost sums the idle time of a slot over the observed gaps: the gap, if it is held until
// its end, else the holding time and the recall.
func (g *gaps) cost(hold, recall time.Duration) (sum time.Duration) {
	for _, d := range g.lengths {
		if d <= hold {
			sum += d
		} else {
			sum += hold + recall
		}
	}
	return sum
}

// window keeps the recent totals of demand.
type window struct {
	at    []time.Time
	total []int
}

func (w *window) add(now time.Time, total int) {
	w.at, w.total = append(w.at, now), append(w.total, total)
}

// highest returns the highest total since the given time and forgets older ones.
func (w *window) highest(since time.Time) int {
	n := 0
	for n < len(w.at)-1 && w.at[n].Before(since) {
		n++
	}
	w.at, w.total = w.at[n:], w.total[n:]
	return slices.Max(w.total)
}
