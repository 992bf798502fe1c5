package measure

import (
	"time"

	"egretdrum.example/buffer"
)

const (
	// highPercent and lowPercent of a pool's slots in use are the thresholds by which the
	// threshold baseline moves a worker to or from a pool.
	highPercent = 90
	lowPercent  = 50
	// burstWorkers is what five pools need to hold a burst each, a tenth above five times
	// the mean: more workers than the users have.
	burstWorkers = 90
	// allSlots as a reserve keeps every slot of a pool ready.
	allSlots = burstWorkers * slotsPerWorker
)

// policy is the real core.
func policy(s shape) (decider, []buffer.Worker) {
	members := s.members(workers, spareWorkers)
	p := buffer.New(s.pools(), members)
	return decider{
		decide: func(now time.Time, w *world) []buffer.Action { return p.Decide(now, w.reports()) },
		moved:  p.Moved,
	}, members
}

// fixed holds a fixed number of idle slots ready in each pool, within the pool's size.
// The workers are divided equally; there is no spare pool, no loan and no move.
func fixed(total, reserve int) func(s shape) (decider, []buffer.Worker) {
	return func(s shape) (decider, []buffer.Worker) {
		decide := func(_ time.Time, w *world) (out []buffer.Action) {
			for _, st := range w.stations[:services] {
				out = append(out, buffer.Action{Kind: buffer.Hold, From: st.name, Slots: max(s.floorSlots(), sum(st.used)+reserve)})
			}
			return out
		}
		return decider{decide: decide}, s.members(total, 0)
	}
}

// threshold holds all slots ready and moves a worker each time the use of a pool rises
// above the upper threshold while another pool is below the lower one.
func threshold(s shape) (decider, []buffer.Worker) {
	members := s.members(workers, spareWorkers)
	moving := make(map[string]string)
	above := make(map[*station]bool)
	decide := func(_ time.Time, w *world) (out []buffer.Action) {
		taken := make(map[*station]int)
		for _, to := range w.stations[:services] {
			was := above[to]
			above[to] = sum(to.used)*100 >= to.capacity*highPercent
			if was || !above[to] {
				continue
			}
			from := leastUsed(w, taken)
			if from == nil {
				continue
			}
			for i, m := range members {
				if m.Pool == from.name && moving[m.Name] == "" {
					moving[m.Name], members[i].Pool = to.name, ""
					taken[from] += m.Slots
					out = append(out, buffer.Action{Kind: buffer.Move, From: from.name, To: to.name, Worker: m.Name, Slots: m.Slots})
					break
				}
			}
		}
		return out
	}
	moved := func(_ time.Time, worker string) {
		for i, m := range members {
			if m.Name == worker {
				members[i].Pool = moving[worker]
				delete(moving, worker)
			}
		}
	}
	return decider{decide, moved}, members
}

// leastUsed returns the pool with the lowest use below the lower threshold that keeps its
// available workers without one more.
func leastUsed(w *world, taken map[*station]int) (best *station) {
	least := lowPercent * 1.0
	for _, st := range w.stations {
		left := st.capacity - taken[st]
		if left <= w.shape.floorSlots() {
			continue
		}
		if use := float64(sum(st.used)*100) / float64(left); use < least {
			best, least = st, use
		}
	}
	return best
}
