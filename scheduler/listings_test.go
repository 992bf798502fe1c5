package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/property"
	"egretdrum.example/resource"
)

// listedEnds is how many ends the workers of these tests list at once.
const listedEnds = 3

// brief is the need of a task of which a worker has room for many.
var brief = resource.Amount{CPU: 100, Memory: 50}

// newListingSimulation returns a simulation in which worker w0 runs n tasks of job a that end while the
// owner can't reach it. It lists their ends only to the next owner.
func newListingSimulation(workers, n int) *simulation {
	sim := newSimulation(workers)
	sim.limits.ListedEnds = listedEnds
	sim.replaceOwner()
	sim.taskDuration = time.Second
	sim.run(time.Second)
	for id, w := range sim.workers {
		w.unreachable = id != "w0"
	}
	sim.run(time.Second)
	sim.submit("a", job.Step{Count: n, Need: brief})
	sim.run(sim.taskDuration / 2)
	for _, w := range sim.workers {
		w.unreachable = false
	}
	sim.workers["w0"].unreachable = true
	sim.run(sim.taskDuration)
	// The owner ends before it has recorded that the worker does not answer.
	clear(sim.unresponsive)
	return sim
}

// silenceAfterFirstListing starts a new owner, and makes worker w0 unreachable once it has listed its first
// ends to it.
func (sim *simulation) silenceAfterFirstListing() *fakeWorker {
	w := sim.workers["w0"]
	w.unreachable = false
	sim.replaceOwner()
	for !sim.core.workers["w0"].furtherEnds {
		sim.step()
	}
	w.unreachable = true
	return w
}

// Guards against a new owner that takes the first ends which a worker lists for all of them, and starts
// the tasks with the others again.
func TestNewOwnerWaitsForAllEnds(t *testing.T) {
	for _, n := range []int{listedEnds - 1, listedEnds, 3*listedEnds + 1} {
		t.Run(fmt.Sprintf("%d tasks", n), func(t *testing.T) {
			sim := newListingSimulation(2, n)
			sim.workers["w0"].unreachable = false
			sim.replaceOwner()
			sim.run(3 * time.Second)
			assertNoViolations(t, sim)
			assertState(t, sim, "a", progress.Succeeded)
			qt.Assert(t, sim.starts, qt.Equals, n)
			qt.Assert(t, sim.core.Recovered(), qt.IsTrue)
		})
	}
}

// Guards against a start of tasks whose ends a worker could not list before it went silent, also by a
// further owner that knows the worker from a record.
func TestWorkerSilentBetweenTwoListings(t *testing.T) {
	for _, further := range []bool{false, true} {
		t.Run(fmt.Sprintf("further owner %t", further), func(t *testing.T) {
			sim := newListingSimulation(2, 3*listedEnds)
			w := sim.silenceAfterFirstListing()
			sim.run(time.Second)
			if further {
				sim.replaceOwner()
			}
			sim.run(500 * time.Millisecond)
			qt.Assert(t, sim.starts, qt.Equals, 3*listedEnds)
			w.unreachable = false
			sim.run(3 * time.Second)
			assertNoViolations(t, sim)
			assertState(t, sim, "a", progress.Succeeded)
			qt.Assert(t, sim.starts, qt.Equals, 3*listedEnds)
		})
	}
}

// Guards against tasks that wait for good because their worker went silent between two listings.
func TestTasksLeaveWorkerSilentBetweenTwoListings(t *testing.T) {
	sim := newListingSimulation(2, 3*listedEnds)
	sim.silenceAfterFirstListing()
	sim.run(DefaultLimits().MaxLease + 4*time.Second)
	assertNoViolations(t, sim)
	assertState(t, sim, "a", progress.Succeeded)
}

// Guards against failed ends of expired leases that count as attempts because the worker lists them after
// its first ends.
func TestFurtherEndsOfExpiredLeaseAreNotCounted(t *testing.T) {
	sim := newListingSimulation(1, 0)
	sim.addWorker("w1")
	sim.taskFails = func(_ job.Task, id string) bool { return id == "w0" }
	sim.workers["w0"].unreachable = false
	sim.run(time.Second)
	sim.submit("b", job.Step{Count: 3 * listedEnds, Need: brief})
	sim.run(500 * time.Millisecond)
	lost := make(map[job.Task]int64)
	for name, r := range sim.workers["w0"].runs {
		lost[name] = r.number
	}
	qt.Assert(t, lost, qt.HasLen, 3*listedEnds)
	sim.workers["w0"].unreachable = true
	sim.run(DefaultLimits().Lease + time.Second)
	sim.workers["w0"].unreachable = false
	sim.run(2 * time.Second)
	assertNoViolations(t, sim)
	for name, number := range lost {
		qt.Assert(t, slices.Contains(sim.core.step(name).tasks[name.Index].failed, number), qt.IsFalse, qt.Commentf("%s", name))
	}
}

// simulateFullListings simulates random faults with workers that list few ends at once.
func simulateFullListings(t *rapid.T) {
	simulateFaults(t, func(sim *simulation, _ map[string]func(*rapid.T)) {
		sim.limits.ListedEnds = rapid.IntRange(1, 4).Draw(t, "listed ends")
		sim.replaceOwner()
	})
}

// TestInvariantsWithFullListings guards against the faults of TestInvariants where workers have more ends
// than they list at once.
func TestInvariantsWithFullListings(t *testing.T) { rapid.Check(t, simulateFullListings) }

// TestFullListingMutant checks that TestInvariantsWithFullListings notices an owner that takes a full
// listing for all ends.
func TestFullListingMutant(t *testing.T) {
	property.CheckMutants(t, map[string]*bool{"a full listing counts as complete": &mutation.trustFullListing}, func(t testing.TB) { rapid.Check(t, simulateFullListings) })
}
