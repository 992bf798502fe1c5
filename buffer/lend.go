package buffer

import (
	"slices"
	"time"
)

// maxLoanRun bounds the run time of requests that may run on borrowed slots. It gives a
// lender its slots back within 2 s: the run, and two periods of 250 ms for the report and
// the decision.
const maxLoanRun = 1500 * time.Millisecond

// mayBorrow reports whether the requests of the pool's service are short enough to run on
// borrowed slots.
func (d *pool) mayBorrow() bool { return d.load.longest <= maxLoanRun }

// endLoans returns the lent slots that the lender needs itself and those that the borrower
// no longer needs.
func (p *Policy) endLoans() {
	for _, d := range p.pools {
		p.recallLoans(d, p.rules.recallNeed(p, d))
	}
	for _, to := range p.pools {
		for _, from := range slices.Backward(p.byPreference(to)) {
			surplus := -p.shortage(to)
			if !p.rules.mayBorrow(to) {
				surplus = p.borrowed(to)
			}
			p.returnSlots(from, to, surplus)
		}
	}
}

// recallNeed counts the lent slots that the lender needs itself. The lender takes back lent
// slots before it recalls released ones, so that it has them as soon as the requests on
// them have ended.
func (p *Policy) recallNeed(d *pool) int { return max(0, p.required(d)-(d.held-d.lentOut())) }

// recallLoans takes n lent slots back, from one borrower after the other.
func (p *Policy) recallLoans(from *pool, n int) {
	for _, to := range p.pools {
		n -= p.returnSlots(from, to, n)
	}
}

func (p *Policy) returnSlots(from, to *pool, n int) int {
	n = min(n, from.lent[to])
	if n <= 0 {
		return 0
	}
	from.lent[to] -= n
	p.act(Action{Kind: Return, From: from.Name, To: to.Name, Slots: n})
	return n
}

// coverShortages lends slots that are ready before it recalls released ones: ready slots
// cost the same whether idle or lent. Borrowed slots never replace those of the available
// workers of a pool. A pool recalls its own slots before those of others.
func (p *Policy) coverShortages() {
	for _, d := range p.pools {
		d.held = max(d.held, p.rules.floor(d))
	}
	for _, to := range p.pools {
		lenders := p.byPreference(to)
		if !p.rules.mayBorrow(to) {
			lenders = nil
		}
		for _, from := range lenders {
			p.lend(from, to, min(p.shortage(to), p.idle(from)))
		}
		if n := min(p.shortage(to), to.capacity-to.held); n > 0 {
			to.held += n
		}
		for _, from := range lenders {
			n := min(p.shortage(to), from.capacity-max(from.held, from.lentOut()+p.required(from)))
			if n > 0 {
				from.held += n
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

// byPreference returns the pools that can lend to a pool: the spare pool first, the others
// by unused capacity.
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
		return (b.capacity - p.required(b)) - (a.capacity - p.required(a))
	})
	return out
}
