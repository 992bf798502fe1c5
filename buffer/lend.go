package buffer

import (
	"slices"
	"time"
)

// longestLoanRun is the longest run of requests that borrow slots. A lender has its slots
// again within 2 s: the run and two periods of 250 ms for report and decision.
const longestLoanRun = 1500 * time.Millisecond

// isBrief reports whether the requests of the pool's service end soon enough to borrow.
func (d *pool) isBrief() bool { return d.load.longest <= longestLoanRun }

// takeBack returns the lent slots that their pool needs itself and those that the
// borrower no longer needs.
func (p *Policy) takeBack() {
	for _, d := range p.pools {
		p.end(d, p.rules.owed(p, d))
	}
	for _, to := range p.pools {
		for _, from := range slices.Backward(p.byPreference(to)) {
			surplus := -p.shortage(to)
			if !p.rules.brief(to) {
				surplus = p.borrowed(to)
			}
			p.giveBack(from, to, surplus)
		}
	}
}

// owed counts the lent slots that the lender needs. It does not wait for the recall of
// released slots, so that the lender has its slots again as soon as the requests on them
// have ended.
func (p *Policy) owed(d *pool) int { return max(0, p.wanted(d)-(d.hold-d.lentOut())) }

// end takes n lent slots back from the borrowers in turn.
func (p *Policy) end(from *pool, n int) {
	for _, to := range p.pools {
		n -= p.giveBack(from, to, n)
	}
}

func (p *Policy) giveBack(from, to *pool, n int) int {
	n = min(n, from.lent[to])
	if n <= 0 {
		return 0
	}
	from.lent[to] -= n
	p.act(Action{Kind: Return, From: from.Name, To: to.Name, Slots: n})
	return n
}

// coverShortages lends slots that are ready before it recalls released ones: ready slots
// cost the same whether idle or lent. Slots of available workers are never replaced by
// borrowed ones. Own slots are recalled before those of others.
func (p *Policy) coverShortages() {
	for _, d := range p.pools {
		d.hold = max(d.hold, p.rules.floor(d))
	}
	for _, to := range p.pools {
		lenders := p.byPreference(to)
		if !p.rules.brief(to) {
			lenders = nil
		}
		for _, from := range lenders {
			p.lend(from, to, min(p.shortage(to), p.idle(from)))
		}
		if n := min(p.shortage(to), to.capacity-to.hold); n > 0 {
			to.hold += n
		}
		for _, from := range lenders {
			n := min(p.shortage(to), from.capacity-max(from.hold, from.lentOut()+p.wanted(from)))
			if n > 0 {
				from.hold += n
				p.lend(from, to, n)
			}
		}
	}
}

func (p *Policy) lend(from, to *pool, n int) {
	if n <= 0 {
		return
	}
	from.lent[to] += n
	p.act(Action{Kind: Lend, From: from.Name, To: to.Name, Slots: n})
}

// byPreference orders the possible lenders: the spare pool, then by unused capacity.
func (p *Policy) byPreference(to *pool) []*pool {
	out := make([]*pool, 0, len(p.pools))
	for _, d := range p.pools {
		if d != to {
			out = append(out, d)
		}
	}
	slices.SortStableFunc(out, func(a, b *pool) int {
		if a.Spare != b.Spare {
			if a.Spare {
				return -1
			}
			return 1
		}
		return (b.capacity - p.wanted(b)) - (a.capacity - p.wanted(a))
	})
	return out
}
