package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/resource"
)

// playFaultyWorker loads eight workers to half of their capacity for d. fails decides whether a
// run fails, refuse how w3 answers a start. It returns the number of starts that w3 got and the
// mean of the others, and the number of failed runs.
func playFaultyWorker(sim *simulation, d time.Duration, fails func(*rand.Rand, job.Task, string) bool, refuse func(*rand.Rand) StartResult) (starts, mean, failed int) {
	random := rand.New(rand.NewPCG(1, 1))
	sim.catalog.Accounts["arbiters"].Limit = resource.Amount{}
	others := 0
	sim.taskFails = func(task job.Task, id string) bool {
		f := fails != nil && fails(random, task, id)
		if f {
			failed++
		}
		return f
	}
	sim.startFault = func(id string) StartResult {
		if id != "w3" {
			others++
			return StartAccepted
		}
		starts++
		if refuse == nil {
			return StartAccepted
		}
		return refuse(random)
	}
	first := len(sim.jobs)
	for n := range int(d / simulationStep) {
		if random.IntN(100) < 28 {
			sim.submit(fmt.Sprintf("j%05d", first+n), job.Step{Count: 2, Need: small, Estimate: 500 * time.Millisecond})
		}
		sim.run(simulationStep)
	}
	sim.run(5 * time.Second)
	return starts, others / 7, failed
}

func almostHalf(r *rand.Rand, _ job.Task, id string) bool { return id == "w3" && r.IntN(100) < 45 }

// Guards against a worker that fails almost half of its runs and gets as much work as the others, and against
// one that does not get its share back after its repair.
func TestWorkerThatFailsAPartOfItsRunsGetsLessWork(t *testing.T) {
	before := newSimulation(8)
	before.core.limits.RunTimeQuantiles = false
	_, _, failedBefore := playFaultyWorker(before, 20*time.Second, almostHalf, nil)
	sim := newSimulation(8)
	starts, mean, failed := playFaultyWorker(sim, 20*time.Second, almostHalf, nil)
	qt.Check(t, failed < failedBefore/2, qt.IsTrue, qt.Commentf("%d failed runs, %d with the setting off", failed, failedBefore))
	qt.Check(t, starts < mean/2, qt.IsTrue, qt.Commentf("%d starts, mean of the others %d", starts, mean))
	starts, mean, _ = playFaultyWorker(sim, 30*time.Second, nil, nil)
	qt.Check(t, starts > mean/2, qt.IsTrue, qt.Commentf("repaired: %d starts, mean of the others %d", starts, mean))
	qt.Check(t, sim.core.workers["w3"].withheld, qt.Equals, 0.0)
	assertNoViolations(t, sim)
	for id := range sim.jobs {
		assertState(t, sim, id, progress.Succeeded)
	}
}

// Guards against workers that lose their share because of jobs that fail on each of them.
func TestFailingJobsLeaveTheSharesOfWorkers(t *testing.T) {
	sim := newSimulation(8)
	withheld, passes := 0, 0
	sim.onActions = func(Actions) {
		passes += len(sim.core.sortedWorkers)
		for _, w := range sim.core.sortedWorkers {
			if w.withheld > 0 {
				withheld++
			}
		}
	}
	playFaultyWorker(sim, 20*time.Second, func(_ *rand.Rand, task job.Task, _ string) bool { return task.Job[len(task.Job)-1] == '7' }, nil)
	qt.Assert(t, float64(withheld) < 0.1*float64(passes), qt.IsTrue, qt.Commentf("%d of %d", withheld, passes))
}

// Guards against a worker that refuses starts (answers 429 and 503) and gets as many as the others,
// and against jobs that are late because of it.
func TestWorkerThatRefusesStartsGetsFewer(t *testing.T) {
	for name, share := range map[string]int{"all": 100, "half": 50} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(8)
			starts, mean, _ := playFaultyWorker(sim, 20*time.Second, nil, func(r *rand.Rand) StartResult {
				if r.IntN(100) < share {
					return StartUnavailable
				}
				return StartAccepted
			})
			qt.Check(t, starts < mean/2, qt.IsTrue, qt.Commentf("%d starts, mean of the others %d", starts, mean))
			for id, j := range sim.core.jobs {
				qt.Check(t, j.took <= j.objective, qt.IsTrue, qt.Commentf("%s took %s", id, j.took))
			}
		})
	}
}

// Guards against a failing worker that is filled like the others or used before them, against shares
// that follow from the tasks of one failing job, and against shares with the setting off.
func TestFailedRunsLowerTheShare(t *testing.T) {
	for name, c := range map[string]struct {
		failed, jobs, tasks int
		off                 bool
		want                int
	}{
		"many failed, room elsewhere": {20, 20, 12, false, 0},
		"many failed, all full":       {20, 20, 16, false, 1},
		"some failed, all full":       {6, 6, 16, false, 2},
		"one job failed":              {20, 1, 16, false, 4},
		"setting off":                 {20, 20, 16, true, 4},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(4)
			sim.catalog.Accounts["arbiters"].Limit = resource.Amount{}
			sim.core.limits.RunTimeQuantiles = !c.off
			sim.run(time.Second)
			sim.core.now = sim.now
			for n := range 80 {
				sim.core.recordOutcome(sim.core.workers[fmt.Sprint("w", n%4)], "", false)
			}
			for n := range c.failed {
				sim.core.recordOutcome(sim.core.workers["w0"], fmt.Sprint("bad", n%c.jobs), true)
			}
			sim.submit("a", job.Step{Count: c.tasks, Need: small})
			sim.run(100 * time.Millisecond)
			qt.Assert(t, sim.workers["w0"].runs, qt.HasLen, c.want)
		})
	}
}
