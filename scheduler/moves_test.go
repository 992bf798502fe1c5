package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a worker that is never used, because the answer to the move of its machine was lost:
// the repeated order is answered as already carried out while the machine carries that next worker,
// which then counts as the one that is taken away.
func TestWorkerIsUsedAfterLostAnswerToMove(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 2, "league": 8})
	const answerTimeout = 1550 * time.Millisecond
	var late []delayedCall
	orders := 0
	sim.onOrder = func(o MachineOrder) {
		orders++
		if sim.machines[o.Machine].Pool == o.Pool {
			sim.core.MachineOrderAnswered(o, OrderAccepted, sim.now)
			return
		}
		sim.carryOut(o)
		late = append(late, delayedCall{sim.now.Add(answerTimeout), func() { sim.core.MachineOrderAnswered(o, OrderUnanswered, sim.now) }})
	}
	m := sim.core.machines["league-7"]
	m.cordoned, m.cordonedAt, m.moveTo = true, sim.now, "desk"
	for range 300 {
		sim.advance(simulationStep)
		applyDue(&late, sim.now)
	}
	qt.Assert(t, orders, qt.Equals, 2)
	moved := sim.machines["league-7"]
	qt.Assert(t, moved.Pool, qt.Equals, "desk")
	qt.Assert(t, sim.core.usable(sim.core.workers[moved.Worker]), qt.IsTrue)
}
