package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/progress"
)

// Guards against a worker that comes back after its registration was gone for seconds and gets calls
// with a lower fencing token than it has seen, which it refuses for the rest of the term.
func TestWorkerIsUsedAfterItsRegistrationIsBack(t *testing.T) {
	sim := newSimulation(1)
	sim.run(100 * time.Millisecond)
	sim.delayTimeouts = true
	lost := false
	sim.callFault = func(kind string) callOutcome {
		if kind == "start" && !lost {
			lost = true
			return requestLost
		}
		return answered
	}
	sim.submit("a", job.Step{Count: 1, Need: small})
	sim.run(3 * time.Second)
	assertState(t, sim, "a", progress.Succeeded)
	w := sim.workers["w0"]
	w.unreachable = true
	sim.core.RemoveWorker("w0", sim.now)
	sim.run(6 * time.Second)
	qt.Assert(t, sim.core.workers["w0"], qt.IsNil)
	w.unreachable = false
	sim.core.SetWorker(w.registration, sim.now)
	sim.submit("b", job.Step{Count: 1, Need: small})
	sim.run(5 * time.Second)
	assertState(t, sim, "b", progress.Succeeded)
}

// Guards against a run of a cancelled job that begins on a worker which is back under its ID with a new
// incarnation: the tokens that the worker was given before were forgotten, so that the first poll did
// not fence an older start.
func TestLateStartIsFencedAfterItsWorkerWasForgotten(t *testing.T) {
	sim := newSimulation(1)
	sim.run(100 * time.Millisecond)
	sim.delayTimeouts = true
	var starts []Start
	sim.onActions = func(a Actions) {
		for _, s := range a.Starts {
			s.Fence = sim.core.workers["w0"].fence
			starts = append(starts, s)
		}
	}
	sim.callFault = func(kind string) callOutcome {
		if kind == "start" {
			return requestLost
		}
		return answered
	}
	// The first start is lost, and the second one is on its way when the worker crashes.
	sim.submit("a", lasting)
	for len(starts) < 2 {
		sim.step()
	}
	sim.workers["w0"].down = true
	sim.callFault = nil
	sim.core.RemoveWorker("w0", sim.now)
	sim.cancel("a")
	sim.run(DefaultLimits().MaxLease + 2*time.Second)
	qt.Assert(t, sim.core.workers["w0"], qt.IsNil)
	sim.restart("w0")
	sim.run(500 * time.Millisecond)
	qt.Assert(t, sim.handleStart(sim.workers["w0"], starts[1]), qt.Equals, StartRejected)
}
