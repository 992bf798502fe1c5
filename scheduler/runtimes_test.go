package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

// newRunTimeSimulation returns a simulation in which n jobs of one task with the given step were done
// before.
func newRunTimeSimulation(n int, step job.Step) *simulation {
	sim := newSimulation(4)
	sim.catalog.Accounts["arbiters"].Limit = resource.Amount{}
	sim.run(100 * time.Millisecond)
	for i := range n {
		sim.submit(fmt.Sprint("before", i), step)
	}
	for len(sim.done) < n {
		sim.run(time.Second)
	}
	return sim
}

// expected returns the expected run time of the tasks of a new job.
func (sim *simulation) expected(estimate time.Duration) time.Duration {
	sim.submit("asked", job.Step{Count: 1, Need: small, Estimate: estimate})
	return sim.core.expectedTimeOf("rounds", sim.core.jobs["asked"].occurrences[0].steps[0])
}

// Guards against estimates that count as half after many runs have shown that they are off by a factor
// of ten, and against conclusions from few runs or with the setting off.
func TestEstimatesAreCorrectedByRunTimes(t *testing.T) {
	for name, c := range map[string]struct {
		runs     int
		off      bool
		from, to time.Duration
	}{
		"many runs":              {60, false, 450 * time.Millisecond, 700 * time.Millisecond},
		"few runs":               {10, false, 1500 * time.Millisecond, 1800 * time.Millisecond},
		"many runs, setting off": {60, true, 1500 * time.Millisecond, 1800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newRunTimeSimulation(0, job.Step{})
			sim.core.limits.RunTimeQuantiles = !c.off
			for i := range c.runs {
				sim.submit(fmt.Sprint("before", i), job.Step{Count: 1, Need: small, Estimate: 5 * time.Second})
				sim.run(100 * time.Millisecond)
			}
			sim.run(3 * time.Second)
			d := sim.expected(5 * time.Second)
			qt.Assert(t, d >= c.from && d <= c.to, qt.IsTrue, qt.Commentf("%s", d))
		})
	}
}

// Guards against run times that were not those of a whole run on a sound worker and change what is
// expected of the next one.
func TestRunsThatAreNotRepresentativeAreLeftOut(t *testing.T) {
	step := job.Step{Count: 1, Need: small}
	for name, c := range map[string]struct {
		change func(sim *simulation, r *run)
		want   bool
	}{
		"whole run":                               {func(*simulation, *run) {}, true},
		"from a checkpoint":                       {func(_ *simulation, r *run) { r.resumed = true }, false},
		"copy":                                    {func(_ *simulation, r *run) { r.copied = true }, false},
		"of the previous owner":                   {func(_ *simulation, r *run) { r.adopted = true }, false},
		"on a slow worker":                        {func(sim *simulation, r *run) { r.worker.slowUntil, r.worker.slowRuns = sim.now.Add(time.Second), 2 }, false},
		"the only slow run of its worker":         {func(sim *simulation, r *run) { r.worker.slowUntil, r.worker.slowRuns = sim.now.Add(time.Second), 1 }, true},
		"worker that was slow before":             {func(_ *simulation, r *run) { r.worker.slowUntil, r.worker.slowRuns = r.sent, 2 }, true},
		"on a cold worker":                        {func(sim *simulation, r *run) { r.worker.warmAt = sim.now }, false},
		"heard of late from an unanswered worker": {func(sim *simulation, r *run) { r.worker.answeredAgain = sim.now }, false},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newRunTimeSimulation(30, step)
			sim.submit("a", step)
			sim.run(100 * time.Millisecond)
			r := sim.core.jobs["a"].occurrences[0].steps[0].tasks[0].run
			before := sim.core.learnt.deviation
			r.sent = sim.now.Add(-5 * time.Second)
			c.change(sim, r)
			sim.core.now = sim.now
			sim.core.recordRunTime(r)
			qt.Assert(t, sim.core.learnt.deviation != before, qt.Equals, c.want)
		})
	}
}

// Guards against a run that began at a checkpoint, or beside another run, and is not known as such.
func TestResumedRunsAndCopiesAreMarked(t *testing.T) {
	sim := newSimulation(2)
	sim.taskDuration = time.Minute
	sim.run(100 * time.Millisecond)
	sim.submit("a", job.Step{Count: 1, Need: small, Speculative: true, Checkpointing: true})
	sim.run(100 * time.Millisecond)
	st := sim.core.jobs["a"].occurrences[0].steps[0]
	first := st.tasks[0].run
	qt.Assert(t, first.resumed || first.copied || first.adopted, qt.IsFalse)
	sim.core.queueCopy(first, "slow worker")
	st.tasks[0].checkpoint = "c1"
	sim.run(500 * time.Millisecond)
	second := st.tasks[0].run
	qt.Assert(t, second.resumed && second.copied, qt.IsTrue)
	sim.replaceOwner()
	sim.run(time.Second)
	qt.Assert(t, sim.core.jobs["a"].occurrences[0].steps[0].tasks[0].run.adopted, qt.IsTrue)
	sim.core.SetWorker(worker.Entry{ID: "cold", ColdFor: time.Second}, sim.now)
	qt.Assert(t, sim.core.workers["cold"].warmAt, qt.Equals, sim.now.Add(time.Second))
}
