package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/resource"
)

// Guards against a new owner that takes the memory of a whole step for each run of it that it stops or
// that has a copy: a cancelled job of a few thousand tasks took gigabytes.
func TestDetachedRunsTakeLittleMemory(t *testing.T) {
	for name, step := range map[string]job.Step{
		"cancelled":   {Count: 200, Need: resource.Amount{CPU: 1}, LongRunning: true},
		"speculative": {Count: 200, Need: resource.Amount{CPU: 1}, Speculative: true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(2)
			sim.taskDuration = time.Minute
			sim.submit("j", step)
			sim.run(time.Second)
			qt.Assert(t, len(sim.workers["w0"].runs)+len(sim.workers["w1"].runs), qt.Equals, 200)
			if !step.Speculative {
				sim.cancels["j"] = sim.now
				sim.replaceOwner()
			} else {
				sim.workers["w0"].unreachable = true
			}
			for range 40 {
				sim.step()
				if n := sim.tasksOfRuns(); n > 2*200 {
					t.Fatalf("state for %d tasks", n)
				}
			}
			assertNoViolations(t, sim)
		})
	}
}

// tasksOfRuns returns the number of tasks for which the steps of all runs have state.
func (sim *simulation) tasksOfRuns() int {
	n := 0
	seen := make(map[*stepState]bool)
	for _, w := range sim.core.workers {
		for _, r := range w.runs {
			if !seen[r.step] {
				seen[r.step] = true
				n += len(r.step.tasks)
			}
		}
	}
	return n
}
