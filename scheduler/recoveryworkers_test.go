package scheduler

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/worker"
)

// Pattern: workers leave, or lose their machine, while the owner changes. Guards against tasks that wait
// for the longest lease of a worker whose machine the platform does not list any more, or lists as down
// or with another worker, and against a second run of a task on a worker that may still run.
func TestRecoveryDoesNotWaitForGoneWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		registered bool
		change     func(m *worker.Machine) (listed bool)
		waits      bool
	}{
		"left, machine not listed":       {false, func(*worker.Machine) bool { return false }, false},
		"left, machine carries another":  {false, func(m *worker.Machine) bool { m.Worker = "w9"; return true }, false},
		"left, machine down":             {false, func(m *worker.Machine) bool { m.State, m.Worker = worker.Down, ""; return true }, false},
		"left, machine in maintenance":   {false, func(m *worker.Machine) bool { m.State, m.Worker = worker.Maintenance, ""; return true }, false},
		"left, machine carries it":       {false, func(*worker.Machine) bool { return true }, true},
		"registered, machine not listed": {true, func(*worker.Machine) bool { return false }, true},
		"registered, machine carries it": {true, func(*worker.Machine) bool { return true }, true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(2)
			for id, w := range sim.workers {
				w.registration.Machine = "m-" + id
			}
			sim.listMachines()
			sim.replaceOwner()
			sim.run(100 * time.Millisecond)
			sim.submit("a", lasting)
			sim.run(200 * time.Millisecond)
			w := sim.workers["w0"]
			qt.Assert(t, w.runs, qt.HasLen, 1)
			// A worker that is waited for runs on, the others have ended.
			w.unreachable = true
			if !c.waits {
				clear(w.runs)
			}
			sim.replaceOwner()
			sim.run(100 * time.Millisecond)
			if !c.registered {
				sim.core.RemoveWorker("w0", sim.now)
			}
			sim.machineList = slices.DeleteFunc(sim.machineList, func(m worker.Machine) bool { return m.ID == "m-w0" && !c.change(&m) })
			for i := range sim.machineList {
				if m := &sim.machineList[i]; m.ID == "m-w0" {
					c.change(m)
				}
			}
			sim.core.SetMachines(sim.machineList, sim.now, sim.now)
			sim.run(time.Second)
			assertNoViolations(t, sim)
			qt.Assert(t, sim.core.Recovered(), qt.Equals, !c.waits)
			sim.run(DefaultLimits().MaxLease + time.Second)
			assertNoViolations(t, sim)
			assertRunning(t, sim, "a", 1)
		})
	}
}
