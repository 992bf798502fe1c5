package measure

import (
	"time"

	"egretdrum.example/buffer"
)

const (
	// The threshold baseline moves a worker to a pool above highPercent of slots in use from
	// a pool below lowPercent.
	highPercent = 90
	lowPercent  = 50
	// burstWorkers is the number of workers with which each of five pools can serve a burst,
	// which is a tenth above five times the mean. The users have fewer workers.
	burstWorkers = 90
	// allSlots as a reserve keeps every slot of a pool ready.
	allSlots = burstWorkers * slotsPerWorker
)

// bufferPolicy returns the buffer policy of the program.
func bufferPolicy(s shape) (decider, []buffer.Worker) {
	members := s.members(workers, spareWorkers)
	p := buffer.New(s.pools(), members)
	return decider{
		decide: func(now time.Time, sim *simulation) []buffer.Action { return p.Decide(now, sim.takeReports()) },
		moved:  p.Moved,
	}, members
}

// fixedReserve returns a baseline that holds a fixed number of idle slots ready in each pool,
// within the size of the pool. The workers are divided equally among the services, the spare
// pool is empty, and there are no loans and no moves.
func fixedReserve(total, reserve int) func(s shape) (decider, []buffer.Worker) {
	return func(s shape) (decider, []buffer.Worker) {
		decide := func(_ time.Time, sim *simulation) (out []buffer.Action) {
			for _, st := range sim.pools[:services] {
				out = append(out, buffer.Action{Kind: buffer.Hold, From: st.name, Slots: max(s.floorSlots(), sum(st.used)+reserve)})
			}
			return out
		}
		return decider{decide: decide}, s.members(total, 0)
	}
}

// thresholdPolicy returns a baseline that holds all slots ready and moves a worker each time
// the use of a pool rises above the upper threshold while another pool is below the lower one.
func thresholdPolicy(s shape) (decider, []buffer.Worker) {
	members := s.members(workers, spareWorkers)
	moving := make(map[string]string)
	above := make(map[*poolState]bool)
	decide := func(_ time.Time, sim *simulation) (out []buffer.Action) {
		leaving := make(map[*poolState]int)
		for _, to := range sim.pools[:services] {
			wasAbove := above[to]
			above[to] = sum(to.used)*100 >= to.capacity*highPercent
			if wasAbove || !above[to] {
				continue
			}
			from := leastUsed(sim, leaving)
			if from == nil {
				continue
			}
			for i, m := range members {
				if m.Pool == from.name && moving[m.Name] == "" {
					moving[m.Name], members[i].Pool = to.name, ""
					leaving[from] += m.Slots
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

// leastUsed returns the pool with the lowest use below the lower threshold that can give up a
// worker and still has its minimum of available workers, or nil.
func leastUsed(sim *simulation, leaving map[*poolState]int) (best *poolState) {
	least := lowPercent * 1.0
	for _, st := range sim.pools {
		left := st.capacity - leaving[st]
		if left <= sim.shape.floorSlots() {
			continue
		}
		if use := float64(sum(st.used)*100) / float64(left); use < least {
			best, least = st, use
		}
	}
	return best
}
