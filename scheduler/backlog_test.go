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

// newBurst returns a simulation of ten workers with 40 cores together, without limits of accounts.
func newBurst(orderByDue bool) *simulation {
	sim := newSimulation(10)
	sim.limits.OrderByDue = orderByDue
	sim.catalog.Accounts["arbiters"].Limit = resource.Amount{}
	sim.replaceOwner()
	sim.run(time.Second)
	return sim
}

// sendBurst submits jobs for 4 s whose work is a multiple of what the workers can do in that time. Tasks
// take up to a part more or less than expected.
func sendBurst(sim *simulation, load, noise float64) {
	r := rand.New(rand.NewPCG(1, 1))
	usual := sim.taskDuration
	perStep := load * 40 / usual.Seconds() * simulationStep.Seconds()
	sent := 0.0
	for n, until := 0, sim.now.Add(4*time.Second); sim.now.Before(until); {
		for ; sent < perStep; n++ {
			step := job.Step{Count: 1 + r.IntN(8), Need: small, Estimate: usual}
			sim.submit(fmt.Sprintf("j%05d", n), step)
			sent += float64(step.Count)
		}
		sent -= perStep
		sim.taskDuration = time.Duration(float64(usual) * (1 - noise + 2*noise*r.Float64()))
		sim.run(simulationStep)
	}
	sim.taskDuration = usual
	sim.run(10 * time.Second)
}

// inTime counts the jobs that were done within their objective.
func inTime(sim *simulation) int {
	n := 0
	for _, j := range sim.core.jobs {
		if j.state == progress.Succeeded && j.took <= j.objective {
			n++
		}
	}
	return n
}

// Guards against a burst in which each job waits until it has just become late.
func TestBurstDelaysFewJobs(t *testing.T) {
	served := make(map[bool]int)
	for _, orderByDue := range []bool{false, true} {
		sim := newBurst(orderByDue)
		sendBurst(sim, 1.5, 0.4)
		served[orderByDue] = inTime(sim)
		t.Logf("by due time %t: %d of %d jobs in time", orderByDue, served[orderByDue], len(sim.core.jobs))
		for id := range sim.jobs {
			assertState(t, sim, id, progress.Succeeded)
		}
		assertNoViolations(t, sim)
	}
	qt.Assert(t, float64(served[false]) > 1.1*float64(served[true]), qt.IsTrue)
}

// Guards against plans that change what starts while a pool has room.
func TestPlansChangeNothingWithRoom(t *testing.T) {
	play := func(orderByDue bool) (starts []string) {
		sim := newBurst(orderByDue)
		sim.onActions = func(a Actions) {
			for _, s := range a.Starts {
				starts = append(starts, fmt.Sprint(sim.now.UnixMilli(), s.Task, s.Worker.ID))
			}
		}
		sendBurst(sim, 0.6, 0)
		return starts
	}
	qt.Assert(t, play(false), qt.DeepEquals, play(true))
}

// Guards against a delayed job that never starts while an overload lasts.
func TestLongestWaitIsBounded(t *testing.T) {
	sim := newBurst(false)
	for n := range 1400 {
		sim.submit(fmt.Sprintf("j%05d", n), job.Step{Count: 4, Need: small, Estimate: sim.taskDuration})
		if n == 100 {
			sim.submit("surge", job.Step{Count: 4, Need: small, Estimate: sim.taskDuration})
			sim.core.jobs["surge"].overShare = true
		}
		sim.run(2 * simulationStep)
	}
	assertState(t, sim, "surge", progress.Succeeded)
	qt.Assert(t, sim.core.jobs["surge"].took < 30*time.Second, qt.IsTrue, qt.Commentf("%v", sim.core.jobs["surge"].took))
	assertNoViolations(t, sim)
}

// Guards against a pool that borrows no machines, because the work that it delays counts as late.
func TestDelayedWorkBorrowsMachines(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 12, "league": 12})
	for n := range 40 {
		sim.submitFor("rounds", "arbiters", fmt.Sprintf("j%02d", n), job.Step{Count: 4, Need: small, Estimate: sim.taskDuration})
	}
	sim.advance(50 * time.Millisecond)
	qt.Assert(t, sim.core.Summary().Delayed > 0, qt.IsTrue)
	sim.advance(200 * time.Millisecond)
	lent := 0
	for _, o := range sim.ordered {
		if o.Pool == "desk" {
			lent++
		}
	}
	qt.Assert(t, lent > 0, qt.IsTrue)
}

// Guards against a pool that counts as short of room, with delayed jobs, after all of its work is done.
func TestPlanEndsWithItsWork(t *testing.T) {
	sim := newBurst(false)
	sendBurst(sim, 1.5, 0)
	sim.run(20 * time.Second)
	qt.Assert(t, sim.core.plans["desk"].plan, qt.IsNil)
	qt.Assert(t, sim.core.Summary().Delayed, qt.Equals, 0)
}
