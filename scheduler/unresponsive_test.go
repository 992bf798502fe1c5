package scheduler

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/resource"
)

// assertRunning checks how many tasks of a job run on reachable workers.
func assertRunning(t testing.TB, sim *simulation, id string, want int) {
	t.Helper()
	n := 0
	for _, w := range sim.workers {
		for name := range w.runs {
			if name.Job == id && !w.unreachable {
				n++
			}
		}
	}
	qt.Assert(t, n, qt.Equals, want, qt.Commentf("tasks of %s", id))
}

// newUnresponsive returns a simulation in which a worker with a task of "held" has become
// unreachable. The waiting tasks need more capacity than the other workers have.
func newUnresponsive() *simulation {
	sim := newSimulation(3)
	sim.taskDuration = 1500 * time.Millisecond
	sim.catalog.Accounts["arbiters"].Limit = resource.Amount{}
	sim.run(100 * time.Millisecond)
	sim.submit("held", job.Step{Count: 3, Need: resource.Amount{CPU: 3000}, MaxPerWorker: 1})
	sim.run(100 * time.Millisecond)
	for n := range 6 {
		sim.submit(fmt.Sprintf("wait%d", n), job.Step{Count: 1, Need: resource.Amount{CPU: 3000}})
	}
	sim.workers["w0"].unreachable = true
	return sim
}

// Covers a rack that fails shortly before the owner does: the next owner starts other tasks at
// once, instead of after the lease of the unresponsive worker has expired.
func TestNewOwnerKnowsRunsOfUnresponsiveWorker(t *testing.T) {
	sim := newUnresponsive()
	sim.run(1200 * time.Millisecond)
	qt.Assert(t, sim.unresponsive, qt.HasLen, 1)
	sim.replaceOwner()
	sim.run(500 * time.Millisecond)
	running := 0
	for n := range 6 {
		for _, w := range sim.workers {
			for name := range w.runs {
				if name.Job == fmt.Sprintf("wait%d", n) {
					running++
				}
			}
		}
	}
	qt.Assert(t, running, qt.Equals, 2)
	assertNoViolations(t, sim)
	// The task of the unresponsive worker is started elsewhere once its lease has expired.
	sim.run(8 * time.Second)
	assertNoViolations(t, sim)
	assertState(t, sim, "held", "succeeded")
}

// Guards against a record of an unresponsive worker that the store rejects for its size.
func TestLargestRecordOfUnresponsiveWorker(t *testing.T) {
	const largestValue = 1 << 20
	v := UnresponsiveWorker{Worker: strings.Repeat("w", 64), Incarnation: math.MaxInt64}
	for n := range DefaultLimits().RecordedRuns {
		name := job.Task{Job: strings.Repeat("f", 16), Occurrence: math.MaxUint16, Step: math.MaxUint16, Index: math.MaxUint16 - n}
		v.Runs = append(v.Runs, UnconfirmedRun{name, math.MaxInt64})
		v.Survived, v.Begun, v.UsualLease = append(v.Survived, name), append(v.Begun, name), append(v.UsualLease, name)
	}
	b, err := cbor.Marshal(v)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(b) < largestValue, qt.IsTrue, qt.Commentf("%d bytes", len(b)))
}

// Guards against a worker that is taken for empty, or is never used again, because it has more runs than its
// record takes, also if an earlier owner has recorded it.
func TestWorkerWithTooManyRunsHasNoRecord(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		t.Run(fmt.Sprintf("recorded before %t", recorded), func(t *testing.T) {
			sim := newSimulation(2)
			sim.taskDuration = 1500 * time.Millisecond
			sim.catalog.Accounts["arbiters"].Limit = resource.Amount{}
			if !recorded {
				sim.limits.RecordedRuns = 1
				sim.replaceOwner()
			}
			sim.run(100 * time.Millisecond)
			sim.submit("a", job.Step{Count: 4, Need: small, MaxPerWorker: 2})
			sim.run(100 * time.Millisecond)
			sim.workers["w0"].unreachable = true
			sim.run(600 * time.Millisecond)
			qt.Assert(t, sim.unresponsive, qt.HasLen, map[bool]int{false: 0, true: 1}[recorded])
			sim.limits.RecordedRuns = 1
			sim.replaceOwner()
			sim.run(2 * time.Second)
			sim.submit("b", job.Step{Count: 4, Need: small, MaxPerWorker: 2})
			sim.run(DefaultLimits().MaxLease)
			assertNoViolations(t, sim)
			sim.workers["w0"].unreachable = false
			sim.run(4 * time.Second)
			assertNoViolations(t, sim)
			qt.Assert(t, sim.unresponsive, qt.HasLen, 0)
			assertState(t, sim, "a", "succeeded")
			assertState(t, sim, "b", "succeeded")
			before := sim.starts
			sim.submit("c", job.Step{Count: 4, Need: small, MaxPerWorker: 2})
			sim.run(200 * time.Millisecond)
			qt.Assert(t, sim.starts-before, qt.Equals, 4)
		})
	}
}

// Guards against a record of an unresponsive worker that is stored before the result of its last end: the
// next owner takes the worker for known and starts the task again, whose end the worker still has.
func TestRecordWaitsForTheResultsOfEnds(t *testing.T) {
	sim := newSimulation(2)
	sim.taskDuration = time.Second
	sim.run(time.Second)
	sim.submit("a", job.Step{Count: 1, Need: small})
	sim.run(200 * time.Millisecond)
	sim.submit("b", job.Step{Count: 2, Need: small, LongRunning: true, MaxPerWorker: 1})
	sim.run(300 * time.Millisecond)
	// Records are stored, results of jobs are not.
	sim.callFault = func(kind string) callOutcome {
		if kind == "save" && len(sim.writes) == 0 {
			return requestLost
		}
		return answered
	}
	id, _ := sim.core.Task(job.Task{Job: "a"})
	for len(sim.core.workers[id].unsavedEnds) == 0 {
		sim.step()
	}
	sim.workers[id].unreachable = true
	sim.run(600 * time.Millisecond)
	qt.Assert(t, sim.unresponsive, qt.HasLen, 0)
	sim.callFault = nil
	sim.replaceOwner()
	sim.run(300 * time.Millisecond)
	sim.workers[id].unreachable = false
	sim.run(4 * time.Second)
	assertNoViolations(t, sim)
	assertState(t, sim, "a", progress.Succeeded)
	qt.Assert(t, sim.starts, qt.Equals, 3)
}

// TestInvariantsWithoutRecords guards against the faults of TestInvariants where unresponsive workers have
// more runs than their record takes.
func TestInvariantsWithoutRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulateFaults(t, func(sim *simulation, _ map[string]func(*rapid.T)) {
			sim.limits.RecordedRuns = rapid.IntRange(1, 2).Draw(t, "recorded runs")
			sim.replaceOwner()
		})
	})
}

// Guards against a record stored by an owner that never reached the worker: it would say that
// nothing runs there, and the next owner would start a task of a previous owner twice.
func TestUnknownRunsAreNotRecordedAsNone(t *testing.T) { simulateUnknownRuns(t) }

func simulateUnknownRuns(t testing.TB) {
	sim := newUnresponsive()
	sim.replaceOwner()
	sim.run(1200 * time.Millisecond)
	qt.Assert(t, sim.unresponsive, qt.HasLen, 0)
	sim.replaceOwner()
	sim.run(500 * time.Millisecond)
	assertRunning(t, sim, "held", 0)
	sim.run(8 * time.Second)
	assertNoViolations(t, sim)
}

// Guards against a task started on a worker whose stored record does not have the task: a next
// owner would not know of it.
func TestWorkerWithUnresponsiveRecordGetsNoTasks(t *testing.T) { simulateRecordedWorker(t) }

func simulateRecordedWorker(t testing.TB) {
	sim := newUnresponsive()
	sim.run(1200 * time.Millisecond)
	sim.storeDown = true
	sim.workers["w0"].unreachable = false
	for end := sim.now.Add(4 * time.Second); sim.now.Before(end); {
		sim.step()
		for name := range sim.workers["w0"].runs {
			qt.Assert(t, name.Job, qt.Equals, "held")
		}
	}
	sim.storeDown = false
	sim.run(100 * time.Millisecond)
	qt.Assert(t, sim.unresponsive, qt.HasLen, 0)
	sim.run(8 * time.Second)
	assertNoViolations(t, sim)
	assertState(t, sim, "wait5", "succeeded")
}

// Guards against a record that outlives the lease: the next owner would consider the task
// present there and stop the run that has replaced it.
func TestUnresponsiveRecordIsEmptiedWhenLeaseExpires(t *testing.T) {
	sim := newUnresponsive()
	sim.run(4 * time.Second)
	qt.Assert(t, sim.unresponsive["w0"].Runs, qt.HasLen, 0)
	sim.replaceOwner()
	sim.run(8 * time.Second)
	assertNoViolations(t, sim)
	assertState(t, sim, "held", "succeeded")
}

// Guards against a dead worker that counts as healthy: each unanswered stop caused a new poll that
// superseded the one in flight, so that no poll ever counted as unanswered, and the lease of the
// worker was extended without end. Covers a rack that fails while jobs with tasks on it are
// cancelled.
func TestUnansweredStopsDoNotHideUnresponsiveWorker(t *testing.T) {
	sim := newSimulation(2)
	sim.taskDuration = time.Hour
	sim.delayTimeouts = true
	sim.catalog.Accounts["arbiters"].Limit = resource.Amount{}
	sim.run(100 * time.Millisecond)
	sim.submit("ledger", job.Step{Count: 1, Need: small, LongRunning: true})
	sim.run(200 * time.Millisecond)
	unresponsive, _ := sim.core.Task(job.Task{Job: "ledger"})
	const cancelled = 5
	for n := range cancelled {
		sim.submit(fmt.Sprintf("c%d", n), job.Step{Count: 2, Need: resource.Amount{CPU: 300}, MaxPerWorker: 1})
	}
	sim.run(300 * time.Millisecond)
	sim.workers[unresponsive].down = true
	for n := range cancelled {
		sim.cancel(fmt.Sprintf("c%d", n))
		sim.run(140 * time.Millisecond)
	}
	sim.run(DefaultLimits().Lease + time.Second)
	assertNoViolations(t, sim)
	after, _ := sim.core.Task(job.Task{Job: "ledger"})
	qt.Assert(t, after, qt.Not(qt.Equals), unresponsive)
}

// Guards against a second run of a task that a new owner finds in two records: the record of the
// worker on which an earlier run failed was not removed yet. When that worker answered without
// the earlier run, the task was started a third time beside the newer run. Found by the random
// evacuations.
func TestOlderRecordDoesNotHideNewerRun(t *testing.T) {
	for name, newerFirst := range map[string]bool{"older first": false, "newer first": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(3)
			sim.run(100 * time.Millisecond)
			sim.submit("held", job.Step{Count: 1, Need: small, LongRunning: true})
			sim.run(100 * time.Millisecond)
			task := job.Task{Job: "held"}
			holder, number := sim.core.Task(task)
			sim.workers[holder].unreachable = true
			older, newer := "w0", "w1"
			if newerFirst {
				older, newer = newer, older
			}
			if holder != newer {
				w := sim.workers[newer]
				w.runs, sim.workers[holder].runs = sim.workers[holder].runs, w.runs
				w.lease, w.unreachable, sim.workers[holder].unreachable = sim.workers[holder].lease, true, false
			}
			sim.unresponsive = map[string]UnresponsiveWorker{
				older: {Worker: older, Incarnation: 1, Runs: []UnconfirmedRun{{task, number - 1}}},
				newer: {Worker: newer, Incarnation: 1, Runs: []UnconfirmedRun{{task, number}}},
			}
			sim.replaceOwner()
			sim.run(time.Second)
			assertNoViolations(t, sim)
			qt.Assert(t, sim.starts, qt.Equals, 1)
		})
	}
}

// Guards against a second run of a task on a worker whose restart is not registered yet: a new owner
// took the record of the new incarnation for that of another one and replaced it by a record without
// runs, which the owner after it believed.
func TestRecordOfUnregisteredIncarnationIsKept(t *testing.T) {
	for name, reached := range map[string]bool{"owner that does not reach the worker": false, "owner that reaches it": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(2)
			sim.run(100 * time.Millisecond)
			sim.restartUnnoticed("w0", time.Hour)
			sim.restartUnnoticed("w1", time.Hour)
			sim.replaceOwner()
			sim.run(200 * time.Millisecond)
			sim.submit("a", lasting)
			sim.run(300 * time.Millisecond)
			task := job.Task{Job: "a"}
			holder, number := sim.core.Task(task)
			sim.workers[holder].unreachable = true
			sim.run(time.Second)
			want := []UnconfirmedRun{{task, number}}
			qt.Assert(t, sim.unresponsive[holder].Runs, qt.DeepEquals, want)
			sim.replaceOwner()
			sim.workers[holder].unreachable = !reached
			sim.run(200 * time.Millisecond)
			sim.workers[holder].unreachable = true
			sim.run(time.Second)
			qt.Assert(t, sim.unresponsive[holder].Runs, qt.DeepEquals, want)
			sim.replaceOwner()
			sim.run(400 * time.Millisecond)
			assertNoViolations(t, sim)
			qt.Assert(t, sim.starts, qt.Equals, 1)
		})
	}
}
