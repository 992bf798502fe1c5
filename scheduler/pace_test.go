package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/resource"
)

// newPaceSimulation returns a simulation of one worker with a task that has a latency target and a
// background task, which at full speed adds the given multiple of the target to the latency.
func newPaceSimulation(interference float64) *simulation {
	sim := newSimulation(1)
	sim.workers["w0"].interference = interference
	sim.run(100 * time.Millisecond)
	sim.submit("serving", job.Step{Count: 1, Need: small, LongRunning: true, LatencyTarget: 100 * time.Millisecond})
	sim.run(time.Second)
	sim.submit("background", job.Step{Count: 1, Need: resource.Amount{CPU: 4500, Memory: 100}, LongRunning: true, Background: true})
	return sim
}

// background returns the background run, nil if there is none.
func (sim *simulation) background() *fakeRun {
	for _, r := range sim.workers["w0"].runs {
		if r.step.Background {
			return r
		}
	}
	return nil
}

// longestOverTarget runs the simulation for d, and returns the longest time for which the latency
// was over its target without a break.
func (sim *simulation) longestOverTarget(d time.Duration) time.Duration {
	var since time.Time
	longest := time.Duration(0)
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.step()
		over := false
		for _, r := range sim.workers["w0"].runs {
			over = over || (r.step.LatencyTarget > 0 && sim.workers["w0"].load(r) > int(r.step.LatencyTarget.Milliseconds()))
		}
		switch {
		case !over:
			since = time.Time{}
		case since.IsZero():
			since = sim.now
		}
		if !since.IsZero() {
			longest = max(longest, sim.now.Sub(since))
		}
	}
	return longest
}

// Guards against a background task that keeps the latency of a task on the same worker over its
// target for too long: users tolerate 4 s, so it has to be slowed down well before.
func TestBackgroundTaskIsPacedWithinTwoSeconds(t *testing.T) {
	for _, interference := range []float64{0.4, 1.2, 4, 20} {
		sim := newPaceSimulation(interference)
		over := sim.longestOverTarget(20 * time.Second)
		qt.Assert(t, over < 2*time.Second, qt.IsTrue, qt.Commentf("%v over the target at an interference of %v", over, interference))
		qt.Assert(t, sim.background(), qt.Not(qt.IsNil))
	}
}

// Guards against a background task that stays slow after the task that it slowed down has ended, or
// although it hardly affects the latency.
func TestBackgroundTaskSpeedsUpAgain(t *testing.T) {
	sim := newPaceSimulation(0.2)
	sim.run(8 * time.Second)
	qt.Assert(t, sim.background().pace, qt.Equals, 100)
	sim = newPaceSimulation(4)
	sim.run(5 * time.Second)
	qt.Assert(t, sim.background().pace < 50, qt.IsTrue)
	sim.cancel("serving")
	sim.run(3 * time.Second)
	qt.Assert(t, sim.background().pace, qt.Equals, 100)
}

// Guards against a pace order that is lost and never sent again.
func TestLostPaceOrderIsSentAgain(t *testing.T) {
	for lost := range 4 {
		sim := newPaceSimulation(20)
		calls := 0
		sim.callFault = func(kind string) callOutcome {
			if kind == "pace" {
				if calls++; calls == lost {
					return requestLost
				}
			}
			return answered
		}
		over := sim.longestOverTarget(10 * time.Second)
		qt.Assert(t, over < 2*time.Second, qt.IsTrue, qt.Commentf("%v with order %d lost", over, lost))
	}
}

// Guards against a new owner that assumes a task of the previous owner to run at the pace that it
// would order itself, and so never orders it.
func TestNewOwnerPacesAgain(t *testing.T) {
	sim := newPaceSimulation(20)
	sim.callFault = func(kind string) callOutcome {
		if kind == "pace" {
			return requestLost
		}
		return answered
	}
	sim.run(100 * time.Millisecond)
	qt.Assert(t, sim.background().pace, qt.Equals, 100)
	sim.callFault = nil
	sim.replaceOwner()
	over := sim.longestOverTarget(10 * time.Second)
	qt.Assert(t, over < 2*time.Second, qt.IsTrue, qt.Commentf("%v", over))
	sim.cancel("serving")
	sim.run(4 * time.Second)
	qt.Assert(t, sim.background().pace, qt.Equals, 100)
}

// Guards against a pace call that the worker carries out after a newer one: the owner took the newer
// one for the pace in force and never repeated it.
func TestOvertakenPaceOrderIsCorrected(t *testing.T) {
	for delayed := 1; delayed < 12; delayed++ {
		sim := newPaceSimulation(20)
		calls := 0
		sim.callFault = func(kind string) callOutcome {
			if kind == "pace" {
				if calls++; calls == delayed {
					return requestDelayed
				}
			}
			return answered
		}
		over := sim.longestOverTarget(20 * time.Second)
		qt.Check(t, over < 2*time.Second, qt.IsTrue, qt.Commentf("%v with order %d carried out late", over, delayed))
	}
}

// Guards against a background task that stays halted for good, because the call that halted it was
// carried out after the one that let it run on.
func TestBackgroundTaskIsNotHaltedByLatePace(t *testing.T) {
	tried := 0
	for delayed := 1; delayed < 12; delayed++ {
		sim := newPaceSimulation(20)
		calls, halts := 0, false
		sim.onActions = func(a Actions) {
			for _, p := range a.Paces {
				halts = p.Percent == 0
			}
		}
		sim.callFault = func(kind string) callOutcome {
			if kind != "pace" {
				return answered
			}
			if calls++; calls != delayed {
				return answered
			}
			if halts {
				sim.cancel("serving")
			}
			return requestDelayed
		}
		sim.run(10 * time.Second)
		if sim.cancels["serving"].IsZero() {
			continue
		}
		tried++
		qt.Check(t, sim.background().pace, qt.Equals, 100, qt.Commentf("order %d carried out late", delayed))
	}
	qt.Assert(t, tried > 0, qt.IsTrue)
}
