package callermemory

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// paceSpan is the time in which the weight of what has arrived falls to 37%.
	paceSpan = 500 * time.Millisecond
	// initialPace is what a body is taken to have at its start, in bytes per second, so that a
	// new one is not the slowest before anything of it can have arrived.
	initialPace = 128 << 10
	// minPace is the pace, in bytes per second, from which on no body is given up for another
	// one. A body of 256 KB at this pace takes 8 s, longer than a caller waits by default.
	minPace = 32 << 10
)

// pace estimates how fast a body arrives, in bytes per second, from what has arrived last.
type pace struct {
	last float64
	at   time.Time
}

func newPace(now time.Time) pace { return pace{initialPace, now} }

func (p *pace) rate(now time.Time) float64 {
	return p.last * math.Exp(-now.Sub(p.at).Seconds()/paceSpan.Seconds())
}

func (p *pace) add(n int, now time.Time) {
	p.last, p.at = p.rate(now)+float64(n)/paceSpan.Seconds(), now
}

// candidate is a body that may be given up.
type candidate struct {
	body     *Reservation
	reserved int64
	// pace is in bytes per second.
	pace float64
}

// chooseSlowest returns the slowest bodies that together hold the needed bytes. It reports false,
// and chooses none, if those slower than minPace hold less.
func chooseSlowest(candidates []candidate, needed int64) (chosen []*Reservation, enough bool) {
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.pace, b.pace) })
	for _, c := range candidates {
		if needed <= 0 || c.pace >= minPace {
			break
		}
		chosen = append(chosen, c.body)
		needed -= c.reserved
	}
	if needed > 0 {
		return nil, false
	}
	return chosen, true
}
