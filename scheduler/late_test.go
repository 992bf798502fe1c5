package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
)

// newLateBacklog returns a simulation with two pools of a number of machines in which the queue of
// pool desk has a backlog that can't be in time any more, on machines of both pools.
func newLateBacklog(machines int) *machineSimulation {
	sim := newMachineSimulation(map[string]int{"desk": machines, "league": machines})
	for n := range 28 * machines {
		sim.submitFor("rounds", "arbiters", fmt.Sprintf("late%d", n), job.Step{Count: 4, Need: small, Estimate: sim.taskDuration})
	}
	sim.advance(4 * time.Second)
	return sim
}

// busyLoans counts the machines that are to move to a pool once their tasks have ended.
func (sim *machineSimulation) busyLoans(pool string) int {
	n := 0
	for _, m := range sim.core.sortedMachines {
		if m.cordoned && m.moveTo == pool && sim.core.runsOn(m) > 0 {
			n++
		}
	}
	return n
}

// Pattern: a burst of one queue leaves a backlog that can't be in time any more, while the next
// queue has its turn. Guards against late work that keeps the machines of its pool busy, so that
// the work of the other queue comes too late as well.
func TestLateWorkLendsItsMachines(t *testing.T) {
	for name, c := range map[string]struct {
		machines int
		lends    bool
	}{
		"large pools": {30, true},
		// Each machine on its way is a tenth of such a pool.
		"small pools": {9, false},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newLateBacklog(c.machines)
			for n := range 4 * c.machines {
				sim.submitFor("teams", "arbiters", fmt.Sprintf("turn%d", n), job.Step{Count: 4, Need: small, Estimate: sim.taskDuration})
			}
			sim.advance(planInterval)
			qt.Assert(t, sim.busyLoans("league") >= 3, qt.Equals, c.lends, qt.Commentf("%d lent", sim.busyLoans("league")))
			sim.advance(time.Second)
			assertNoViolations(t, sim.simulation)
		})
	}
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
	sim := newLateBacklog(9)
	sim.advance(20 * time.Second)
	assertState(t, sim.simulation, "late251", "succeeded")
}
