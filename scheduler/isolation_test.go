package scheduler

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"egretdrum.example/crashes"
	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/property"
	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

// assertNoStartsAfterLimit fails if a crashing task was started more often than allowed after
// three workers had crashed under it.
func assertNoStartsAfterLimit(t testing.TB, sim *crashSimulation, allowed int) {
	t.Helper()
	for task, n := range sim.startsAfter {
		if n > allowed {
			t.Errorf("%s was started %d times after %d workers had crashed under it", task, n, maxCrashes)
		}
	}
}

// innocentTime returns how long the jobs named "in..." took until all were done.
func (sim *crashSimulation) innocentTime(limit time.Duration) time.Duration {
	start := sim.now
	for sim.now.Sub(start) < limit {
		sim.advance(simulationStep)
		open := false
		for id := range sim.jobs {
			open = open || strings.HasPrefix(id, "in") && sim.state(id) != progress.Succeeded
		}
		if !open {
			break
		}
	}
	return sim.now.Sub(start)
}

// crashBesideMany has a worker with 18 tasks crash in a pool of 8, and returns how long these tasks
// took to be done. Either one more task is the cause, or none is and none of them is isolated.
func crashBesideMany(t *testing.T, crashingTask bool) time.Duration {
	mutation.ignoreIsolation = !crashingTask
	defer func() { mutation.ignoreIsolation = false }()
	sim := newCrashSimulation(8)
	// A large worker takes all 18 tasks of the first burst.
	for _, w := range sim.workers {
		w.registration.Capacity = resource.Amount{CPU: 20000, Memory: 20000}
		sim.core.SetWorker(w.registration, sim.now)
	}
	sim.taskDuration = 300 * time.Millisecond
	sim.submitFor("rounds", "arbiters", "x", job.Step{Count: 1, Need: small})
	sim.crashing[job.Task{Job: "x"}] = crashingTask
	for n := range 18 {
		sim.submitFor("rounds", "arbiters", fmt.Sprintf("in%02d", n), job.Step{Count: 1, Need: small})
	}
	sim.advance(3 * simulationStep)
	if id, _ := sim.core.Task(job.Task{Job: "x"}); !crashingTask {
		sim.crash(sim.workers[id])
	}
	d := sim.innocentTime(20 * time.Second)
	sim.advance(5 * time.Second)
	assertNoViolations(t, sim.simulation)
	t.Logf("crashing task %t: the others done after %v, %d runs lost in further crashes", crashingTask, d, max(0, sim.runsLost-18))
	return d
}

// Guards against innocent tasks that wait for long because many of them are suspects after one
// crash of a full worker.
func TestIsolationDoesNotStarveSuspects(t *testing.T) {
	without, with := crashBesideMany(t, false), crashBesideMany(t, true)
	qt.Assert(t, with <= without+500*time.Millisecond, qt.IsTrue, qt.Commentf("%v with isolation, %v without", with, without))
}

// Guards against two suspects on one worker, and against new tasks beside a suspect that has not
// outlived its start.
func TestSuspectsAreIsolated(t *testing.T) {
	sim := newCrashSimulation(6)
	sim.taskDuration = 400 * time.Millisecond
	sim.onActions = func(a Actions) {
		for _, s := range a.Starts {
			for _, r := range sim.core.workers[s.Worker.ID].watched {
				if r.isolated && r.number < s.Run {
					sim.violation("%s is started beside the suspect %s on %s", s.Task, r.step.name(r.index), s.Worker.ID)
				}
			}
		}
	}
	sim.submitCrashing("x", job.Step{Count: 1, Need: small}, 0)
	sim.submitCrashing("y", job.Step{Count: 3, Need: small}, 1)
	for n := range 12 {
		sim.submitFor("rounds", "arbiters", fmt.Sprintf("in%02d", n), job.Step{Count: 2, Need: small})
		sim.advance(100 * time.Millisecond)
	}
	sim.advance(20 * time.Second)
	assertNoViolations(t, sim.simulation)
	assertState(t, sim.simulation, "x", progress.Failed)
	assertState(t, sim.simulation, "y", progress.Failed)
	for n := range 12 {
		assertState(t, sim.simulation, fmt.Sprintf("in%02d", n), progress.Succeeded)
	}
	assertNoStartsAfterLimit(t, sim, 0)
}

// Guards against jobs that are given up because a rack is lost: each time as soon as their tasks
// have started again.
func TestLossesOfRackFailNoJobs(t *testing.T) {
	sim := newCrashSimulation(12)
	for i, w := range sorted(sim.workers) {
		w.registration.Rack = []string{"r1-1", "r1-2"}[i/6]
		sim.core.SetWorker(w.registration, sim.now)
	}
	sim.taskDuration = time.Second
	sim.submitFor("rounds", "arbiters", "in", job.Step{Count: 24, Need: small})
	for range 2 {
		sim.advance(100 * time.Millisecond)
		for _, w := range sorted(sim.workers) {
			if w.registration.Rack == "r1-1" && !w.down {
				sim.crash(w)
			}
		}
		sim.advance(4 * time.Second)
	}
	sim.advance(10 * time.Second)
	assertNoViolations(t, sim.simulation)
	assertState(t, sim.simulation, "in", progress.Succeeded)
}

// Guards against long-running tasks that are given up because their workers crash all day.
func TestLongRunningTasksOutliveRandomCrashes(t *testing.T) {
	sim := newCrashSimulation(5)
	sim.submitFor("rounds", "arbiters", "in", job.Step{Count: 3, Need: small, LongRunning: true})
	for n := range 12 {
		sim.advance(crashes.Survival + 2*time.Second)
		id, _ := sim.core.Task(job.Task{Job: "in", Index: n % 3})
		if w := sim.workers[id]; w != nil && !w.down {
			sim.crash(w)
		}
	}
	sim.advance(2 * time.Second)
	assertNoViolations(t, sim.simulation)
	for n := range 3 {
		id, _ := sim.core.Task(job.Task{Job: "in", Index: n})
		qt.Assert(t, id, qt.Not(qt.Equals), "")
	}
}

// Guards against a gang that never starts again, or whose other members are suspected, because one
// member crashes its worker.
func TestGangWithCrashingMember(t *testing.T) {
	for _, machines := range []int{2, 6} {
		t.Run(fmt.Sprintf("%d machines", machines), func(t *testing.T) {
			sim := newCrashSimulation(machines)
			sim.submitCrashing("x", job.Step{Count: 5, Need: small, Gang: true}, 2)
			sim.submitFor("rounds", "arbiters", "in", job.Step{Count: 3, Need: small})
			sim.advance(60 * time.Second)
			assertNoViolations(t, sim.simulation)
			assertState(t, sim.simulation, "x", progress.Failed)
			assertState(t, sim.simulation, "in", progress.Succeeded)
			assertNoStartsAfterLimit(t, sim, 0)
		})
	}
}

// Guards against planned ends that count as crashes.
func TestPlannedEndsAreNoCrashes(t *testing.T) {
	for name, end := range map[string]func(*crashSimulation, *fakeWorker){
		"worker leaves": func(sim *crashSimulation, w *fakeWorker) {
			w.registration.Leaving = true
			sim.core.SetWorker(w.registration, sim.now)
			sim.newIDs = true
			sim.crash(w)
		},
		"machine moves": func(sim *crashSimulation, w *fakeWorker) {
			m := sim.machines[w.registration.Machine]
			m.State, m.Worker, m.backAt = worker.Moving, "", sim.now.Add(time.Second)
			w.down = true
			clear(w.runs)
		},
		"worker is cut off": func(sim *crashSimulation, w *fakeWorker) {
			w.unreachable = true
			sim.after(4*time.Second, func() { w.unreachable = false })
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newCrashSimulation(3)
			sim.taskDuration = time.Second
			sim.submitFor("rounds", "arbiters", "in", job.Step{Count: 1, Need: small})
			sim.onActions = func(a Actions) {
				for _, l := range a.LogEvents {
					if l.Event == "task-suspected" {
						sim.violation("%s is suspected", l.Task)
					}
				}
			}
			sim.advance(200 * time.Millisecond)
			id, _ := sim.core.Task(job.Task{Job: "in"})
			end(sim, sim.workers[id])
			sim.advance(12 * time.Second)
			assertNoViolations(t, sim.simulation)
			assertState(t, sim.simulation, "in", progress.Succeeded)
		})
	}
}

// Guards against a third start while the crashes are not durable: a new owner would count from
// none.
func TestThirdStartWaitsForStore(t *testing.T) { simulateStoreOutage(t) }

// Guards against a simulation that does not notice such a start.
func TestStoreOutageMutantIsDetected(t *testing.T) {
	property.CheckMutants(t, map[string]*bool{"crashes need not be durable": &mutation.ignoreDurability}, simulateStoreOutage)
}

// simulateStoreOutage has new owners while the store is down and a task crashes its workers. The
// task is never the only suspect, as a second one starts with it.
func simulateStoreOutage(t testing.TB) {
	sim := newCrashSimulation(4)
	sim.submitCrashing("x", job.Step{Count: 1, Need: small}, 0)
	sim.storeDown = true
	sim.crashing[job.Task{Job: "x"}] = true
	// Weak signs only: the task is not given up after its second crash.
	step := sim.core.step(job.Task{Job: "x"})
	step.tasks[0].evidence = crashes.Evidence{Runs: []int64{1, 2}, Weak: 2}
	step.tasks[0].evidenceVersion = step.job.version + 1
	sim.core.markDirty(step.job)
	sim.advance(3 * time.Second)
	if n := sim.crashes[job.Task{Job: "x"}]; n != 0 {
		t.Errorf("started %d times while the store was down", n)
		return
	}
	sim.storeDown = false
	sim.advance(20 * time.Second)
	assertState(t, sim.simulation, "x", progress.Failed)
	assertNoStartsAfterLimit(t, sim, 0)
}

// Guards against tasks that are started again and again after three crashes, whatever happens to
// their owners, answers, orders and the store, and against innocent jobs that are given up.
func TestCrashingTasksUnderFaults(t *testing.T) {
	// Each run takes a tenth of a second.
	limitChecks(t, 200)
	rapid.Check(t, simulateCrashingTasks)
}

// limitChecks sets the number of random runs of a test.
func limitChecks(t testing.TB, n int) {
	before := flag.Lookup("rapid.checks").Value.String()
	qt.Assert(t, flag.Set("rapid.checks", strconv.Itoa(n)), qt.IsNil)
	t.Cleanup(func() { qt.Assert(t, flag.Set("rapid.checks", before), qt.IsNil) })
}

// Guards against a property test that does not notice that crashes are not counted.
func TestCrashMutantIsDetected(t *testing.T) {
	property.CheckMutants(t, map[string]*bool{"crashes are not counted": &mutation.ignoreCrashes}, func(t testing.TB) { rapid.Check(t, simulateCrashingTasks) })
}

// allowedStarts is the number of starts after the third crash that a change of owners or lost
// answers may cause.
const allowedStarts = 2

// crashesBeforeStore is the number of crashes that an owner counts before a start has to wait for
// the store. They are lost with an owner that ends during an outage of the store.
const crashesBeforeStore = 2

func simulateCrashingTasks(t *rapid.T) {
	sim := newCrashSimulation(rapid.IntRange(4, 9).Draw(t, "machines"))
	sim.newIDs = rapid.Bool().Draw(t, "new IDs")
	sim.unlisted = rapid.IntRange(0, 3).Draw(t, "unlisted") == 0
	sim.taskDuration = time.Duration(rapid.IntRange(1, 8).Draw(t, "tenths")) * 100 * time.Millisecond
	faults := rapid.IntRange(0, 12).Draw(t, "lost calls")
	sim.callFault = func(string) callOutcome {
		if rapid.IntRange(0, 99).Draw(t, "call") >= faults {
			return answered
		}
		return rapid.SampledFrom([]callOutcome{requestLost, responseLost, requestDelayed}).Draw(t, "outcome")
	}
	jobs, allowed := 0, allowedStarts
	for range rapid.IntRange(8, 25).Draw(t, "events") {
		switch rapid.SampledFrom([]string{"submit", "submit", "crashing", "owner", "store", "cut"}).Draw(t, "event") {
		case "submit":
			jobs++
			sim.submitFor("rounds", "arbiters", fmt.Sprintf("in%d", jobs), job.Step{Count: rapid.IntRange(1, 6).Draw(t, "count"), Need: small})
		case "crashing":
			jobs++
			n := rapid.IntRange(1, 4).Draw(t, "count")
			step := job.Step{Count: n, Need: small, Gang: n > 1 && rapid.IntRange(0, 3).Draw(t, "gang") == 0}
			step.Speculative = !step.Gang && rapid.IntRange(0, 3).Draw(t, "speculative") == 0
			sim.submitCrashing(fmt.Sprintf("x%d", jobs), step, rapid.IntRange(0, n-1).Draw(t, "index"))
		case "owner":
			// Without the store, no host can become the owner.
			if sim.storeDown {
				sim.storeDown = false
				allowed += crashesBeforeStore
			}
			sim.replaceOwner()
		case "store":
			sim.storeDown = !sim.storeDown
		case "cut":
			if id := rapid.SampledFrom(slices.Sorted(maps.Keys(sim.workers))).Draw(t, "worker"); !sim.workers[id].down {
				w := sim.workers[id]
				w.unreachable = true
				sim.after(time.Duration(rapid.IntRange(1, 40).Draw(t, "cut for"))*100*time.Millisecond, func() { w.unreachable = false })
			}
		}
		sim.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "pause")) * 100 * time.Millisecond)
	}
	sim.storeDown, sim.callFault = false, nil
	sim.advance(40 * time.Second)
	for task, n := range sim.startsAfter {
		if n > allowed {
			t.Fatalf("%s was started %d times after %d crashes", task, n, maxCrashes)
		}
	}
	for id := range sim.jobs {
		want := progress.Succeeded
		if strings.HasPrefix(id, "x") {
			want = progress.Failed
		}
		// In the simulation, members of a gang are done without the others.
		if sim.jobs[id].Steps[0].Gang {
			continue
		}
		// In a small pool, a task may be lost several times beside the same crashing task before a
		// crash is known. After two crashes, its job may be given up as well.
		got := sim.state(id)
		if got == progress.Failed && sim.mostCrashes(id) >= 2 {
			continue
		}
		if got != want {
			t.Fatalf("%s is %s, want %s", id, got, want)
		}
	}
	if len(sim.violations) > 0 {
		t.Fatalf("%v", sim.violations)
	}
}
