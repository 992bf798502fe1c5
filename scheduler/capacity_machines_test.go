package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/property"
	"egretdrum.example/resource"
)

// Guards against starts above a shrunk capacity, panics, and jobs that never end, by the ways on which
// capacity counts besides placement: loans, waves, relocations, reservations and labels, under lost and
// late orders and changes of the owner.
func TestChangingCapacitiesOfMachines(t *testing.T) { simulateChangingMachines(t) }

// Guards against a simulation that does not notice starts above a shrunk capacity.
func TestChangingCapacitiesOfMachinesMutant(t *testing.T) {
	property.CheckMutants(t, map[string]*bool{"capacity of a worker is ignored": &mutation.ignoreCapacity}, simulateChangingMachines)
}

func simulateChangingMachines(t testing.TB) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 0))
		sim := newMachineSimulation(map[string]int{"desk": 8, "league": 10, "spare": 2})
		sim.callFault = func(string) callOutcome {
			return []callOutcome{answered, answered, answered, answered, requestLost, responseLost, requestDelayed}[random.IntN(7)]
		}
		sim.wave(14*time.Second, 2, "desk-0", "desk-1", "league-0", "league-1")
		sim.submitFor("teams", "arbiters", "lasting", job.Step{Count: 4, Need: wide, LongRunning: true, MayMiss: 1})
		for n := range 30 {
			step := job.Step{Count: 1 + n%5, Need: small, Speculative: n%4 == 0, Gang: n%4 == 1}
			sim.submitFor([]string{"rounds", "teams"}[n%2], "arbiters", fmt.Sprintf("j%d", n), step, job.Step{Count: 2, Need: small, After: []int{0}})
			for range random.IntN(6) {
				ids := slices.Sorted(maps.Keys(sim.workers))
				amount := resource.Amount{CPU: 500 * random.IntN(9), Memory: 500 * random.IntN(17)}
				sim.setCapacity(ids[random.IntN(len(ids))], amount, time.Duration(random.IntN(4))*500*time.Millisecond)
			}
			if random.IntN(10) == 0 {
				sim.replaceOwner()
			}
			sim.advance(500 * time.Millisecond)
		}
		sim.callFault = nil
		for _, w := range sorted(sim.workers) {
			if !w.down {
				sim.setCapacity(w.registration.ID, fullCapacity, 0)
			}
		}
		sim.advance(15 * time.Second)
		qt.Assert(t, sim.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		for n := range 30 {
			qt.Assert(t, sim.state(fmt.Sprintf("j%d", n)).Final(), qt.IsTrue, qt.Commentf("seed %d, job %d", seed, n))
		}
		qt.Assert(t, sim.runsOf("lasting"), qt.Equals, 4, qt.Commentf("seed %d", seed))
	}
}
