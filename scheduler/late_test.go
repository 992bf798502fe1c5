package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
)

// newLateBacklog returns a simulation in which the queue of pool desk has a backlog that can't be
// in time any more, on machines of both pools.
func newLateBacklog() *machineSimulation {
	sim := newMachineSimulation(map[string]int{"desk": 9, "league": 9})
	for n := range 250 {
		sim.submitFor("rounds", "arbiters", fmt.Sprintf("late%d", n), job.Step{Count: 4, Need: small, Estimate: sim.taskDuration})
	}
	sim.advance(4 * time.Second)
	return sim
}

// lentTo counts the machines that were ordered to a pool since an order number.
func (sim *machineSimulation) lentTo(pool string, since int) int {
	n := 0
	for _, o := range sim.ordered[since:] {
		if o.Pool == pool {
			n++
		}
	}
	return n
}

// Pattern: a burst of one queue leaves a backlog that can't be in time any more, while the next
// queue has its turn. Guards against late work that keeps the machines of its pool busy, so that
// the work of the other queue comes too late as well.
func TestLateWorkLendsItsMachines(t *testing.T) {
	sim := newLateBacklog()
	before := len(sim.ordered)
	for n := range 40 {
		sim.submitFor("teams", "arbiters", fmt.Sprintf("turn%d", n), job.Step{Count: 4, Need: small, Estimate: sim.taskDuration})
	}
	sim.advance(time.Second)
	qt.Assert(t, sim.lentTo("league", before) >= 3, qt.IsTrue, qt.Commentf("%d lent", sim.lentTo("league", before)))
	assertNoViolations(t, sim.simulation)
}

// Guards against machines that are taken from a pool whose work can still be in time.
func TestWorkInTimeKeepsItsMachines(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 9, "league": 9})
	submit := func(queue, id string) {
		sim.submitFor(queue, "arbiters", id, job.Step{Count: 36, Need: small, Estimate: sim.taskDuration})
	}
	submit("rounds", "a")
	sim.advance(100 * time.Millisecond)
	for n := range 4 {
		submit("teams", fmt.Sprint("b", n))
	}
	sim.advance(200 * time.Millisecond)
	for _, o := range sim.ordered {
		qt.Check(t, o.Pool, qt.Not(qt.Equals), "league", qt.Commentf("%+v", o))
	}
}

// Guards against late work that is never done: it goes on as soon as no other work needs the room.
func TestLateWorkIsDoneInTheEnd(t *testing.T) {
	sim := newLateBacklog()
	sim.advance(20 * time.Second)
	assertState(t, sim.simulation, "late249", "succeeded")
}
