package buffer

import (
	"slices"
	"time"
)

// release lets idle slots go that no demand of the holding time would have used.
func (p *Policy) release(now time.Time) {
	total, held := 0, 0
	for _, d := range p.pools {
		total += p.wanted(d)
		held += d.hold
	}
	p.demand.add(now, total)
	excess := held - p.demand.highest(now.Add(-p.holdFor(now)))
	for _, d := range slices.Backward(p.byPreference(nil)) {
		n := min(excess, p.idle(d))
		if n > 0 {
			d.hold -= n
			excess -= n
		}
	}
}

// holdFor returns how long idle slots are held. Work that can wait for a recall needs no
// reserve; for other work the slots of the last bursts stay ready for the next.
func (p *Policy) holdFor(now time.Time) time.Duration {
	for _, d := range p.pools {
		s := &d.load.slack
		if now.Sub(s.since) < budgetMemory && time.Duration(slackPart*float64(s.shortest)) < p.recall {
			return budgetMemory
		}
	}
	return 0
}

// slack is the shortest time until a deadline that requests had on arrival, within the
// memory of the budget.
type slack struct {
	shortest time.Duration
	since    time.Time
}

func (s *slack) observe(now time.Time, shortest time.Duration) {
	if shortest <= s.shortest || now.Sub(s.since) >= budgetMemory {
		s.shortest, s.since = shortest, now
	}
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
