package scheduler

import (
	"testing"
	"time"

	"egretdrum.example/job"
	"egretdrum.example/progress"
)

// addUnknownRun lets worker w0 have a run of job "ghost", which no owner knows.
func addUnknownRun(sim *simulation) {
	sim.jobs["ghost"] = &job.Job{ID: "ghost", Queue: "rounds", Steps: []job.Step{lasting}}
	w := sim.workers["w0"]
	w.runs[job.Task{Job: "ghost"}] = &fakeRun{number: 1, startedAt: sim.now, doneAt: sim.now.Add(time.Hour), longRunning: true, need: small, step: &sim.jobs["ghost"].Steps[0]}
	w.lease = sim.now.Add(DefaultLimits().Lease)
}

// Guards against a run of a job that the owner doesn't know, such as one that is set aside: its stop
// had no time to be sent in, and polls for the other run extended its lease.
func TestUnknownRunBesideAnotherIsStopped(t *testing.T) {
	sim := newLasting(t)
	addUnknownRun(sim)
	sim.run(4 * time.Second)
	assertNothingRuns(t, sim, "ghost")
	assertNoViolations(t, sim)
}

// Guards against a worker that is never polled and never used again, because it once listed a run of
// a job that the owner doesn't know and nothing else.
func TestWorkerIsUsedAfterUnknownRun(t *testing.T) {
	sim := newSimulation(1)
	addUnknownRun(sim)
	sim.run(5 * time.Second)
	assertNothingRuns(t, sim, "ghost")
	sim.submit("a", job.Step{Count: 1, Need: small})
	sim.run(5 * time.Second)
	assertState(t, sim, "a", progress.Succeeded)
}
