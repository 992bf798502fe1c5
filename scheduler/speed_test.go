package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/progress"
)

// Guards against a task that is taken for slow or stalled, stopped and started again because it takes
// longer for a percent than the time over which its progress is measured.
func TestLongTaskIsNotTakenForSlow(t *testing.T) {
	for name, c := range map[string]struct {
		duration time.Duration
		step     job.Step
	}{
		"many of 25 s":                     {25 * time.Second, job.Step{Count: 6, Need: small}},
		"many of 100 s":                    {100 * time.Second, job.Step{Count: 6, Need: small, Estimate: 100 * time.Second}},
		"one of 100 s":                     {100 * time.Second, job.Step{Count: 1, Need: small, Estimate: 100 * time.Second}},
		"one of 100 s, estimate at a half": {100 * time.Second, job.Step{Count: 1, Need: small, Estimate: 50 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(3)
			sim.run(100 * time.Millisecond)
			sim.taskDuration = c.duration
			sim.submit("a", c.step)
			sim.run(c.duration + time.Second)
			assertNoViolations(t, sim)
			assertState(t, sim, "a", progress.Succeeded)
			qt.Assert(t, sim.starts, qt.Equals, c.step.Count)
		})
	}
}

// Guards against a worker on which long tasks stand still, and that is not noticed because their
// siblings need long for a percent too.
func TestStalledLongTaskStartsElsewhere(t *testing.T) {
	for _, duration := range []time.Duration{2 * time.Second, 25 * time.Second} {
		t.Run(fmt.Sprint(duration), func(t *testing.T) {
			sim := newSimulation(3)
			sim.run(100 * time.Millisecond)
			sim.taskDuration = duration
			sim.workers["w1"].slowness = 1000
			sim.submit("a", job.Step{Count: 6, Need: small, Estimate: duration})
			sim.run(2*duration + 6*time.Second)
			assertNoViolations(t, sim)
			assertState(t, sim, "a", progress.Succeeded)
		})
	}
}
