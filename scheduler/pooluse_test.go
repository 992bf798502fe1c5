package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/catalog"
	"egretdrum.example/job"
	"egretdrum.example/resource"
)

// newPoolSimulation returns a simulation with worker w0 in the pool of queue "rounds", and w1 and w2
// in that of queue "teams".
func newPoolSimulation() *simulation {
	sim := newSimulation(3)
	sim.catalog.Accounts["arbiters"].Limit = resource.Amount{}
	sim.catalog.Pools["league"] = &catalog.Pool{Name: "league"}
	sim.catalog.Queues["teams"] = &catalog.Queue{Name: "teams", Pool: "league", MaxAttempts: 3, Stretch: 1.6, Allowance: 600 * time.Millisecond}
	for _, id := range []string{"w1", "w2"} {
		w := sim.workers[id]
		w.registration.Pool = "league"
		sim.core.SetWorker(w.registration, sim.now)
	}
	sim.run(100 * time.Millisecond)
	return sim
}

func (sim *simulation) submitToQueue(queue, id string, steps ...job.Step) {
	j := &job.Job{ID: id, Queue: queue, Account: "arbiters", Steps: steps}
	sim.jobs[id], sim.added[id] = j, sim.owner
	sim.core.AddJob(j, nil, false, sim.now)
}

// started reports whether a task of the job is running.
func (sim *simulation) started(id string) bool {
	for _, w := range sim.workers {
		for name := range w.runs {
			if name.Job == id {
				return true
			}
		}
	}
	return false
}

// Guards against a worker that fails together with the owner and delays the whole fleet: only the
// queues of its pool have to wait for the end of its lease.
func TestUnresponsiveWorkerDelaysOnlyQueuesOfItsPool(t *testing.T) {
	sim := newPoolSimulation()
	// The pools are full, so that the next two jobs wait when the owner fails.
	sim.taskDuration = time.Second
	sim.submitToQueue("rounds", "full0", job.Step{Count: 1, Need: resource.Amount{CPU: 4000}})
	sim.submitToQueue("teams", "full1", job.Step{Count: 2, Need: resource.Amount{CPU: 4000}})
	sim.run(100 * time.Millisecond)
	sim.submitToQueue("rounds", "waits", job.Step{Count: 1, Need: resource.Amount{CPU: 4000}})
	sim.submitToQueue("teams", "goes-on", job.Step{Count: 1, Need: resource.Amount{CPU: 4000}})
	sim.workers["w0"].unreachable = true
	sim.replaceOwner()
	sim.run(1500 * time.Millisecond)
	qt.Assert(t, sim.started("goes-on"), qt.IsTrue)
	qt.Assert(t, sim.started("waits"), qt.IsFalse)
	assertNoViolations(t, sim)
}

// Guards against a second start of a task whose queue was moved to another pool before the recovery:
// the workers of the new pool all answer, that of the former pool with the task does not.
func TestRecoveryOfMovedQueueWaitsForBothPools(t *testing.T) {
	sim := newPoolSimulation()
	sim.taskDuration = 10 * time.Second
	sim.submitToQueue("rounds", "runs", job.Step{Count: 1, Need: small})
	sim.run(100 * time.Millisecond)
	sim.workers["w0"].unreachable = true
	sim.catalog.Queues["rounds"].Pool = "league"
	sim.replaceOwner()
	sim.run(2 * time.Second)
	assertNoViolations(t, sim)
	sim.run(DefaultLimits().MaxLease)
	assertNoViolations(t, sim)
	qt.Assert(t, sim.poolUse["rounds"], qt.DeepEquals, []string{"desk", "league"})
}

// simulateQueueThatReturned has a queue use another pool for one task, whose worker becomes
// unreachable, and return to its own pool before the owner changes.
func simulateQueueThatReturned(t testing.TB) {
	sim := newPoolSimulation()
	sim.taskDuration = 10 * time.Second
	sim.catalog.Queues["rounds"].Pool = "league"
	sim.submitToQueue("rounds", "runs", job.Step{Count: 1, Need: small})
	sim.run(200 * time.Millisecond)
	qt.Assert(t, sim.started("runs"), qt.IsTrue)
	for _, w := range sim.workers {
		w.unreachable = len(w.runs) > 0
	}
	sim.catalog.Queues["rounds"].Pool = "desk"
	sim.replaceOwner()
	sim.run(2 * time.Second)
	assertNoViolations(t, sim)
}

// Guards against a second start of a task in another pool from which its queue has returned.
func TestRecoveryOfReturnedQueueWaitsForOtherPool(t *testing.T) { simulateQueueThatReturned(t) }

// Guards against an owner that mistakes a missing record of the pool use for one without pools:
// after an upgrade, or when the record can't be read, all queues have to wait for workers that
// don't answer.
func TestMissingPoolUseDelaysAllQueues(t *testing.T) {
	sim := newPoolSimulation()
	sim.taskDuration = 10 * time.Second
	sim.submitToQueue("teams", "runs", job.Step{Count: 1, Need: small})
	sim.run(100 * time.Millisecond)
	for id, w := range sim.workers {
		w.unreachable = len(w.runs) > 0
		qt.Assert(t, w.unreachable && id == "w0", qt.IsFalse)
	}
	// The queue moves to a pool whose workers all answer.
	sim.catalog.Queues["teams"].Pool = "desk"
	sim.poolUse = nil
	sim.replaceOwner()
	sim.run(2 * time.Second)
	assertNoViolations(t, sim)
	qt.Assert(t, sim.starts, qt.Equals, 1)
	sim.run(6 * time.Second)
	assertNoViolations(t, sim)
}

// Guards against a start in a pool before it is durable that the queue uses this pool: a new owner
// would not expect the run there.
func TestTaskWaitsUntilPoolUseIsStored(t *testing.T) {
	sim := newPoolSimulation()
	sim.storeDown = true
	sim.catalog.Queues["rounds"].Pool = "league"
	sim.submitToQueue("rounds", "new", job.Step{Count: 1, Need: small})
	sim.run(time.Second)
	qt.Assert(t, sim.started("new"), qt.IsFalse)
	sim.storeDown = false
	sim.run(100 * time.Millisecond)
	qt.Assert(t, sim.started("new"), qt.IsTrue)
	assertNoViolations(t, sim)
}

// Guards against a waiting task that starts in the former pool of its queue after the queue was moved
// to another one. Found by the property test.
func TestWaitingTaskFollowsItsQueue(t *testing.T) {
	sim := newPoolSimulation()
	// The next full pass, which would list the task in its new pool, must not be due yet.
	for !sim.core.lastPass.Equal(sim.now) {
		sim.step()
	}
	sim.submitToQueue("rounds", "moved", job.Step{Count: 1, Need: small})
	sim.catalog.Queues["rounds"].Pool = "league"
	sim.run(300 * time.Millisecond)
	for id, w := range sim.workers {
		if len(w.runs) > 0 {
			qt.Assert(t, id, qt.Not(qt.Equals), "w0")
		}
	}
	qt.Assert(t, sim.started("moved"), qt.IsTrue)
}

// Guards against a second start of a task that has ended on a worker which the new owner has not
// polled yet: the worker may list ends that no owner has processed, so the end of its lease does
// not finish the recovery. Seen as tasks that ran twice in a sweep with 3,000 workers, whose new
// owner had a fifth of a core.
func TestRecoveryWaitsForUnpolledWorkers(t *testing.T) {
	sim := newSimulation(2)
	sim.taskDuration = 300 * time.Millisecond
	sim.run(100 * time.Millisecond)
	sim.submit("done", job.Step{Count: 1, Need: small})
	sim.run(40 * time.Millisecond)
	for id, w := range sim.workers {
		if len(w.runs) > 0 {
			sim.delayedWorker = id
		}
	}
	sim.replaceOwner()
	sim.delayedUntil = sim.now.Add(5 * time.Second)
	sim.run(8 * time.Second)
	assertNoViolations(t, sim)
	qt.Assert(t, sim.starts, qt.Equals, 1)
	assertState(t, sim, "done", "succeeded")
}

// Guards against a recovery that waits for a worker whose address is used by another one.
func TestReusedAddressEndsRecoveryWait(t *testing.T) {
	sim := newPoolSimulation()
	sim.taskDuration = 10 * time.Second
	sim.submitToQueue("rounds", "held", job.Step{Count: 1, Need: small})
	sim.run(100 * time.Millisecond)
	sim.workers["w0"].down, sim.workers["w0"].addressReused = true, true
	sim.replaceOwner()
	sim.run(500 * time.Millisecond)
	qt.Assert(t, sim.core.Recovered(), qt.IsTrue)
	assertNoViolations(t, sim)
}
