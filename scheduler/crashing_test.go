package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/worker"
)

const (
	// crashDelay is how long a worker lives after the start of a crashing task, restartDelay how
	// long it is away.
	crashDelay   = 40 * time.Millisecond
	restartDelay = 3 * time.Second
	// maxCrashes is the number of crashed workers after which a task must not start again.
	maxCrashes = 3
)

// crashSimulation is a machine simulation in which some tasks crash each worker that starts them.
// The worker is listed as down and comes back as a new incarnation.
type crashSimulation struct {
	*machineSimulation
	crashing map[job.Task]bool
	// crashes counts the workers that crashed under each crashing task; startsAfter counts its
	// starts after maxCrashes of them.
	crashes, startsAfter map[job.Task]int
	// lost counts the workers that crashed while a task ran there, for all tasks.
	lost map[job.Task]int
	// runsLost counts the runs of other tasks that were lost in these crashes.
	runsLost int
	// newIDs has workers come back under another ID. unlisted keeps crashed machines listed as up.
	newIDs, unlisted bool
	// due holds the crashes and restarts to come.
	due []delayedCall
}

func newCrashSimulation(machines int) *crashSimulation {
	sim := &crashSimulation{
		machineSimulation: newMachineSimulation(map[string]int{"desk": machines}),
		crashing:          make(map[job.Task]bool), crashes: make(map[job.Task]int), lost: make(map[job.Task]int), startsAfter: make(map[job.Task]int),
	}
	sim.onStart = sim.runStarted
	return sim
}

// runStarted crashes the worker shortly after the start of a crashing task.
func (sim *crashSimulation) runStarted(w *fakeWorker, a Start) {
	if !sim.crashing[a.Task] {
		return
	}
	// No owner can prevent that a worker carries out an order for its earlier incarnation.
	if sim.crashes[a.Task] >= maxCrashes && !sim.applyingStale {
		sim.startsAfter[a.Task]++
	}
	sim.after(crashDelay, func() {
		if r := w.runs[a.Task]; r == nil || r.number != a.Run || w.down {
			return
		}
		for name := range w.runs {
			if sim.crashing[name] {
				sim.crashes[name]++
			} else {
				sim.runsLost++
			}
		}
		sim.crash(w)
	})
}

// after calls apply once d has passed.
func (sim *crashSimulation) after(d time.Duration, apply func()) {
	sim.due = append(sim.due, delayedCall{sim.now.Add(d), apply})
}

// advance moves the time forward by d.
func (sim *crashSimulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		applyDue(&sim.due, sim.now)
		sim.machineSimulation.advance(simulationStep)
	}
}

// crash ends a worker with all that it knows, and starts it again after restartDelay.
func (sim *crashSimulation) crash(w *fakeWorker) {
	m := sim.machines[w.registration.Machine]
	w.down = true
	for name := range w.runs {
		sim.lost[name]++
	}
	clear(w.runs)
	if !sim.unlisted {
		m.State, m.backAt, m.Worker = worker.Down, time.Unix(1<<40, 0), ""
	}
	sim.after(restartDelay, func() {
		m.State = worker.Up
		if sim.newIDs {
			sim.core.RemoveWorker(w.registration.ID, sim.now)
			sim.startWorker(m)
			return
		}
		m.Worker = w.registration.ID
		sim.restart(w.registration.ID)
	})
}

// mostCrashes returns the highest number of workers that crashed under one task of a job.
func (sim *crashSimulation) mostCrashes(id string) int {
	n := 0
	for task, lost := range sim.lost {
		if task.Job == id {
			n = max(n, lost)
		}
	}
	return n
}

// submitCrashing submits a job of which the given tasks of step 0 crash their workers.
func (sim *crashSimulation) submitCrashing(id string, step job.Step, indexes ...int) {
	for _, index := range indexes {
		sim.crashing[job.Task{Job: id, Index: index}] = true
	}
	sim.submitFor("rounds", "arbiters", id, step)
}

// Guards against a task that crashes one worker after the other, and against the loss of the jobs
// beside it.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	for name, prepare := range map[string]func(*crashSimulation){
		"machine listed as down":       func(*crashSimulation) {},
		"machine carries a new worker": func(sim *crashSimulation) { sim.newIDs = true },
		"new incarnation only":         func(sim *crashSimulation) { sim.unlisted = true },
		"new worker, no list":          func(sim *crashSimulation) { sim.newIDs, sim.unlisted = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newCrashSimulation(8)
			prepare(sim)
			sim.taskDuration = 400 * time.Millisecond
			sim.submitFor("rounds", "arbiters", "a", job.Step{Count: 12, Need: small})
			sim.submitCrashing("x", job.Step{Count: 1, Need: small}, 0)
			sim.submitFor("rounds", "arbiters", "b", job.Step{Count: 12, Need: small})
			sim.advance(30 * time.Second)
			assertNoViolations(t, sim.simulation)
			assertState(t, sim.simulation, "x", progress.Failed)
			assertState(t, sim.simulation, "a", progress.Succeeded)
			assertState(t, sim.simulation, "b", progress.Succeeded)
			for task, n := range sim.crashes {
				qt.Assert(t, n <= maxCrashes, qt.IsTrue, qt.Commentf("%d workers crashed under %s", n, task))
			}
		})
	}
}
