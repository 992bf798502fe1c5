package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
)

// newSurge returns a pool whose queue has known run times, in which the work of an account beyond its
// share waits for far longer than it is of use.
func newSurge(orderByDue bool) *simulation {
	sim := newBurst(orderByDue)
	usual := job.Step{Count: 4, Need: small, Estimate: sim.taskDuration}
	for n := range 40 {
		sim.submit(fmt.Sprintf("learn%02d", n), usual)
		sim.run(100 * time.Millisecond)
	}
	for n := range 600 {
		id := fmt.Sprintf("surge%04d", n)
		sim.submit(id, usual)
		sim.core.jobs[id].overShare = true
		if n%100 == 99 {
			sim.run(simulationStep)
		}
	}
	return sim
}

// arrival returns a job that the scheduler does not have.
func (sim *simulation) arrival() *job.Job {
	return &job.Job{ID: "new", Queue: "rounds", Account: "arbiters", Steps: []job.Step{{Count: 4, Need: small, Estimate: sim.taskDuration}}}
}

// useUpShare makes the account of arrivals one that has used up its share.
func (sim *simulation) useUpShare() {
	sim.catalog.Accounts["arbiters"].GuaranteedJobsPerSecond = 1
	sim.core.shareBuckets["arbiters"] = &shareBucket{at: sim.now}
}

func assertRefused(t *testing.T, sim *simulation, j *job.Job, want bool) Forecast {
	t.Helper()
	f, ok := sim.core.Forecast(j, sim.now)
	qt.Assert(t, ok && f.Refuse, qt.Equals, want, qt.Commentf("%+v, known %t", f, ok))
	return f
}

// Guards against a surge that is accepted although its results can't be of use, and against a forecast that
// takes from the share of an account or adds anything to the scheduler.
func TestSurgeIsRefused(t *testing.T) {
	sim := newSurge(false)
	qt.Assert(t, sim.core.ShortPools(sim.now), qt.DeepEquals, []string{"desk"})
	sim.useUpShare()
	jobs := len(sim.core.jobs)
	f := assertRefused(t, sim, sim.arrival(), true)
	t.Logf("%+v", f)
	qt.Assert(t, f.DoneIn > time.Duration(f.ErrorFactor*lateFactor*float64(f.Objective)) && f.ErrorFactor >= minErrorFactor, qt.IsTrue)
	qt.Assert(t, f.RoomIn, qt.Equals, f.DoneIn-lateFactor*f.Objective)
	qt.Assert(t, len(sim.core.jobs), qt.Equals, jobs)
	sim.run(200 * time.Millisecond)
	sim.core.shareBuckets["arbiters"].jobs = 1.5
	for range 3 {
		assertRefused(t, sim, sim.arrival(), false)
	}
	qt.Assert(t, sim.core.shareBuckets["arbiters"].jobs >= 1.5, qt.IsTrue)
}

// Guards against refusals of jobs that can be of use, that pay for the surge of others, or of which too
// little is known.
func TestNotRefused(t *testing.T) {
	for name, change := range map[string]func(sim *simulation, j *job.Job){
		"within its share":   func(sim *simulation, _ *job.Job) { delete(sim.core.shareBuckets, "arbiters") },
		"unknown run times":  func(_ *simulation, j *job.Job) { j.Queue = "teams" },
		"long-running":       func(_ *simulation, j *job.Job) { j.Steps[0].LongRunning = true },
		"with a start":       func(sim *simulation, j *job.Job) { j.Start = sim.now.Add(time.Second) },
		"recovery":           func(sim *simulation, _ *job.Job) { sim.core.recovered = false },
		"unknown capacities": func(sim *simulation, _ *job.Job) { sim.core.capacitiesUnknown = true },
		"old plan":           func(sim *simulation, _ *job.Job) { sim.core.plans["desk"].at = sim.now.Add(-2 * maxForecastAge) },
		"large error":        func(sim *simulation, _ *job.Job) { sim.core.learnt.deviation = 2 },
		"of no use by a bit": func(sim *simulation, _ *job.Job) { sim.catalog.Queues["rounds"].Allowance = 8 * time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSurge(false)
			sim.useUpShare()
			assertRefused(t, sim, sim.arrival(), true)
			j := sim.arrival()
			change(sim, j)
			assertRefused(t, sim, j, false)
		})
	}
}

// Guards against a shortage that is announced while all work has room or with overload.order=due, and
// against one that lasts after its work is done.
func TestShortPools(t *testing.T) {
	calm := newBurst(false)
	sendBurst(calm, 0.6, 0)
	qt.Assert(t, calm.core.ShortPools(calm.now), qt.HasLen, 0)
	assertRefused(t, calm, calm.arrival(), false)
	due := newSurge(true)
	qt.Assert(t, due.core.ShortPools(due.now), qt.HasLen, 0)
	over := newBurst(false)
	sendBurst(over, 1.5, 0)
	over.run(20 * time.Second)
	qt.Assert(t, over.core.ShortPools(over.now), qt.HasLen, 0)
}
