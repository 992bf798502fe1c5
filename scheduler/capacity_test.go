package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"egretdrum.example/catalog"
	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/property"
	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

// fullCapacity is that of each simulated worker at first.
var fullCapacity = resource.Amount{CPU: 4000, Memory: 8000}

// earlierCapacity is a capacity that a worker had before.
type earlierCapacity struct {
	amount resource.Amount
	// until is when the owner learned of the next one, the zero time before that.
	until time.Time
}

// setCapacity changes the capacity of a worker. The owner learns of it after a delay.
func (sim *simulation) setCapacity(id string, amount resource.Amount, delay time.Duration) {
	w := sim.workers[id]
	w.earlierCapacities = append(w.earlierCapacities, earlierCapacity{amount: w.registration.Capacity})
	w.registration.Capacity = amount
	sim.registerLater(w, delay)
}

// register has the owner learn of the present registration of a worker.
func (sim *simulation) register(w *fakeWorker) {
	w.listedAs = nil
	sim.core.SetWorker(w.registration, sim.now)
	for i := range w.earlierCapacities {
		if c := &w.earlierCapacities[i]; c.until.IsZero() {
			c.until = sim.now
		}
	}
}

// registerLater registers a worker after a delay, unless it has restarted by then.
func (sim *simulation) registerLater(w *fakeWorker, delay time.Duration) {
	if delay == 0 {
		sim.register(w)
		return
	}
	sim.registrations = append(sim.registrations, delayedCall{sim.now.Add(delay), func() {
		if sim.workers[w.registration.ID] == w {
			sim.register(w)
		}
	}})
}

// allowedCapacity returns the capacity that the runs of a worker may use beside a new one: the
// present one, those of whose end the owner has not learned yet and, for a call that is carried out
// late, those by which the owner went when it sent the call.
func (w *fakeWorker) allowedCapacity(now time.Time, late bool) resource.Amount {
	allowed := w.registration.Capacity
	for _, c := range w.earlierCapacities {
		if c.until.IsZero() || late && now.Sub(c.until) <= lateCallDelay {
			allowed = allowed.Max(c.amount)
		}
	}
	return allowed
}

// listMachines has each new owner get a list of machines that have the full capacity, whatever that
// of their workers is.
func (sim *simulation) listMachines() {
	sim.machineList = nil
	for _, w := range sorted(sim.workers) {
		sim.machineList = append(sim.machineList, worker.Machine{
			ID: w.registration.Machine, Pool: w.registration.Pool, State: worker.Up, Worker: w.registration.ID, Capacity: fullCapacity,
		})
	}
	sim.core.SetMachines(sim.machineList, sim.now, sim.now)
}

// addCapacityChanges adds changes of the capacity of workers to the actions of a state machine. The
// owner learns of each up to 1.5 s later, the interval at which workers register.
func addCapacityChanges(sim *simulation, actions map[string]func(*rapid.T)) {
	sim.listMachines()
	actions["capacity"] = func(t *rapid.T) {
		amount := resource.Amount{CPU: 1000 * rapid.IntRange(0, 4).Draw(t, "cores"), Memory: 500 * rapid.IntRange(0, 16).Draw(t, "memory")}
		sim.setCapacity(drawWorker(t), amount, time.Duration(rapid.IntRange(0, 3).Draw(t, "delay"))*500*time.Millisecond)
	}
}

// TestInvariantsWithCapacityChanges simulates the faults of TestInvariants, and workers whose capacity
// shrinks and grows. It guards against the faults that TestInvariants guards against, and against tasks
// that are not started after the capacity has grown again.
func TestInvariantsWithCapacityChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { simulateFaults(t, addCapacityChanges) })
}

// TestChangingCapacities simulates full workers whose capacity shrinks and grows often, beside lost
// answers, new owners, restarts and starts that wait to be sent. It guards against starts above a
// capacity of which the owner has learned, and against tasks that are not started after the capacity
// has grown again.
func TestChangingCapacities(t *testing.T) {
	rapid.Check(t, simulateChangingCapacities)
}

// Guards against a simulation that does not notice starts above a shrunk capacity.
func TestChangingCapacitiesMutants(t *testing.T) {
	property.CheckMutants(t, map[string]*bool{
		"starts that wait to be sent stay": &mutation.keepUnsent,
		"capacity of a worker is ignored":  &mutation.ignoreCapacity,
	}, func(t testing.TB) { rapid.Check(t, simulateChangingCapacities) })
	// Random runs reach this case too rarely.
	property.CheckMutants(t, map[string]*bool{"unknown runs fit into what has shrunk": &mutation.countShrunk}, simulateUnknownShrunkWorker)
}

func simulateChangingCapacities(t *rapid.T) {
	sim := newSimulation(4)
	for id, w := range sim.workers {
		w.registration.Machine = "m-" + id
	}
	// The tasks of one account stay below its limit while those of the others fill the workers.
	sim.catalog.Accounts["small"] = &catalog.Account{Name: "small"}
	fates := rapid.SliceOfN(rapid.SampledFrom([]callOutcome{answered, answered, answered, answered, answered, answered, requestLost, responseLost, requestDelayed}), 64, 64).Draw(t, "fates")
	calls := 0
	sim.callFault = func(string) callOutcome {
		calls++
		return fates[calls%len(fates)]
	}
	sim.lag = rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "lag")
	submitted := 0
	actions := map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			sim.taskDuration = rapid.SampledFrom([]time.Duration{300 * time.Millisecond, 5 * time.Second}).Draw(t, "duration")
			kind := rapid.IntRange(0, 7).Draw(t, "kind")
			id := fmt.Sprintf("j%d", submitted)
			submitted++
			sim.submit(id, job.Step{
				Count: rapid.IntRange(1, 6).Draw(t, "count"), Need: resource.Amount{CPU: 500 * (1 + kind%3), Memory: 500},
				Gang: kind == 1, Background: kind == 2, LongRunning: kind == 3, Speculative: kind == 4,
			})
			if kind%2 == 0 {
				sim.jobs[id].Account = "small"
			}
		},
		"wait": func(t *rapid.T) {
			sim.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "steps")) * simulationStep)
		},
		"owner":   func(*rapid.T) { sim.replaceOwner() },
		"restart": func(t *rapid.T) { sim.restartUnnoticed(drawWorker(t), time.Second) },
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
	addCapacityChanges(sim, actions)
	sim.replaceOwner()
	sim.run(300 * time.Millisecond)
	t.Repeat(actions)
	sim.taskDuration = 300 * time.Millisecond
	for _, w := range sorted(sim.workers) {
		w.unreachable = false
		sim.setCapacity(w.registration.ID, fullCapacity, 0)
	}
	for _, j := range sorted(sim.jobs) {
		if j.Steps[0].LongRunning {
			sim.cancel(j.ID)
			sim.stored[j.ID] = &progress.Record{State: progress.Cancelled}
		}
	}
	checkJobsEnd(t, sim)
}

// Pattern: a burst of starts waits to be sent to a worker when its capacity shrinks. Guards against
// starts that are sent although the owner has learned that there is no room for them any more.
func TestUnsentStartLeavesShrunkWorker(t *testing.T) {
	sim := newSimulation(2)
	sim.run(time.Second)
	sim.lag = 200 * time.Millisecond
	sim.submit("j", job.Step{Count: 4, Need: small})
	sim.run(100 * time.Millisecond)
	sim.setCapacity("w0", resource.Amount{CPU: 1000, Memory: 1000}, 0)
	sim.setCapacity("w1", resource.Amount{CPU: 1000, Memory: 1000}, 0)
	sim.run(8 * time.Second)
	assertNoViolations(t, sim)
	assertState(t, sim, "j", progress.Succeeded)
}

// Pattern: a worker is full when its capacity shrinks, and a new owner takes over before it has
// answered. Guards against a limit of an account that is exceeded because the new owner assumes that
// the worker runs no more than the shrunk capacity holds.
func TestRecoveryCountsRunsAboveShrunkCapacity(t *testing.T) { simulateUnknownShrunkWorker(t) }

func simulateUnknownShrunkWorker(t testing.TB) {
	sim := newSimulation(3)
	for id, w := range sim.workers {
		w.registration.Machine = "m-" + id
	}
	sim.listMachines()
	sim.replaceOwner()
	sim.run(time.Second)
	sim.taskDuration = time.Hour
	sim.submit("a", job.Step{Count: 4, Need: small})
	sim.run(time.Second)
	full, _ := sim.core.Task(job.Task{Job: "a"})
	sim.setCapacity(full, resource.Amount{CPU: 1000, Memory: 1000}, 0)
	sim.workers[full].unreachable = true
	sim.replaceOwner()
	sim.submit("b", job.Step{Count: 6, Need: small})
	sim.run(time.Second)
	assertNoViolations(t, sim)
}

// Pattern: a long-running task has a worker reserved whose capacity shrinks below its need, in a pool
// that is full of small tasks. Guards against a task that waits for that worker for as long as it
// stays shrunk, while other workers are not reserved for it.
func TestReservationLeavesShrunkWorker(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 5})
	sim.advance(time.Second)
	advanceFull(sim, time.Second)
	sim.submitFor("rounds", "arbiters", "lasting", job.Step{Count: 1, Need: wide, LongRunning: true})
	advanceFull(sim, 100*time.Millisecond)
	reserved := ""
	for _, w := range sim.core.sortedWorkers {
		if len(w.reservations) > 0 {
			reserved = w.registration.ID
		}
	}
	qt.Assert(t, reserved, qt.Not(qt.Equals), "")
	sim.setCapacity(reserved, resource.Amount{CPU: 4000, Memory: 4000}, 0)
	advanceFull(sim, 3*time.Second)
	holder, _ := sim.core.Task(job.Task{Job: "lasting"})
	qt.Assert(t, holder, qt.Not(qt.Equals), "")
	assertNoViolations(t, sim.simulation)
}

// Pattern: all workers of a pool shrink to a quarter while other pools have idle machines. Guards
// against a pool that borrows none because its machines still count with their full capacity.
func TestShrunkPoolBorrowsMachines(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 6, "league": 16})
	for _, w := range sorted(sim.workers) {
		if w.registration.Pool == "desk" {
			sim.setCapacity(w.registration.ID, resource.Amount{CPU: 1000, Memory: 2000}, 0)
		}
	}
	sim.taskDuration = 3 * time.Second
	sim.submitFor("rounds", "arbiters", "j", job.Step{Count: 16, Need: small})
	sim.advance(4 * time.Second)
	qt.Assert(t, len(sim.ordered) > 0, qt.IsTrue)
	for _, o := range sim.ordered {
		qt.Check(t, o.Pool, qt.Equals, "desk")
	}
	assertNoViolations(t, sim.simulation)
}

// Guards against machines that are moved one after the other to a pool that lacks some, although they
// have no room there either.
func TestShrunkMachinesAreNotLent(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 2, "league": 20})
	for _, w := range sorted(sim.workers) {
		if w.registration.Pool == "league" {
			sim.setCapacity(w.registration.ID, resource.Amount{CPU: 100, Memory: 8000}, 0)
		}
	}
	sim.submitFor("rounds", "arbiters", "j", job.Step{Count: 40, Need: small})
	sim.advance(2 * time.Second)
	qt.Assert(t, sim.ordered, qt.HasLen, 0)
}

// Guards against tasks that wait after the capacity of a worker has grown until the next pass over
// all pools, and against growth that is never noticed.
func TestGrownWorkerTakesTasksAtOnce(t *testing.T) {
	sim := newSimulation(1)
	sim.setCapacity("w0", resource.Amount{}, 0)
	sim.run(time.Second)
	sim.submit("j", job.Step{Count: 2, Need: small})
	sim.run(time.Second)
	qt.Assert(t, sim.starts, qt.Equals, 0)
	sim.core.lastPass = sim.now
	sim.setCapacity("w0", fullCapacity, 0)
	sim.step()
	qt.Assert(t, sim.starts, qt.Equals, 2)
}

// Guards against runs that are stopped because the capacity of their worker has shrunk: they go on,
// and nothing starts beside them until there is room again.
func TestRunsAboveShrunkCapacityGoOn(t *testing.T) {
	sim := newSimulation(1)
	sim.run(time.Second)
	sim.taskDuration = time.Hour
	sim.submit("a", job.Step{Count: 4, Need: small})
	sim.run(time.Second)
	sim.setCapacity("w0", resource.Amount{CPU: 500, Memory: 1}, 0)
	sim.submit("b", job.Step{Count: 1, Need: small}, job.Step{Count: 1, Need: resource.Amount{Memory: 1}, Gang: true})
	sim.run(5 * time.Second)
	qt.Assert(t, sim.workers["w0"].runs, qt.HasLen, 4)
	qt.Assert(t, sim.starts, qt.Equals, 4)
	assertNoViolations(t, sim)
}

// Guards against gangs of which a part is started when the capacity shrinks between the decision and
// the sending of the starts.
func TestGangLeavesShrunkWorkerAsAWhole(t *testing.T) {
	sim := newSimulation(2)
	sim.run(time.Second)
	sim.lag = 200 * time.Millisecond
	sim.submit("g", job.Step{Count: 6, Need: small, Gang: true})
	sim.run(100 * time.Millisecond)
	sim.setCapacity("w0", resource.Amount{CPU: 2000, Memory: 8000}, 0)
	sim.run(5 * time.Second)
	assertNoViolations(t, sim)
	qt.Assert(t, len(sim.workers["w0"].runs)+len(sim.workers["w1"].runs), qt.Equals, 0)
	sim.setCapacity("w0", fullCapacity, 0)
	sim.run(8 * time.Second)
	assertNoViolations(t, sim)
	assertState(t, sim, "g", progress.Succeeded)
}
