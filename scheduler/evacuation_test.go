package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/property"
)

// newZoneSimulation returns a machine simulation whose machines are spread over the zones north
// and south by turns. Each start in a zone under evacuation is a violation.
func newZoneSimulation(pools map[string]int) *machineSimulation {
	sim := newMachineSimulation(pools)
	for i, m := range sorted(sim.machines) {
		m.Zone = []string{"north", "south"}[i%2]
		if w := sim.workers[m.Worker]; w != nil {
			w.registration.Zone = m.Zone
			sim.core.SetWorker(w.registration, sim.now)
		}
	}
	sim.advance(time.Second)
	return sim
}

// evacuate puts zones under evacuation, in place of those that were.
func (sim *simulation) evacuate(zones ...string) {
	sim.evacuated = make(map[string]int64)
	for _, zone := range zones {
		sim.evacuated[zone] = 1
	}
	sim.core.SetEvacuated(sim.evacuated)
}

// runsIn counts the runs in a zone.
func (sim *simulation) runsIn(zone string) int {
	n := 0
	for _, w := range sim.workers {
		if w.registration.Zone == zone && !w.down {
			n += len(w.runs)
		}
	}
	return n
}

// Guards against a task that starts in an evacuated zone by any of the ways in which tasks start:
// first starts, repeats, copies, gangs, long-running tasks, and machines that come back from a
// move or from maintenance, under lost and late orders and changes of the owner.
func TestNothingStartsInEvacuatedZone(t *testing.T) { simulateEvacuations(t) }

// Guards against a simulation that does not notice starts in evacuated zones.
func TestEvacuationMutantIsDetected(t *testing.T) {
	property.CheckMutants(t, map[string]*bool{"evacuations are ignored": &mutation.ignoreEvacuation}, simulateEvacuations)
}

func simulateEvacuations(t testing.TB) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 0))
		sim := newZoneSimulation(map[string]int{"desk": 8, "league": 8, "spare": 2})
		sim.callFault = func(string) callOutcome {
			return []callOutcome{answered, answered, answered, answered, requestLost, responseLost, requestDelayed}[random.IntN(7)]
		}
		sim.taskFails = func(task job.Task, _ string) bool {
			return (len(task.Job)+task.Index)%7 == 0 && sim.failures[task] == 0
		}
		sim.wave(14*time.Second, 2, "desk-0", "desk-1", "league-0", "league-1")
		sim.submitFor("teams", "arbiters", "lasting", job.Step{Count: 4, Need: small, LongRunning: true, MayMiss: 1})
		for n := range 30 {
			step := job.Step{Count: 1 + n%5, Need: small, Speculative: n%4 == 0, Gang: n%4 == 1}
			sim.submitFor([]string{"rounds", "teams"}[n%2], "arbiters", fmt.Sprintf("j%d", n), step, job.Step{Count: 2, Need: small, After: []int{0}})
			switch random.IntN(8) {
			case 0:
				sim.evacuate("north")
			case 1:
				sim.evacuate("south")
			case 2:
				sim.evacuate()
			case 3:
				sim.replaceOwner()
			case 4:
				w := sim.workers[fmt.Sprintf("w%03d", 1+random.IntN(16))]
				w.unreachable = !w.unreachable
			}
			sim.advance(500 * time.Millisecond)
		}
		if len(sim.violations) > 0 {
			t.Fatalf("seed %d: %d violations: %s", seed, len(sim.violations), sim.violations[0])
		}
	}
}

// Guards against jobs that wait for the room of an evacuated zone while other pools have machines
// to lend.
func TestPoolBorrowsForEvacuatedZone(t *testing.T) {
	sim := newZoneSimulation(map[string]int{"desk": 6, "league": 16})
	sim.evacuate("north")
	for n := range 12 {
		sim.submitFor("rounds", "arbiters", fmt.Sprintf("j%d", n), job.Step{Count: 4, Need: small})
	}
	sim.advance(3 * time.Second)
	lent := 0
	for _, o := range sim.ordered {
		qt.Check(t, sim.machines[o.Machine].Zone, qt.Equals, "south")
		qt.Check(t, o.Pool, qt.Equals, "desk")
		lent++
	}
	qt.Assert(t, lent > 0, qt.IsTrue)
	assertNoViolations(t, sim.simulation)
}

// Guards against an evacuation that ends what runs in the zone, and against a restored zone that
// is not used again.
func TestEvacuationKeepsRunsAndEnds(t *testing.T) {
	sim := newZoneSimulation(map[string]int{"desk": 6})
	sim.submitFor("rounds", "arbiters", "lasting", job.Step{Count: 12, Need: small, LongRunning: true})
	sim.advance(2 * time.Second)
	before := sim.runsIn("north")
	qt.Assert(t, before > 0, qt.IsTrue)
	sim.evacuate("north", "an unknown zone")
	sim.advance(4 * time.Second)
	qt.Assert(t, sim.runsIn("north"), qt.Equals, before)
	sim.evacuate()
	sim.submitFor("rounds", "arbiters", "filling", job.Step{Count: 30, Need: small})
	sim.advance(time.Second)
	qt.Assert(t, sim.runsIn("north") > before, qt.IsTrue)
	assertNoViolations(t, sim.simulation)
}

// Guards against starts of an owner that can't know whether the zone is under evacuation.
func TestOwnerWithUnknownZonesStartsNothing(t *testing.T) {
	sim := newZoneSimulation(map[string]int{"desk": 6})
	sim.core.SetZonesKnown(false)
	sim.submitFor("rounds", "arbiters", "j", job.Step{Count: 4, Need: small})
	sim.advance(time.Second)
	qt.Assert(t, sim.starts, qt.Equals, 0)
	sim.core.SetZonesKnown(true)
	sim.advance(time.Second)
	qt.Assert(t, sim.starts, qt.Equals, 4)
}

// Guards against starts that wait to be sent when the evacuation becomes known.
func TestUnsentStartLeavesEvacuatedZone(t *testing.T) {
	sim := newZoneSimulation(map[string]int{"desk": 2})
	sim.lag = 200 * time.Millisecond
	sim.submitFor("rounds", "arbiters", "j", job.Step{Count: 8, Need: small})
	sim.advance(100 * time.Millisecond)
	sim.evacuate("north")
	sim.advance(5 * time.Second)
	assertNoViolations(t, sim.simulation)
	assertState(t, sim.simulation, "j", "succeeded")
}

// Guards against a wave that takes busy machines of the pool while those of an evacuated zone are
// idle.
func TestEvacuatedMachinesAreMaintainedFirst(t *testing.T) {
	sim := newZoneSimulation(map[string]int{"desk": 10})
	sim.evacuate("south")
	sim.submitFor("rounds", "arbiters", "lasting", job.Step{Count: 20, Need: small, LongRunning: true, MayMiss: 2})
	sim.advance(2 * time.Second)
	sim.wave(30*time.Second, 3, "desk-0", "desk-1", "desk-2", "desk-3", "desk-5")
	sim.advance(2 * time.Second)
	qt.Assert(t, len(sim.ordered) >= 3, qt.IsTrue)
	for _, o := range sim.ordered[:3] {
		qt.Check(t, sim.machines[o.Machine].Zone, qt.Equals, "south")
	}
}
