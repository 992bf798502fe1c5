package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/progress"
)

// assertPending checks how many jobs of the queue count as not begun, and that each job is shown as
// pending or, if it is not, in the given state.
func assertPending(t *testing.T, sim *simulation, want int, others progress.State) {
	t.Helper()
	qt.Check(t, sim.core.Pending()["rounds"], qt.Equals, want)
	n := 0
	for id := range sim.jobs {
		switch _, state := sim.core.VisibleState(id); state {
		case progress.Pending:
			n++
			qt.Check(t, sim.state(id), qt.Equals, progress.Pending, qt.Commentf("stored state of %s", id))
		default:
			qt.Check(t, state, qt.Equals, others, qt.Commentf("%s", id))
		}
	}
	qt.Check(t, n, qt.Equals, want)
}

// Guards against a job that is shown as running, and not counted as pending, because a start of one of
// its tasks was decided, although the start has had no effect.
func TestJobIsPendingUntilARunHasBegun(t *testing.T) {
	for name, prepare := range map[string]func(*simulation){
		"refused": func(sim *simulation) {
			sim.startFault = func(string) StartResult { return StartUnavailable }
		},
		"rejected": func(sim *simulation) {
			sim.startFault = func(string) StartResult { return StartRejected }
		},
		"without an answer": func(sim *simulation) {
			sim.callFault = func(kind string) callOutcome {
				if kind == "start" {
					return requestLost
				}
				return answered
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1)
			sim.run(100 * time.Millisecond)
			prepare(sim)
			for n := range 4 {
				sim.submit(fmt.Sprintf("j%d", n), job.Step{Count: 1, Need: small})
			}
			sim.run(3 * time.Second)
			qt.Assert(t, sim.starts, qt.Equals, 0)
			assertPending(t, sim, 4, "")
			sim.replaceOwner()
			sim.run(time.Second)
			assertPending(t, sim, 4, "")
			sim.startFault, sim.callFault = nil, nil
			sim.run(5 * time.Second)
			assertNoViolations(t, sim)
			assertPending(t, sim, 0, progress.Succeeded)
		})
	}
}

// Guards against a job that counts as pending although a task of it has begun, where the answer to the
// start is lost.
func TestJobRunsOnceItsRunIsListed(t *testing.T) {
	sim := newSimulation(1)
	sim.run(100 * time.Millisecond)
	sim.callFault = func(kind string) callOutcome {
		if kind == "start" {
			return responseLost
		}
		return answered
	}
	sim.submit("j", job.Step{Count: 1, Need: small, LongRunning: true})
	sim.run(500 * time.Millisecond)
	assertPending(t, sim, 0, progress.Running)
	assertState(t, sim, "j", progress.Running)
	sim.replaceOwner()
	sim.run(500 * time.Millisecond)
	assertPending(t, sim, 0, progress.Running)
}
