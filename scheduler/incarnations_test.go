package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/progress"
)

// fiveSeconds is a task that runs for longer than the usual lease and shorter than the longest one.
var fiveSeconds = job.Step{Count: 1, Need: small}

// newRestartedWorker returns a simulation in which w0 has restarted unnoticed while it was idle, with a
// clock that is behind that of its earlier incarnation. Only w0 can be reached, so that it gets the next
// task.
func newRestartedWorker(behind time.Duration) *simulation {
	sim := newSimulation(2)
	sim.taskDuration = 5 * time.Second
	sim.run(100 * time.Millisecond)
	sim.workers["w1"].unreachable = true
	sim.run(500 * time.Millisecond)
	before := sim.workers["w0"].bornAt
	sim.restartUnnoticed("w0", time.Hour)
	sim.workers["w0"].bornAt = before.Add(behind)
	return sim
}

// cutOff cuts w0 off, while w1 can be reached again.
func cutOff(sim *simulation) {
	sim.workers["w0"].unreachable, sim.workers["w1"].unreachable = true, false
}

// losing makes all answers to calls of a kind get lost.
func losing(kind string) func(string) callOutcome {
	return func(k string) callOutcome {
		if k == kind {
			return responseLost
		}
		return answered
	}
}

// Guards against a task that runs twice because its start, with a lease on the clock of an earlier
// incarnation, was accepted by an incarnation whose clock has begun anew: its lease lasts longer than
// the owner assumed, and the worker is cut off.
func TestStartOnEarlierClockIsNotRunTwice(t *testing.T) {
	for name, play := range map[string]func(*simulation){
		"start answered": func(sim *simulation) { sim.run(simulationStep) },
		"start not answered": func(sim *simulation) {
			sim.callFault = losing("start")
			sim.run(simulationStep)
			sim.callFault = nil
		},
		"an earlier start not answered": func(sim *simulation) {
			sim.callFault = losing("start")
			sim.run(simulationStep)
			sim.callFault = nil
			sim.submit("b", fiveSeconds)
			sim.run(2 * simulationStep)
		},
		"listed": func(sim *simulation) { sim.run(1200 * time.Millisecond) },
		"listed seconds after the start": func(sim *simulation) {
			sim.callFault = losing("poll")
			sim.run(4500 * time.Millisecond)
			sim.callFault = nil
			sim.run(300 * time.Millisecond)
		},
		"registered": func(sim *simulation) {
			sim.run(simulationStep)
			w := sim.workers["w0"]
			sim.registerLater(w, 200*time.Millisecond)
		},
		"new owner": func(sim *simulation) {
			sim.run(simulationStep)
			cutOff(sim)
			sim.replaceOwner()
		},
		"new owner that knows the worker as unresponsive": func(sim *simulation) {
			sim.run(simulationStep)
			cutOff(sim)
			sim.run(time.Second)
			sim.replaceOwner()
		},
		"new owner that reaches the worker once": func(sim *simulation) {
			sim.run(simulationStep)
			sim.replaceOwner()
			sim.run(100 * time.Millisecond)
		},
	} {
		for kind, step := range map[string]job.Step{"task": fiveSeconds, "gang": {Count: 2, Need: small, Gang: true}, "long-running": lasting} {
			// Behind by a second, by more than the longest lease, and begun at zero.
			for _, behind := range []time.Duration{time.Second, 20 * time.Second, 100 * time.Second} {
				t.Run(fmt.Sprint(name, "/", kind, "/", behind), func(t *testing.T) {
					sim := newRestartedWorker(behind)
					sim.submit("a", step)
					play(sim)
					qt.Assert(t, sim.starts > 0, qt.IsTrue)
					cutOff(sim)
					sim.run(16 * time.Second)
					assertNoViolations(t, sim)
					if kind == "long-running" {
						assertRunning(t, sim, "a", 1)
						return
					}
					sim.workers["w0"].unreachable = false
					sim.run(6 * time.Second)
					assertNoViolations(t, sim)
					assertState(t, sim, "a", progress.Succeeded)
				})
			}
		}
	}
}

// Guards against a start that is taken for one on a sound worker, or that is lost, because the clock of a
// new incarnation is ahead of the earlier one: the worker rejects it as late or grants less.
func TestStartOnEarlierClockThatIsBehind(t *testing.T) {
	for _, ahead := range []time.Duration{time.Second, time.Minute} {
		t.Run(ahead.String(), func(t *testing.T) {
			sim := newRestartedWorker(-ahead)
			sim.submit("a", lasting)
			sim.run(simulationStep)
			cutOff(sim)
			sim.run(DefaultLimits().Lease + time.Second)
			assertNoViolations(t, sim)
			assertRunning(t, sim, "a", 1)
		})
	}
}

// Guards against tasks that wait for the longest lease although their worker has confirmed by its
// clock, or by its listing, that they run in the incarnation that the owner knows.
func TestConfirmedRunsWaitForTheUsualLease(t *testing.T) {
	for name, newOwner := range map[string]bool{"same owner": false, "new owner that knows the worker as unresponsive": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(2)
			sim.run(100 * time.Millisecond)
			sim.workers["w1"].unreachable = true
			sim.run(500 * time.Millisecond)
			sim.submit("a", lasting)
			sim.run(simulationStep)
			qt.Assert(t, sim.workers["w0"].runs, qt.HasLen, 1)
			cutOff(sim)
			sim.run(1200 * time.Millisecond)
			wait := DefaultLimits().Lease
			if newOwner {
				qt.Assert(t, sim.unresponsive, qt.HasLen, 1)
				sim.replaceOwner()
				wait += 1200 * time.Millisecond
			}
			sim.run(wait)
			assertNoViolations(t, sim)
			assertRunning(t, sim, "a", 1)
		})
	}
}

// Guards against a sibling that waits for the longest lease because the start of another task on its
// worker was not answered, and against a record that still has it after it was started elsewhere.
func TestUnconfirmedStartHoldsOnlyItsTask(t *testing.T) {
	sim := newSimulation(2)
	sim.run(100 * time.Millisecond)
	sim.workers["w1"].unreachable = true
	sim.run(500 * time.Millisecond)
	sim.submit("a", lasting)
	sim.run(300 * time.Millisecond)
	sim.callFault = losing("start")
	sim.submit("b", lasting)
	sim.run(simulationStep)
	sim.callFault = nil
	qt.Assert(t, sim.workers["w0"].runs, qt.HasLen, 2)
	cutOff(sim)
	sim.run(DefaultLimits().Lease + time.Second)
	assertRunning(t, sim, "a", 1)
	assertRunning(t, sim, "b", 0)
	qt.Assert(t, sim.unresponsive["w0"].Runs, qt.HasLen, 1)
	sim.run(DefaultLimits().MaxLease)
	assertNoViolations(t, sim)
	assertRunning(t, sim, "b", 1)
}

// Guards against a sound worker that counts as restarted because the clock in its answer is cut to
// milliseconds, and against one that has restarted and counts as sound.
func TestClockInStartAnswer(t *testing.T) {
	for behind, usual := range map[time.Duration]bool{-time.Second: true, 0: true, 999 * time.Microsecond: true, 5 * time.Millisecond: false, time.Minute: false} {
		t.Run(behind.String(), func(t *testing.T) {
			sim, starts := newUnsentStarts(t)
			w := sim.core.workers["w0"]
			qt.Assert(t, starts[0].Claim(), qt.IsTrue)
			// A clock that is as slow as it may be.
			since := w.runs[starts[0].Task].sent.Sub(w.clockRead)
			clock := w.clock + since - time.Duration(float64(since)*DefaultLimits().MaxDrift)
			sim.core.StartAnswered(starts[0], StartAnswer{Result: StartAccepted, Clock: clock - behind}, sim.now)
			qt.Assert(t, w.runs[starts[0].Task].usualLease, qt.Equals, usual)
			qt.Assert(t, w.answered, qt.Equals, usual)
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
