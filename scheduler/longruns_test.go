package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/resource"
)

// lengthen has a run that has just begun take n times as long as usual.
func (sim *simulation) lengthen(w *fakeWorker, a Start, n time.Duration) {
	w.runs[a.Task].doneAt = sim.now.Add(n * sim.taskDuration)
}

// newLongRunSimulation returns a simulation that has seen 40 runs of one second. The first run of a task
// of job "long" takes seven times as long, and so do its later ones if ofTask is set.
func newLongRunSimulation(step job.Step, ofTask bool) *simulation {
	sim := newSimulation(4)
	sim.catalog.Accounts["arbiters"].Limit.CPU = 0
	sim.taskDuration = time.Second
	sim.run(100 * time.Millisecond)
	for n := range 40 {
		sim.submit(fmt.Sprint("before", n), step)
		sim.run(200 * time.Millisecond)
	}
	sim.run(2 * time.Second)
	seen := make(map[job.Task]bool)
	sim.onStart = func(w *fakeWorker, a Start) {
		if a.Task.Job == "long" && (ofTask || !seen[a.Task]) {
			seen[a.Task] = true
			sim.lengthen(w, a, 7)
		}
	}
	return sim
}

var (
	speculative   = job.Step{Count: 1, Need: small, Speculative: true}
	checkpointing = job.Step{Count: 1, Need: small, Checkpointing: true}
)

// Guards against a long run that is waited for although a second one would be done sooner, and against
// second runs that nothing justifies.
func TestLongRunsGetOneCopy(t *testing.T) {
	for name, c := range map[string]struct {
		step           job.Step
		ofTask         bool
		change         func(*simulation)
		starts, helped int
		within         time.Duration
	}{
		"speculative":         {step: speculative, starts: 2, helped: 1, within: 3 * time.Second},
		"speculative, task":   {step: speculative, ofTask: true, starts: 2, within: 8 * time.Second},
		"checkpointing":       {step: checkpointing, starts: 2, helped: 1, within: 4 * time.Second},
		"checkpointing, task": {step: checkpointing, ofTask: true, starts: 2, within: 10 * time.Second},
		"neither":             {step: job.Step{Count: 1, Need: small}, starts: 1, within: 8 * time.Second},
		"setting off":         {step: speculative, change: func(sim *simulation) { sim.core.limits.RunTimeQuantiles = false }, starts: 1, within: 8 * time.Second},
		"few runs known":      {step: speculative, change: (*simulation).replaceOwner, starts: 1, within: 8 * time.Second},
		"copies don't help": {step: speculative, change: func(sim *simulation) {
			for range 10 {
				sim.core.learnt.stats.RecordCopy("rounds", false)
			}
		}, starts: 1, within: 8 * time.Second},
		"pool almost full": {step: speculative, change: func(sim *simulation) {
			sim.submit("lasting", job.Step{Count: 4, Need: resource.Amount{CPU: 100, Memory: 7200}, LongRunning: true})
			sim.run(time.Second)
		}, starts: 1, within: 8 * time.Second},
		"tasks wait": {step: speculative, change: func(sim *simulation) {
			sim.onStart = func(w *fakeWorker, a Start) {
				if a.Task.Job == "long" {
					sim.lengthen(w, a, 7)
					sim.submit("large", job.Step{Count: 30, Need: resource.Amount{CPU: 2500}})
				}
			}
		}, starts: 1, within: 8 * time.Second},
		"checkpointing, a restart gains little": {step: checkpointing, change: func(sim *simulation) {
			sim.onStart = func(w *fakeWorker, a Start) { sim.lengthen(w, a, 3) }
		}, starts: 1, within: 4 * time.Second},
		"limit of the account": {step: speculative, change: func(sim *simulation) { sim.catalog.Accounts["arbiters"].Limit = small }, starts: 1, within: 8 * time.Second},
		"copy fails": {step: speculative, change: func(sim *simulation) {
			sim.taskFails = func(task job.Task, id string) bool {
				for other, w := range sim.workers {
					if other != id && w.runs[task] != nil {
						return true
					}
				}
				return false
			}
		}, starts: 2, within: 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newLongRunSimulation(c.step, c.ofTask)
			if c.change != nil {
				c.change(sim)
			}
			sim.run(200 * time.Millisecond)
			starts := 0
			sim.onActions = func(a Actions) {
				for _, start := range a.Starts {
					if start.Task.Job == "long" {
						starts++
					}
				}
			}
			sim.submit("long", c.step)
			sim.run(c.within)
			assertNoViolations(t, sim)
			assertState(t, sim, "long", progress.Succeeded)
			qt.Assert(t, starts, qt.Equals, c.starts)
			sum := sim.core.Summary()
			qt.Assert(t, sum.LongRunCopies, qt.Equals, c.starts-1)
			qt.Assert(t, sum.LongRunCopiesHelped, qt.Equals, c.helped)
		})
	}
}

// Guards against a distribution that loses the long runs because their copies are done first.
func TestLongRunsWithCopiesAreRecorded(t *testing.T) {
	sim := newLongRunSimulation(speculative, false)
	before, _ := sim.core.learnt.stats.Quantile("rounds", "arbiters", &speculative, 0.99)
	sim.submit("long", speculative)
	sim.run(3 * time.Second)
	for n := range 10 {
		sim.submit(fmt.Sprint("after", n), speculative)
	}
	sim.run(3 * time.Second)
	after, _ := sim.core.learnt.stats.Quantile("rounds", "arbiters", &speculative, 0.99)
	qt.Assert(t, after > before+500*time.Millisecond, qt.IsTrue, qt.Commentf("%s, %s", before, after))
}

// Guards against a worker that is avoided, or a task that begins again, because a run is long, and
// against a slow worker that is taken for long runs.
func TestLongRunsDoNotMarkWorkersAsSlow(t *testing.T) {
	for name, c := range map[string]struct {
		duration time.Duration
		slowness int
		wantSlow bool
	}{
		"one long run":              {time.Second, 1, false},
		"one long run of long ones": {8 * time.Second, 1, false},
		"slow worker":               {time.Second, 7, true},
		"slow worker, long runs":    {8 * time.Second, 7, true},
	} {
		t.Run(name, func(t *testing.T) {
			many := job.Step{Count: 6, Need: small, MaxPerWorker: 2}
			sim := newSimulation(4)
			sim.catalog.Accounts["arbiters"].Limit.CPU = 0
			sim.taskDuration = c.duration
			for n := range 200 {
				d := c.duration
				if n%33 == 0 {
					d *= 7
				}
				sim.core.learnt.stats.Record("rounds", "arbiters", &many, d)
			}
			sim.run(time.Second)
			seen := false
			sim.onStart = func(w *fakeWorker, a Start) {
				if c.slowness == 1 && !seen {
					seen = true
					sim.lengthen(w, a, 7)
				}
			}
			sim.workers["w1"].slowness = c.slowness
			slow := false
			sim.onActions = func(Actions) {
				slow = slow || slices.ContainsFunc(sim.core.sortedWorkers, sim.core.recentlySlow)
			}
			sim.submit("asked", many)
			sim.run(8*c.duration + 3*time.Second)
			assertNoViolations(t, sim)
			assertState(t, sim, "asked", progress.Succeeded)
			qt.Assert(t, slow, qt.Equals, c.wantSlow)
			qt.Assert(t, sim.starts > many.Count, qt.Equals, c.wantSlow)
		})
	}
}

// Guards against copies of long runs that break an invariant beside lost answers, failed runs, cancellations
// and new owners, and against decisions that differ between two plays of the same events.
func TestLongRunsAmongFaults(t *testing.T) {
	play := func(seed uint64) (actions []string, copies int) {
		random := rand.New(rand.NewPCG(seed, 1))
		sim := newLongRunSimulation(speculative, false)
		sim.onActions = func(a Actions) {
			actions = append(actions, describe(a))
			for _, e := range a.LogEvents {
				if e.Event == "run-copied" && e.Reason == longRun {
					copies++
				}
			}
		}
		sim.onStart = func(w *fakeWorker, a Start) {
			if random.IntN(8) == 0 {
				sim.lengthen(w, a, 7)
			}
		}
		sim.callFault = func(string) callOutcome {
			return []callOutcome{answered, requestLost, responseLost, requestDelayed}[max(0, random.IntN(60)-56)]
		}
		sim.taskFails = func(job.Task, string) bool { return random.IntN(20) == 0 }
		for n := range 60 {
			step := job.Step{Count: 1 + n%2, Need: small, Speculative: n%3 > 0, Checkpointing: n%3 != 1}
			sim.submit(fmt.Sprint("j", n), step)
			sim.run(300 * time.Millisecond)
			switch random.IntN(40) {
			case 0:
				sim.replaceOwner()
			case 1:
				w := sim.workers[fmt.Sprint("w", random.IntN(4))]
				w.unreachable = !w.unreachable
			case 2:
				sim.cancel(fmt.Sprint("j", n))
			}
		}
		sim.callFault, sim.taskFails = nil, nil
		for _, w := range sim.workers {
			w.unreachable = false
		}
		sim.run(20 * time.Second)
		assertNoViolations(t, sim)
		for id := range sim.jobs {
			qt.Assert(t, sim.state(id).Final(), qt.IsTrue, qt.Commentf("seed %d, %s", seed, id))
		}
		return actions, copies
	}
	copies := 0
	for seed := range uint64(20) {
		first, n := play(seed)
		second, _ := play(seed)
		copies += n
		qt.Assert(t, slices.Equal(first, second), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
	qt.Assert(t, copies > 20, qt.IsTrue, qt.Commentf("%d copies", copies))
}

// BenchmarkListingOfLongRuns measures a listing of a worker with long runs, and the pass that follows, in a
// pool that has no room for copies.
func BenchmarkListingOfLongRuns(b *testing.B) {
	for _, known := range []bool{false, true} {
		b.Run(fmt.Sprintf("run times known %t", known), func(b *testing.B) {
			sim := newSimulation(350)
			sim.catalog.Accounts["arbiters"].Limit = resource.Amount{}
			sim.taskDuration = time.Hour
			sim.run(100 * time.Millisecond)
			step := job.Step{Count: 1, Need: small, Speculative: true}
			for n := range 350 * 4 {
				sim.submit(fmt.Sprint("j", n), step)
			}
			sim.run(5 * time.Second)
			for range 100 {
				if known {
					sim.core.learnt.stats.Record("rounds", "arbiters", &step, time.Second)
				}
			}
			w := sim.core.workers["w0"]
			listing := sim.workers["w0"].listing(sim.now)
			noted, n := 0, 0
			b.ResetTimer()
			for b.Loop() {
				n++
				for i := range listing.Running {
					listing.Running[i].Percent = n / 4 % 100
				}
				sim.core.now = sim.core.now.Add(speedWindow + time.Millisecond)
				sim.core.applyListing(w, listing)
				noted += len(sim.core.learnt.longRuns)
				sim.core.copyLongRuns()
				sim.core.TakeActions()
			}
			b.ReportMetric(float64(noted)/float64(b.N), "long-runs/op")
		})
	}
}
