package buffer

import (
	"math"
	"time"
)

// loadWindow is long enough for several bursts of each queue of an account.
const loadWindow = 30 * time.Second

// loadAverage is the moving average of the offered load of the whole account, in slots.
// This number of slots is enough in the long run: requests of a burst above it wait, and
// their backlog keeps the slots in use between bursts.
type loadAverage struct {
	mean        float64
	first, last time.Time
}

func (l *loadAverage) observe(now time.Time, offered float64) {
	if l.last.IsZero() {
		l.first, l.last = now, now
		return
	}
	window := min(loadWindow, now.Sub(l.first)).Seconds()
	if d := now.Sub(l.last).Seconds(); d > 0 {
		l.mean += (offered - l.mean) * min(1, d/window)
	}
	l.last = now
}

// setNeeds gives each pool the slots that its deadlines require and divides the rest of the
// average load among the pools with deferrable work, in proportion to that work.
func (p *Policy) setNeeds(now time.Time) {
	offered, urgent, deferrable := 0.0, 0, 0
	for _, d := range p.pools {
		offered += d.load.offered
		urgent += d.load.urgent
		deferrable += d.load.deferrable()
	}
	p.average.observe(now, offered)
	fraction := 0.0
	if deferrable > 0 {
		fraction = min(1, max(0, p.average.mean-float64(urgent))/float64(deferrable))
	}
	for _, d := range p.pools {
		d.need = d.load.urgent + int(math.Ceil(fraction*float64(d.load.deferrable())))
	}
}

// deferrable counts the slots that the service could use beyond the urgent ones.
func (l *load) deferrable() int { return max(0, l.useful-l.urgent) }
