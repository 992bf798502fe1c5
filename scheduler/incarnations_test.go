package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a task that runs twice because its start, with a lease on the clock of an earlier
// incarnation, was accepted by an incarnation whose clock has begun anew: its lease lasts longer than
// the owner assumed, and the worker is cut off.
func TestStartOnEarlierClockIsNotRunTwice(t *testing.T) {
	for name, c := range map[string]struct{ registeredAfter, cutAfter time.Duration }{
		"listed":                   {500 * time.Millisecond, 1200 * time.Millisecond},
		"registered while cut off": {500 * time.Millisecond, simulationStep},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(2)
			sim.run(100 * time.Millisecond)
			sim.workers["w1"].unreachable = true
			sim.run(500 * time.Millisecond)
			sim.restartUnnoticed("w0", c.registeredAfter)
			sim.submit("a", lasting)
			sim.run(c.cutAfter)
			w := sim.workers["w0"]
			qt.Assert(t, w.runs, qt.HasLen, 1)
			w.unreachable = true
			sim.workers["w1"].unreachable = false
			sim.run(8 * time.Second)
			assertNoViolations(t, sim)
			sim.run(4 * time.Second)
			qt.Assert(t, sim.workers["w1"].runs, qt.HasLen, 1)
		})
	}
}

// Guards against a poll of a worker that is known to have restarted which grants a lease on the clock
// of the earlier incarnation.
func TestPollOfRestartedWorkerGrantsNoLease(t *testing.T) {
	sim := newLasting(t)
	sim.restart("w0")
	polls := 0
	sim.onActions = func(a Actions) {
		for _, p := range a.Polls {
			if polls++; polls == 1 {
				qt.Check(t, p.Deadline, qt.Equals, time.Duration(0))
			}
		}
	}
	sim.run(200 * time.Millisecond)
	qt.Assert(t, polls > 0, qt.IsTrue)
}
