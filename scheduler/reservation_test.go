package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/catalog"
	"egretdrum.example/job"
	"egretdrum.example/property"
	"egretdrum.example/resource"
)

// wide is the need of a long-running task that most of a worker has to be free for.
var wide = resource.Amount{CPU: 1000, Memory: 6000}

// advanceFull moves the time forward by d while small tasks arrive faster than the pool can run
// them. Their run times differ, so that they end one after the other and no worker ever becomes
// free as a whole.
func advanceFull(sim *machineSimulation, d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.taskDuration = 300*time.Millisecond + time.Duration(len(sim.jobs)*137%600)*time.Millisecond
		for range 3 {
			sim.submitFor("rounds", "arbiters", fmt.Sprintf("small%d", len(sim.jobs)), job.Step{Count: 1, Need: resource.Amount{CPU: 100, Memory: 1000}})
		}
		sim.advance(simulationStep)
	}
}

// Pattern: a full pool with a backlog of small tasks, and a worker with a long-running task that
// crashes. Guards against the displaced task that waits for as long as small tasks take each
// piece of memory that becomes free. Seen on the shifted site, trouble-2, seed 981555180530.
func TestDisplacedLongRunningTaskStartsInFullPool(t *testing.T) { simulateDisplacedTask(t) }

// Guards against a test that passes without reservations.
func TestReservationMutantIsDetected(t *testing.T) {
	property.CheckMutants(t, map[string]*bool{"no worker is reserved": &mutation.ignoreReservations}, simulateDisplacedTask)
}

func simulateDisplacedTask(t testing.TB) {
	sim := newMachineSimulation(map[string]int{"desk": 5})
	sim.submitFor("rounds", "arbiters", "lasting", job.Step{Count: 1, Need: wide, LongRunning: true})
	sim.advance(time.Second)
	advanceFull(sim, time.Second)
	holder, _ := sim.core.Task(job.Task{Job: "lasting"})
	sim.workers[holder].down = true
	// The lease ends after 3 s; from then on the task waits for a worker.
	advanceFull(sim, 5*time.Second)
	next, _ := sim.core.Task(job.Task{Job: "lasting"})
	qt.Assert(t, next, qt.Not(qt.Equals), "")
	qt.Assert(t, next, qt.Not(qt.Equals), holder)
	assertNoViolations(t, sim.simulation)
}

// Pattern: a wave empties machines with long-running tasks while a backlog of small tasks waits.
// Guards against a task that is stopped and then finds its replacement worker full: it is absent
// for as long as the backlog lasts.
func TestWaveReservesRoomBeforeItStopsATask(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 8})
	sim.submitFor("rounds", "arbiters", "desk", job.Step{Count: 3, Need: wide, LongRunning: true, MayMiss: 1})
	sim.advance(time.Second)
	advanceFull(sim, time.Second)
	sim.wave(20*time.Second, 2, "desk-0", "desk-1", "desk-2", "desk-3")
	longest, absentSince := time.Duration(0), sim.now
	for range 100 {
		advanceFull(sim, 100*time.Millisecond)
		if sim.runsOf("desk") == 3 {
			absentSince = sim.now
		}
		longest = max(longest, sim.now.Sub(absentSince))
	}
	qt.Assert(t, longest < 2*time.Second, qt.IsTrue, qt.Commentf("a task was absent for %v", longest))
	assertNoViolations(t, sim.simulation)
}

// runsOf counts the runs of a job on workers that are up.
func (sim *simulation) runsOf(id string) int {
	n := 0
	for _, w := range sim.workers {
		for name := range w.runs {
			if name.Job == id && !w.down {
				n++
			}
		}
	}
	return n
}

// Guards against reservations that outlive their step and keep workers from other tasks.
func TestReservationsEndWithTheirStep(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 4})
	advanceFull(sim, time.Second)
	sim.submitFor("rounds", "arbiters", "lasting", job.Step{Count: 2, Need: wide, LongRunning: true})
	advanceFull(sim, 100*time.Millisecond)
	qt.Assert(t, reservedWorkers(sim.core.sortedWorkers) > 0, qt.IsTrue)
	sim.cancel("lasting")
	sim.advance(300 * time.Millisecond)
	qt.Assert(t, reservedWorkers(sim.core.sortedWorkers), qt.Equals, 0)
	sim.advance(20 * time.Second)
	assertState(t, sim.simulation, "small1", "succeeded")
}

// Pattern: two idle workers are reserved for a long-running job, and an older one that has lost its
// worker needs almost as much. Guards against a step that is passed over because another one did not fit
// beside its reservations: the two blocked each other beside the idle workers.
func TestOlderStepDoesNotBlockReservedOne(t *testing.T) {
	sim := newSimulation(9)
	sim.catalog.Accounts["arbiters"].Limit = resource.Amount{}
	sim.run(100 * time.Millisecond)
	lastingOf := func(id string, count, cpu int) {
		sim.submit(id, job.Step{Count: count, Need: resource.Amount{CPU: cpu, Memory: 100}, LongRunning: true})
	}
	sim.submit("six", job.Step{Count: 6, Need: resource.Amount{CPU: 1975, Memory: 100}, LongRunning: true, MaxPerWorker: 1})
	sim.run(100 * time.Millisecond)
	lastingOf("older", 1, 2250)
	sim.run(100 * time.Millisecond)
	sim.taskDuration = 10 * time.Second
	sim.submit("short", job.Step{Count: 2, Need: resource.Amount{CPU: 4000, Memory: 100}})
	sim.run(100 * time.Millisecond)
	lastingOf("younger", 2, 2500)
	sim.run(time.Second)
	holder, _ := sim.core.Task(job.Task{Job: "older"})
	sim.workers[holder].down = true
	sim.core.RemoveWorker(holder, sim.now)
	sim.run(13 * time.Second)
	assertState(t, sim, "short", "succeeded")
	assertRunning(t, sim, "younger", 2)
	assertNoViolations(t, sim)
}

// Guards against workers that stay reserved for a step that may not start: its queue was removed, or its
// account has reached its limit.
func TestStepThatMayNotStartReservesNothing(t *testing.T) {
	for name, change := range map[string]func(*machineSimulation){
		"queue removed": func(sim *machineSimulation) {
			delete(sim.catalog.Queues, "teams")
		},
		"account at its limit": func(sim *machineSimulation) {
			sim.catalog.Accounts["arbiters"].Limit = resource.Amount{CPU: 1}
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newMachineSimulation(map[string]int{"desk": 4})
			sim.catalog.Queues["teams"] = &catalog.Queue{Name: "teams", Pool: "desk", MaxAttempts: 3, Stretch: 1.6}
			advanceFull(sim, time.Second)
			sim.submitFor("teams", "arbiters", "lasting", job.Step{Count: 2, Need: wide, LongRunning: true})
			advanceFull(sim, 100*time.Millisecond)
			qt.Assert(t, reservedWorkers(sim.core.sortedWorkers) > 0, qt.IsTrue)
			change(sim)
			sim.advance(300 * time.Millisecond)
			qt.Assert(t, reservedWorkers(sim.core.sortedWorkers), qt.Equals, 0)
		})
	}
}
