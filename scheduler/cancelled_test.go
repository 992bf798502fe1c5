package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"egretdrum.example/job"
)

// lasting is a task that runs until it is stopped.
var lasting = job.Step{Count: 1, Need: small, LongRunning: true}

// assertNothingRuns checks that no worker has a run of a job.
func assertNothingRuns(t testing.TB, sim *simulation, id string) {
	t.Helper()
	for _, w := range sim.workers {
		for task, r := range w.runs {
			if task.Job == id {
				t.Errorf("run %d of %s goes on at %s", r.number, task, w.registration.ID)
			}
		}
	}
}

// newLasting returns a simulation with one worker, on which a long-running task of job "a" runs.
func newLasting(t testing.TB) *simulation {
	sim := newSimulation(1)
	sim.run(100 * time.Millisecond)
	sim.submit("a", lasting)
	sim.run(300 * time.Millisecond)
	qt.Assert(t, sim.workers["w0"].runs, qt.HasLen, 1)
	return sim
}

// cancelAtSilentWorker cancels a job whose worker does not answer and was recorded as unresponsive,
// while the owner is replaced.
func cancelAtSilentWorker(sim *simulation) {
	sim.workers["w0"].unreachable = true
	sim.run(time.Second)
	sim.cancel("a")
	sim.run(100 * time.Millisecond)
	sim.replaceOwner()
	sim.run(100 * time.Millisecond)
	sim.workers["w0"].unreachable = false
}

// Guards against a run of a cancelled job that a new owner knows only from the record of an
// unresponsive worker: it was kept as wanted, and polls extended its lease.
func TestRecordedRunOfCancelledJobIsStopped(t *testing.T) {
	sim := newLasting(t)
	cancelAtSilentWorker(sim)
	sim.run(2 * time.Second)
	assertNothingRuns(t, sim, "a")
	assertNoViolations(t, sim)
}

// Guards against a stop that counts as carried out although its run began later, in the next
// incarnation of the worker, which knows of no stop.
func TestRunThatBeginsAfterItsStopIsStoppedAgain(t *testing.T) {
	sim := newSimulation(1)
	sim.run(100 * time.Millisecond)
	sim.delayTimeouts = true
	sim.callFault = func(kind string) callOutcome {
		if kind == "start" {
			return requestDelayed
		}
		return answered
	}
	sim.submit("a", lasting)
	sim.step()
	begins := sim.now.Add(lateCallDelay)
	sim.callFault = nil
	sim.cancel("a")
	sim.step()
	// The stop is answered. The worker crashes, and is back just before the start arrives.
	sim.workers["w0"].down = true
	sim.run(begins.Sub(sim.now) - simulationStep)
	sim.restartUnnoticed("w0", time.Second)
	sim.run(3 * simulationStep)
	qt.Assert(t, sim.workers["w0"].runs, qt.HasLen, 1)
	sim.run(4 * time.Second)
	assertNothingRuns(t, sim, "a")
	assertNoViolations(t, sim)
}

// TestCancelledRunsEnd cancels jobs while workers are cut off and restarted, calls are lost or late
// and owners are replaced. It guards against a run of a cancelled job that goes on once the faults
// are over.
func TestCancelledRunsEnd(t *testing.T) { rapid.Check(t, simulateCancellations) }

func simulateCancellations(t *rapid.T) {
	sim := newSimulation(4)
	sim.delayTimeouts = rapid.Bool().Draw(t, "slow silence")
	fates := rapid.SliceOfN(rapid.SampledFrom([]callOutcome{answered, answered, requestLost, responseLost, requestDelayed}), 32, 32).Draw(t, "fates")
	calls, faulty := 0, false
	sim.callFault = func(string) callOutcome {
		calls++
		if !faulty {
			return answered
		}
		return fates[calls%len(fates)]
	}
	sim.run(100 * time.Millisecond)
	submitted := 0
	actions := map[string]func(){
		"submit": func() {
			sim.submit(fmt.Sprintf("j%d", submitted), job.Step{Count: rapid.IntRange(1, 3).Draw(t, "count"), Need: small, LongRunning: rapid.IntRange(0, 3).Draw(t, "kind") > 0})
			submitted++
		},
		"cancel": func() {
			if submitted > 0 {
				sim.cancel(fmt.Sprintf("j%d", rapid.IntRange(0, submitted-1).Draw(t, "job")))
			}
		},
		"owner": func() { sim.replaceOwner() },
		"cut":   func() { w := sim.workers[drawWorker(t)]; w.unreachable = !w.unreachable },
		"restart": func() {
			sim.restartUnnoticed(drawWorker(t), time.Duration(rapid.IntRange(0, 3).Draw(t, "delay"))*time.Second/2)
		},
		"down":   func() { sim.workers[drawWorker(t)].down = true },
		"faults": func() { faulty = !faulty },
	}
	names := slices.Sorted(maps.Keys(actions))
	for range rapid.IntRange(4, 20).Draw(t, "actions") {
		actions[rapid.SampledFrom(names).Draw(t, "action")]()
		sim.run(time.Duration(rapid.IntRange(1, 25).Draw(t, "steps")) * simulationStep)
	}
	faulty = false
	for _, id := range slices.Sorted(maps.Keys(sim.workers)) {
		sim.workers[id].unreachable = false
		if sim.workers[id].down {
			sim.restart(id)
		}
	}
	sim.run(6 * time.Second)
	sim.checkCancelledRuns()
	if len(sim.violations) > 0 {
		t.Fatalf("%d violations: %s", len(sim.violations), sim.violations[0])
	}
}
