package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/progress"
)

// policyResult has the figures of one policy for docs/design/crashing-tasks.md.
type policyResult struct{ starts, crashes, runsLost, jobsFailed, jobsOpen, startsAfter int }

// simulatePolicy plays bursts of small jobs on 16 workers for 20 s, one in 25 of which has a task
// that crashes its workers, and 20 s more.
func simulatePolicy() policyResult {
	sim := newCrashSimulation(16)
	for i, w := range sorted(sim.workers) {
		w.registration.Rack = fmt.Sprintf("r1-%d", i/4)
		sim.core.SetWorker(w.registration, sim.now)
	}
	sim.taskDuration = 600 * time.Millisecond
	starts := sim.starts
	for n := range 200 {
		if n%25 == 10 {
			sim.submitCrashing(fmt.Sprintf("x%03d", n), job.Step{Count: 3, Need: small}, 1)
		} else {
			sim.submitFor("rounds", "arbiters", fmt.Sprintf("in%03d", n), job.Step{Count: 3, Need: small})
		}
		sim.advance(100 * time.Millisecond)
	}
	sim.advance(20 * time.Second)
	result := policyResult{starts: sim.starts - starts, runsLost: sim.runsLost}
	for task, n := range sim.crashes {
		result.crashes += n
		result.startsAfter += sim.startsAfter[task]
	}
	for id := range sim.jobs {
		switch state := sim.state(id); {
		case strings.HasPrefix(id, "x"):
		case state == progress.Failed:
			result.jobsFailed++
		case state != progress.Succeeded:
			result.jobsOpen++
		}
	}
	return result
}

// Guards against a policy that loses more than the alternatives on the design page, or that fails
// innocent jobs.
func TestIsolationLosesLess(t *testing.T) {
	defer func() { mutation.ignoreCrashes, mutation.ignoreIsolation = false, false }()
	mutation.ignoreCrashes = true
	none := simulatePolicy()
	mutation.ignoreCrashes, mutation.ignoreIsolation = false, true
	countOnly := simulatePolicy()
	mutation.ignoreIsolation = false
	isolated := simulatePolicy()
	t.Logf("none %+v, count only %+v, isolation %+v", none, countOnly, isolated)
	qt.Assert(t, isolated.jobsFailed+isolated.jobsOpen+isolated.startsAfter, qt.Equals, 0)
	qt.Assert(t, countOnly.startsAfter, qt.Equals, 0)
	qt.Assert(t, isolated.crashes < countOnly.crashes, qt.IsTrue)
	qt.Assert(t, isolated.runsLost < countOnly.runsLost, qt.IsTrue)
	qt.Assert(t, countOnly.crashes < none.crashes, qt.IsTrue)
}
