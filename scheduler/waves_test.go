package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/worker"
)

// assertWaveDone checks that the wave is finished, and that all its machines were maintained before.
func assertWaveDone(t *testing.T, sim *machineSimulation, machines ...string) {
	t.Helper()
	assertNoViolations(t, sim.simulation)
	qt.Assert(t, sim.finished[1], qt.IsTrue)
	for _, id := range machines {
		qt.Assert(t, sim.machines[id].maintained, qt.IsTrue, qt.Commentf("%s", id))
	}
}

// Guards against a wave that is reported as finished although the list of machines is older than one of
// its machines.
func TestWaveWaitsForAListOfNewMachines(t *testing.T) {
	for name, machines := range map[string][]string{
		"new machine":           {"new"},
		"known and new machine": {"desk-0", "new"},
		"known machines":        {"desk-0", "desk-1"},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newMachineSimulation(map[string]int{"desk": 6})
			sim.listUnavailable = true
			sim.addMachine("new", "desk")
			sim.wave(25*time.Second, 1, machines...)
			sim.advance(5 * time.Second)
			sim.listUnavailable = false
			sim.advance(15 * time.Second)
			assertWaveDone(t, sim, machines...)
		})
	}
}

// Guards against a wave that is finished by a list of machines that was requested before the operator
// requested the wave, and answered after it.
func TestWaveIsNotFinishedByAnOlderList(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 6})
	asked, list := sim.now, sim.machineList()
	sim.listUnavailable = true
	sim.addMachine("new", "desk")
	sim.advance(time.Second)
	sim.wave(20*time.Second, 1, "new")
	sim.core.SetMachines(list, asked, sim.now)
	sim.advance(4 * time.Second)
	sim.core.SetMachines(list, asked.Add(time.Millisecond), sim.now)
	sim.advance(time.Second)
	sim.listUnavailable = false
	sim.advance(10 * time.Second)
	assertWaveDone(t, sim, "new")
}

// Guards against a new owner that finishes the wave of its predecessor before it has a list of its own.
func TestNewOwnerWaitsForAListOfNewMachines(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 6})
	sim.listUnavailable = true
	sim.addMachine("new", "desk")
	sim.wave(25*time.Second, 1, "desk-0", "new")
	sim.advance(2 * time.Second)
	sim.replaceOwner()
	sim.advance(3 * time.Second)
	sim.listUnavailable = false
	sim.advance(15 * time.Second)
	assertWaveDone(t, sim, "desk-0", "new")
}

// Guards against a wave that leaves out a machine which one list lacks.
func TestWaveWaitsForMachineThatOneListLacks(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 6})
	sim.unlisted = map[string]bool{"desk-5": true}
	sim.wave(20*time.Second, 1, "desk-5")
	sim.advance(removedAfter / 2)
	qt.Assert(t, sim.finished[1], qt.IsFalse)
	sim.unlisted = nil
	sim.advance(10 * time.Second)
	assertWaveDone(t, sim, "desk-5")
}

// Guards against a wave that is finished by an empty list of machines.
func TestWaveIsNotFinishedByAnEmptyList(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 2})
	sim.unlisted = map[string]bool{"desk-0": true, "desk-1": true}
	sim.wave(20*time.Second, 1, "desk-0")
	sim.advance(2 * removedAfter)
	qt.Assert(t, sim.finished[1], qt.IsFalse)
	sim.unlisted = nil
	sim.advance(10 * time.Second)
	assertWaveDone(t, sim, "desk-0")
}

// Guards against a wave that never ends because one of its machines was removed or never existed.
func TestWaveEndsWithoutRemovedMachines(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 6})
	sim.wave(20*time.Second, 1, "desk-0", "desk-1", "unknown")
	for len(sim.ordered) == 0 {
		sim.advance(simulationStep)
	}
	kept := sim.ordered[0].Machine
	for _, id := range []string{"desk-0", "desk-1"} {
		if m := sim.machines[id]; id != kept && m.State == worker.Up {
			sim.workers[m.Worker].down = true
			sim.core.RemoveWorker(m.Worker, sim.now)
			delete(sim.machines, id)
		}
	}
	sim.advance(10 * time.Second)
	assertWaveDone(t, sim, kept)
	qt.Assert(t, sim.ordered, qt.HasLen, 1)
}
