package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/property"
	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

// formerOwner is an owner whose lease has ended, and which goes on beside its successor until a worker
// shows it the token of that one or its time is over. Nothing that it decides is stored.
type formerOwner struct {
	sim                    *simulation
	core                   *Scheduler
	pollsUntil, startUntil time.Time
	// cut has the workers that it does not reach.
	cut   map[string]bool
	over  bool
	polls int
}

// overlap starts a successor beside the present owner, which may start tasks for a while. The successor
// does not reach the workers of cut.
func (sim *simulation) overlap(starts time.Duration, cut, formerCut []string) *formerOwner {
	f := &formerOwner{
		sim: sim, core: sim.core, cut: make(map[string]bool),
		pollsUntil: sim.now.Add(sim.limits.PollsAfterLease()), startUntil: sim.now.Add(starts),
	}
	for _, id := range formerCut {
		f.cut[id] = true
	}
	sim.former, sim.successorCut = f, make(map[string]bool)
	for _, id := range cut {
		sim.successorCut[id] = true
	}
	f.core.SetRestricted(true, true, sim.now)
	for _, p := range sim.polls {
		f.poll(p.Poll)
	}
	sim.replaceOwner()
	return f
}

func (f *formerOwner) step() {
	now := f.sim.now
	if f.over = f.over || (!now.Before(f.pollsUntil) && !mutation.ignorePollLimit); f.over {
		return
	}
	f.core.SetRestricted(true, now.Before(f.startUntil), now)
	f.core.Tick(now)
	a := f.core.TakeActions()
	for _, p := range a.Polls {
		if p.AckedEnd > 0 {
			f.sim.violation("a restricted owner lets %s forget ends", p.Worker.ID)
		}
		f.poll(p)
	}
	for _, s := range a.Starts {
		f.start(s)
	}
	for _, s := range a.Stops {
		f.stop(s)
	}
	if len(a.Orders) > 0 {
		f.sim.violation("a restricted owner orders machine %s", a.Orders[0].Machine)
	}
	if n := len(a.Unresponsive) + len(a.UnresponsiveEnds); n > 0 {
		f.sim.violation("a restricted owner changes %d records of unresponsive workers", n)
	}
}

// call makes a call to a worker unless the owner is over, and reports whether it is answered. A refused
// call ends the owner.
func (f *formerOwner) call(id string, fence int64, apply func(*fakeWorker)) bool {
	w := f.sim.workers[id]
	if f.over || f.cut[id] || w.down || w.unreachable {
		return false
	}
	if fence < w.fence {
		f.over = f.over || f.core.Outranked(id, fence)
		return false
	}
	apply(w)
	return true
}

func (f *formerOwner) poll(p Poll) {
	f.polls++
	var listing *worker.Listing
	f.call(p.Worker.ID, p.Fence, func(w *fakeWorker) {
		w.acceptPoll(p, f.sim.now)
		listing = f.sim.listing(w)
	})
	f.core.PollAnswered(p, listing, f.sim.workers[p.Worker.ID].addressReused && !f.cut[p.Worker.ID], f.sim.now)
}

func (f *formerOwner) start(s Start) {
	answer := StartAnswer{Result: StartUnanswered}
	if !s.Claim() {
		answer.Result = StartNotSent
	} else {
		f.call(s.Worker.ID, s.Fence, func(w *fakeWorker) {
			answer = StartAnswer{Result: f.sim.handleStart(w, s), Clock: f.sim.now.Sub(w.bornAt)}
		})
	}
	f.core.StartAnswered(s, answer, f.sim.now)
}

func (f *formerOwner) stop(s Stop) {
	answer := StopAnswer{Result: StopUnanswered}
	if !s.Claim() {
		answer.Result = StopNotSent
	} else if f.call(s.Worker.ID, s.Fence, func(w *fakeWorker) { w.acceptStop(s, f.sim.now) }) {
		answer.Result = StopAccepted
	}
	f.core.StopAnswered(s, answer, f.sim.now)
}

// addOverlaps adds successors beside owners that go on, with cut links of both.
func addOverlaps(sim *simulation, actions map[string]func(*rapid.T)) {
	workers := []string{"w0", "w1", "w2", "w3"}
	actions["overlap"] = func(t *rapid.T) {
		// An owner without a successor knows what the store has.
		sim.run(time.Second)
		cut := rapid.SliceOfNDistinct(rapid.SampledFrom(workers), 0, 4, rapid.ID[string]).Draw(t, "cut")
		formerCut := rapid.SliceOfNDistinct(rapid.SampledFrom(workers), 0, 4, rapid.ID[string]).Draw(t, "cut from the former owner")
		sim.overlap(time.Duration(rapid.IntRange(0, 2700).Draw(t, "starts for"))*time.Millisecond, cut, formerCut)
	}
	actions["heal"] = func(t *rapid.T) {
		id := drawWorker(t)
		delete(sim.successorCut, id)
		if sim.former != nil && rapid.Bool().Draw(t, "both") {
			delete(sim.former.cut, id)
		}
	}
}

// TestInvariantsWithFormerOwner simulates owners that go on without a confirmed lease beside their
// successor. It guards against tasks that run twice, and accounts and workers above their limits.
func TestInvariantsWithFormerOwner(t *testing.T) {
	rapid.Check(t, simulateFormerOwners)
}

func simulateFormerOwners(t *rapid.T) {
	sim := newSimulation(4)
	sim.taskFails = func(task job.Task, _ string) bool { return (len(task.Job)+task.Index)%7 == 0 && sim.starts%2 == 0 }
	submitted := 0
	actions := map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			sim.taskDuration = rapid.SampledFrom([]time.Duration{500 * time.Millisecond, 4 * time.Second, 30 * time.Second}).Draw(t, "duration")
			sim.submit(fmt.Sprintf("j%d", submitted), job.Step{Count: rapid.IntRange(1, 6).Draw(t, "count"), Need: small}, job.Step{Count: 1, Need: small, After: []int{0}})
			submitted++
		},
		"cancel": func(t *rapid.T) {
			if submitted > 0 {
				sim.cancel(fmt.Sprintf("j%d", rapid.IntRange(0, submitted-1).Draw(t, "job")))
			}
		},
		"wait": func(t *rapid.T) {
			sim.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "steps")) * simulationStep)
		},
		"cut": func(t *rapid.T) {
			w := sim.workers[drawWorker(t)]
			w.unreachable = !w.unreachable
		},
		"": func(t *rapid.T) {
			if len(sim.violations) > 0 {
				t.Fatalf("%d violations: %s", len(sim.violations), sim.violations[0])
			}
		},
	}
	addOverlaps(sim, actions)
	sim.run(time.Second)
	t.Repeat(actions)
}

// Guards against a simulation that does not notice the loss of a rule for restricted owners. Random
// runs reach most of these cases too rarely, so that each has a run of its own.
func TestRestrictedMutants(t *testing.T) {
	property.CheckMutants(t, map[string]*bool{"the limit for polls is not enforced": &mutation.ignorePollLimit}, simulateWorkerOfFormerOwner)
	property.CheckMutants(t, map[string]*bool{"silent workers count as ended": &mutation.expireRestricted}, simulateDividedWorkers)
	property.CheckMutants(t, map[string]*bool{"jobs that arrived late are started": &mutation.startLate}, simulateLateJob)
	property.CheckMutants(t, map[string]*bool{"recorded workers are polled": &mutation.useBarred}, simulateRecordedBeforeOverlap)
	property.CheckMutants(t, map[string]*bool{"leases until the first answer are ignored": &mutation.ignoreLeaseBeforeAnswer}, simulateLateFirstAnswer)
}

func TestWorkerReachedOnlyByFormerOwner(t *testing.T) { simulateWorkerOfFormerOwner(t) }

// simulateWorkerOfFormerOwner has a worker that only the former owner reaches: its lease has to end
// before the successor starts the task elsewhere.
func simulateWorkerOfFormerOwner(t testing.TB) {
	sim := newSimulation(2)
	sim.taskDuration = time.Minute
	sim.run(time.Second)
	sim.submit("a", job.Step{Count: 1, Need: small})
	sim.run(200 * time.Millisecond)
	with, _ := sim.workersOfRun(t)
	f := sim.overlap(0, []string{with}, nil)
	sim.run(6 * time.Second)
	qt.Assert(t, f.polls > 5, qt.IsTrue)
	qt.Assert(t, sim.starts, qt.Equals, 1)
	sim.run(20 * time.Second)
	assertNoViolations(t, sim)
	qt.Assert(t, sim.starts, qt.Equals, 2)
}

func TestDividedWorkersRunTasksOnce(t *testing.T) { simulateDividedWorkers(t) }

// simulateDividedWorkers has each of two owners reach one of two workers: the former one must not take
// the end of the lease that it knows for the end of the run, which its successor has adopted.
func simulateDividedWorkers(t testing.TB) {
	sim := newSimulation(2)
	sim.taskDuration = time.Minute
	sim.run(time.Second)
	sim.submit("a", job.Step{Count: 1, Need: small})
	sim.run(200 * time.Millisecond)
	with, without := sim.workersOfRun(t)
	sim.overlap(6*time.Second, []string{without}, []string{with})
	sim.run(20 * time.Second)
	assertNoViolations(t, sim)
	qt.Assert(t, sim.starts, qt.Equals, 1)
}

func TestLateJobIsNotStartedByFormerOwner(t *testing.T) { simulateLateJob(t) }

// simulateLateJob has a job arrive at both owners after the lease has ended: the successor starts it at
// once.
func simulateLateJob(t testing.TB) {
	sim := newSimulation(2)
	sim.taskDuration = 5 * time.Second
	sim.run(time.Second)
	sim.submit("first", job.Step{Count: 1, Need: small})
	sim.run(200 * time.Millisecond)
	with, without := sim.workersOfRun(t)
	f := sim.overlap(6*time.Second, []string{without}, []string{with})
	sim.run(500 * time.Millisecond)
	sim.submit("a", job.Step{Count: 1, Need: small})
	f.core.AddJob(sim.jobs["a"], nil, false, sim.now)
	sim.run(20 * time.Second)
	assertNoViolations(t, sim)
	assertState(t, sim, "a", progress.Succeeded)
}

func TestRecordedWorkerIsNotPolledByFormerOwner(t *testing.T) { simulateRecordedBeforeOverlap(t) }

// simulateRecordedBeforeOverlap has a worker with a stored record answer only the former owner: the
// successor goes by the record and starts its task elsewhere after the usual lease.
func simulateRecordedBeforeOverlap(t testing.TB) {
	sim := newSimulation(2)
	sim.taskDuration = time.Minute
	sim.run(time.Second)
	sim.submit("a", job.Step{Count: 1, Need: small})
	sim.run(200 * time.Millisecond)
	with, _ := sim.workersOfRun(t)
	sim.workers[with].unreachable = true
	sim.run(1200 * time.Millisecond)
	qt.Assert(t, sim.unresponsive, qt.HasLen, 1)
	sim.workers[with].unreachable = false
	sim.overlap(0, []string{with}, nil)
	sim.run(20 * time.Second)
	assertNoViolations(t, sim)
	qt.Assert(t, sim.starts, qt.Equals, 2)
}

func TestFirstAnswerCoversLeasesOfFormerOwner(t *testing.T) { simulateLateFirstAnswer(t) }

// simulateLateFirstAnswer has a worker answer the successor for the first time, and only once, when the
// leases that were granted before the change of owners are about to end.
func simulateLateFirstAnswer(t testing.TB) {
	for offset := time.Duration(0); offset <= 200*time.Millisecond; offset += simulationStep {
		sim := newSimulation(2)
		sim.taskDuration = time.Minute
		sim.run(time.Second)
		sim.submit("a", job.Step{Count: 1, Need: small})
		sim.run(200 * time.Millisecond)
		with, _ := sim.workersOfRun(t)
		sim.overlap(0, []string{with}, nil)
		sim.run(sim.core.leaseBound(sim.limits.Lease) - 150*time.Millisecond + offset)
		sim.successorCut = nil
		// A busy owner waits before its next poll.
		sim.core.SetEventDelay(maxPollPause, sim.now)
		for !sim.core.workers[with].answered {
			sim.step()
		}
		sim.workers[with].unreachable = true
		sim.core.SetEventDelay(0, sim.now)
		sim.run(4 * time.Second)
		assertNoViolations(t, sim)
	}
}

// workersOfRun returns the worker with the only run, and the other one.
func (sim *simulation) workersOfRun(t testing.TB) (with, without string) {
	t.Helper()
	for _, id := range slices.Sorted(maps.Keys(sim.workers)) {
		if len(sim.workers[id].runs) > 0 {
			with = id
		} else {
			without = id
		}
	}
	qt.Assert(t, with != "" && without != "", qt.IsTrue)
	return with, without
}

// Guards against a term that goes on after an outage and has lost something: what was held back has to
// follow once the lease is confirmed.
func TestRestoredOwnerGoesOn(t *testing.T) {
	sim := newSimulation(2)
	sim.catalog.Accounts["arbiters"].Limit = resource.Amount{}
	sim.taskDuration = 5 * time.Second
	sim.run(time.Second)
	sim.submit("a", job.Step{Count: 2, Need: small})
	sim.run(200 * time.Millisecond)
	sim.storeDown = true
	sim.core.SetRestricted(true, true, sim.now)
	sim.submit("late", job.Step{Count: 1, Need: small})
	sim.workers["w0"].unreachable = true
	sim.run(4 * time.Second)
	qt.Assert(t, sim.unresponsive, qt.HasLen, 0)
	_, run := sim.core.Task(job.Task{Job: "late"})
	qt.Assert(t, run, qt.Equals, int64(0))
	sim.core.SetRestricted(false, false, sim.now)
	sim.storeDown = false
	sim.run(100 * time.Millisecond)
	_, run = sim.core.Task(job.Task{Job: "late"})
	qt.Assert(t, run > 0, qt.IsTrue)
	sim.workers["w0"].unreachable = false
	sim.run(20 * time.Second)
	assertNoViolations(t, sim)
	assertState(t, sim, "a", progress.Succeeded)
	assertState(t, sim, "late", progress.Succeeded)
}

// Guards against an owner that takes a refusal by its own newer token for that of a later owner.
func TestOwnNewerTokenOutranksNoOwner(t *testing.T) {
	sim := newSimulation(1)
	sim.run(100 * time.Millisecond)
	w := sim.core.workers["w0"]
	sent := w.fence
	qt.Assert(t, sim.core.Outranked("w0", sent), qt.IsTrue)
	sim.core.markUncertain(w)
	qt.Assert(t, sim.core.Outranked("w0", sent), qt.IsFalse)
	qt.Assert(t, sim.core.Outranked("gone", sent), qt.IsFalse)
}

// Guards against polls at the rate of a store that answers soon, for ends that can't be stored and that
// make room for nothing: they would use up the processor time of a small host during an outage.
func TestPollsWithoutStartsOnlyExtendLeases(t *testing.T) {
	sim := newSimulation(1)
	sim.taskDuration = time.Minute
	sim.run(time.Second)
	sim.submit("long", job.Step{Count: 1, Need: small})
	sim.run(200 * time.Millisecond)
	sim.taskDuration = 500 * time.Millisecond
	sim.submit("short", job.Step{Count: 1, Need: small})
	sim.run(200 * time.Millisecond)
	sim.storeDown = true
	sim.core.SetRestricted(true, false, sim.now)
	sim.run(time.Second)
	qt.Assert(t, sim.core.workers["w0"].unsavedEnds, qt.HasLen, 1)
	polls := 0
	sim.onActions = func(a Actions) { polls += len(a.Polls) }
	sim.run(6 * time.Second)
	qt.Check(t, polls <= 10, qt.IsTrue, qt.Commentf("%d polls", polls))
	assertNoViolations(t, sim)
	qt.Check(t, sim.starts, qt.Equals, 2)
}
