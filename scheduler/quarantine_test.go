package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/resource"
)

// newFailures runs a simulation of four workers for the duration d, with a new job of the given
// number of tasks every 100 ms. The function fails decides whether a run fails. It returns how
// many runs failed on each worker. Three workers have the capacity for jobs of two tasks.
func newFailures(d time.Duration, tasks int, fails func(t job.Task, workerID string) bool, watch func(sim *simulation)) (*simulation, map[string]int) {
	sim := newSimulation(4)
	sim.catalog.Accounts["arbiters"].Limit = resource.Amount{}
	failed := make(map[string]int)
	sim.taskFails = func(t job.Task, workerID string) bool {
		if !fails(t, workerID) {
			return false
		}
		failed[workerID]++
		return true
	}
	sim.run(time.Second)
	for n := range int(d / (100 * time.Millisecond)) {
		sim.submit(fmt.Sprintf("j%03d", n), job.Step{Count: tasks, Need: small})
		sim.run(100 * time.Millisecond)
		if watch != nil {
			watch(sim)
		}
	}
	return sim, failed
}

// Covers a worker on which every run fails: it has free capacity again at once, and uses up the
// attempts of one job after the other. In one case, 137 runs failed on one worker.
func TestWorkerOnWhichAllRunsFailGetsFewTasks(t *testing.T) {
	sim, failed := newFailures(6*time.Second, 2, func(_ job.Task, id string) bool { return id == "w0" }, nil)
	sim.run(3 * time.Second)
	// Its capacity is used up when the first runs fail; then one run starts after 1, 2 and 4 s.
	qt.Assert(t, failed["w0"] <= 4+3, qt.IsTrue, qt.Commentf("%d failed runs", failed["w0"]))
	for id := range sim.jobs {
		assertState(t, sim, id, progress.Succeeded)
	}
	assertNoViolations(t, sim)
}

// Guards against a repaired worker that stays in quarantine.
func TestRepairedWorkerLeavesQuarantine(t *testing.T) {
	faulty := true
	sim, failed := newFailures(10*time.Second, 3, func(_ job.Task, id string) bool { return faulty && id == "w0" }, func(sim *simulation) {
		faulty = sim.now.Sub(time.UnixMilli(1_700_000_000_000)) < 4*time.Second
	})
	qt.Assert(t, failed["w0"] > 0, qt.IsTrue)
	qt.Assert(t, sim.core.workers["w0"].onTrial(), qt.IsFalse)
}

// Guards against healthy workers in quarantine because of jobs that fail everywhere.
func TestFailingJobsDoNotQuarantineWorkers(t *testing.T) {
	maxQuarantined := 0
	sim, _ := newFailures(6*time.Second, 2, func(t job.Task, _ string) bool { return strings.HasSuffix(t.Job, "3") || strings.HasSuffix(t.Job, "4") }, func(sim *simulation) {
		n := 0
		for _, w := range sim.core.workers {
			if w.quarantined(sim.now) {
				n++
			}
		}
		maxQuarantined = max(maxQuarantined, n)
	})
	sim.run(3 * time.Second)
	qt.Assert(t, maxQuarantined <= 1, qt.IsTrue, qt.Commentf("%d workers in quarantine", maxQuarantined))
	for id := range sim.jobs {
		want := progress.Succeeded
		if strings.HasSuffix(id, "3") || strings.HasSuffix(id, "4") {
			want = progress.Failed
		}
		assertState(t, sim, id, want)
	}
}

// Pattern: jobs that can never be done fail on a sound worker, and the next task there is a long-running
// one, which never ends as done. Guards against a worker that takes no other task while it runs.
func TestLongRunningTaskEndsTheTrialOfItsWorker(t *testing.T) {
	sim := newSimulation(1)
	sim.catalog.Accounts["arbiters"].Limit = resource.Amount{}
	sim.taskFails = func(t job.Task, _ string) bool { return strings.HasPrefix(t.Job, "hopeless") }
	sim.run(100 * time.Millisecond)
	for n := range 2 {
		sim.submit(fmt.Sprintf("hopeless%d", n), job.Step{Count: 2, Need: small})
		sim.run(3 * time.Second)
	}
	qt.Assert(t, sim.core.workers["w0"].onTrial(), qt.IsTrue)
	sim.submit("first", lasting)
	sim.run(10 * time.Second)
	assertRunning(t, sim, "first", 1)
	sim.submit("second", lasting)
	sim.run(3 * time.Second)
	assertRunning(t, sim, "second", 1)
	assertNoViolations(t, sim)
}
