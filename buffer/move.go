package buffer

import (
	"slices"
	"time"
)

// paybackFactor is the payback time of a move in units of its duration. A loan is assumed to
// cost its lender a tenth of the lent time, because of returns and the larger reserve. The
// figure is an assumption; docs/measures.md lists it as not measured.
const paybackFactor = 10

// move is a worker in transit, or one that arrived and whose payback time has not ended.
type move struct {
	worker   Worker
	from, to string
	started  time.Time
	paidBack time.Time // end of the payback time, as estimated at the start of the move
	arrived  bool
}

// payback is the time for which demand must have lasted before a worker moves, and during
// which no worker moves in the opposite direction.
func (p *Policy) payback() time.Duration { return paybackFactor * p.moveTime }

// Moved records that a worker has arrived in its new pool and serves there.
func (p *Policy) Moved(now time.Time, worker string) {
	for i := range p.moves {
		m := &p.moves[i]
		if m.worker.Name != worker || m.arrived {
			continue
		}
		m.arrived = true
		p.moveTime = now.Sub(m.started)
		to := p.find(m.to)
		to.capacity += m.worker.Slots
		to.held += m.worker.Slots
		to.announced += m.worker.Slots
		to.maxWorker = max(to.maxWorker, m.worker.Slots)
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

// unmet counts the slots that the pool needs beyond its capacity and the borrowed ones. For
// a pool that must not borrow, they are the sign of sustained demand.
func (p *Policy) unmet(d *pool) int { return max(0, d.need-d.capacity-p.borrowed(d)) }

// moveForSustainedDemand moves one worker to each pool that has, during the whole payback
// time, borrowed or lacked at least as many slots as its largest worker has.
func (p *Policy) moveForSustainedDemand(now time.Time) {
	p.moves = slices.DeleteFunc(p.moves, func(m move) bool { return m.arrived && !now.Before(m.paidBack) })
	for _, to := range p.pools {
		if n := p.borrowed(to) + p.unmet(to); n == 0 || n < to.maxWorker {
			to.shortSince = time.Time{}
			continue
		}
		if to.shortSince.IsZero() {
			to.shortSince = now
		}
		if now.Sub(to.shortSince) >= p.rules.payback(p) && p.moveTo(now, to) {
			to.shortSince = now
		}
	}
}

func (p *Policy) moveTo(now time.Time, to *pool) bool {
	for _, from := range p.byPreference(to) {
		if p.movedRecently(to.Name, from.Name) {
			continue
		}
		i := slices.IndexFunc(p.workers, func(w Worker) bool { return w.Pool == from.Name && !p.rules.isMoving(p, w.Name) })
		if i >= 0 && p.canSpare(from, p.workers[i]) {
			p.startMove(now, p.workers[i], from, to)
			return true
		}
	}
	return false
}

// movedRecently reports whether a worker moved in this direction and its payback time has
// not ended.
func (p *Policy) movedRecently(from, to string) bool {
	return slices.ContainsFunc(p.moves, func(m move) bool { return m.from == from && m.to == to })
}

// canSpare reports whether the pool, without the worker, keeps its minimum of available
// workers and the slots that it requires.
func (p *Policy) canSpare(from *pool, w Worker) bool {
	n := 0
	for _, o := range p.workers {
		if o.Pool == from.Name && !p.rules.isMoving(p, o.Name) {
			n++
		}
	}
	return n > from.MinAvailable && from.capacity-w.Slots >= p.required(from)
}

func (p *Policy) startMove(now time.Time, w Worker, from, to *pool) {
	p.moves = append(p.moves, move{worker: w, from: from.Name, to: to.Name, started: now, paidBack: now.Add(p.rules.payback(p))})
	from.capacity -= w.Slots
	p.returnSlots(from, to, w.Slots)
	from.held = min(from.held, from.capacity)
	p.recallLoans(from, from.lentOut()+p.required(from)-from.held)
	p.act(Action{Kind: Move, From: from.Name, To: to.Name, Worker: w.Name, Slots: w.Slots})
}
