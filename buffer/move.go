package buffer

import (
	"slices"
	"time"
)

// payBackFactor relates the cost of a move to the time after which it pays: a loan is
// taken to cost its lender a tenth of the lent time, through returns and the larger
// reserve. This is a chosen figure; docs/measures.md lists it as not measured.
const payBackFactor = 10

// move is a worker on its way, or one whose pay-back time has not ended.
type move struct {
	worker   Worker
	from, to string
	begin    time.Time
	paid     time.Time // when the pay-back time ends that was known at its begin
	arrived  bool
}

// payBack is the time for which demand must have lasted before a worker moves, and for
// which no worker moves in the opposite direction.
func (p *Policy) payBack() time.Duration { return payBackFactor * p.moving }

// Moved records that a worker serves in its new pool.
func (p *Policy) Moved(now time.Time, worker string) {
	for i := range p.moves {
		m := &p.moves[i]
		if m.worker.Name != worker || m.arrived {
			continue
		}
		m.arrived = true
		p.moving = now.Sub(m.begin)
		to := p.find(m.to)
		to.capacity += m.worker.Slots
		to.hold += m.worker.Slots
		to.told += m.worker.Slots
		to.size = max(to.size, m.worker.Slots)
		for j := range p.workers {
			if p.workers[j].Name == worker {
				p.workers[j].Pool = m.to
			}
		}
	}
}

func (p *Policy) isMoving(worker string) bool {
	return slices.ContainsFunc(p.moves, func(m move) bool { return m.worker.Name == worker && !m.arrived })
}

// missing counts the slots that the pool needs beyond its capacity and those borrowed. A
// pool that must not borrow still shows a lasting demand by them.
func (p *Policy) missing(d *pool) int { return max(0, d.need-d.capacity-p.borrowed(d)) }

// moveForLastingDemand moves one worker to each pool that has borrowed or lacked at least
// as many slots without a break for the pay-back time.
func (p *Policy) moveForLastingDemand(now time.Time) {
	p.moves = slices.DeleteFunc(p.moves, func(m move) bool { return m.arrived && !now.Before(m.paid) })
	for _, to := range p.pools {
		if n := p.borrowed(to) + p.missing(to); n == 0 || n < to.size {
			to.borrowing = time.Time{}
			continue
		}
		if to.borrowing.IsZero() {
			to.borrowing = now
		}
		if now.Sub(to.borrowing) >= p.rules.payBack(p) && p.moveTo(now, to) {
			to.borrowing = now
		}
	}
}

func (p *Policy) moveTo(now time.Time, to *pool) bool {
	for _, from := range p.byPreference(to) {
		if p.isRecent(to.Name, from.Name) {
			continue
		}
		i := slices.IndexFunc(p.workers, func(w Worker) bool { return w.Pool == from.Name && !p.rules.busy(p, w.Name) })
		if i >= 0 && p.mayLeave(from, p.workers[i]) {
			p.begin(now, p.workers[i], from, to)
			return true
		}
	}
	return false
}

// isRecent reports whether a worker moved this way within its pay-back time.
func (p *Policy) isRecent(from, to string) bool {
	return slices.ContainsFunc(p.moves, func(m move) bool { return m.from == from && m.to == to })
}

// mayLeave reports whether the pool keeps its available workers and has the worker's slots
// to spare.
func (p *Policy) mayLeave(from *pool, w Worker) bool {
	n := 0
	for _, o := range p.workers {
		if o.Pool == from.Name && !p.rules.busy(p, o.Name) {
			n++
		}
	}
	return n > from.MinAvailable && from.capacity-w.Slots >= p.wanted(from)
}

func (p *Policy) begin(now time.Time, w Worker, from, to *pool) {
	p.moves = append(p.moves, move{worker: w, from: from.Name, to: to.Name, begin: now, paid: now.Add(p.rules.payBack(p))})
	from.capacity -= w.Slots
	p.giveBack(from, to, w.Slots)
	from.hold = min(from.hold, from.capacity)
	p.end(from, from.lentOut()+p.wanted(from)-from.hold)
	p.act(Action{Kind: Move, From: from.Name, To: to.Name, Worker: w.Name, Slots: w.Slots})
}
