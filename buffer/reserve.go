package buffer

import (
	"slices"
	"time"
)

// releaseIdle releases the idle slots that the highest demand within the hold time would
// not have used.
func (p *Policy) releaseIdle(now time.Time) {
	total, held := 0, 0
	for _, d := range p.pools {
		total += p.required(d)
		held += d.held
	}
	p.demand.add(now, total)
	excess := held - p.demand.highest(now.Add(-p.holdTime(now)))
	for _, d := range slices.Backward(p.byPreference(nil)) {
		n := min(excess, p.idle(d))
		if n > 0 {
			d.held -= n
			excess -= n
		}
	}
}

// holdTime returns how long idle slots stay held. Work that can wait for a recall needs no
// reserve; for other work the slots that the last bursts used stay ready for the next one.
func (p *Policy) holdTime(now time.Time) time.Duration {
	for _, d := range p.pools {
		s := &d.load.slack
		if now.Sub(s.since) < loadWindow && time.Duration(startFraction*float64(s.shortest)) < p.recallTime {
			return loadWindow
		}
	}
	return 0
}

// slack is the shortest time until the deadline that requests had on arrival, within about
// one load window.
type slack struct {
	shortest time.Duration
	since    time.Time
}

func (s *slack) observe(now time.Time, shortest time.Duration) {
	if shortest <= s.shortest || now.Sub(s.since) >= loadWindow {
		s.shortest, s.since = shortest, now
	}
}

// demandHistory holds the recent totals of demand.
type demandHistory struct {
	times  []time.Time
	totals []int
}

func (h *demandHistory) add(now time.Time, total int) {
	h.times, h.totals = append(h.times, now), append(h.totals, total)
}

// highest returns the highest total since the given time and drops older ones.
func (h *demandHistory) highest(since time.Time) int {
	n := 0
	for n < len(h.times)-1 && h.times[n].Before(since) {
		n++
	}
	h.times, h.totals = h.times[n:], h.totals[n:]
	return slices.Max(h.totals)
}
