package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
)

// Guards against a decision that depends on the iteration order of a map: two plays of the same
// events then differ, and a failure that was seen once can't be played again.
func TestEqualEventsHaveEqualActions(t *testing.T) {
	for seed := range uint64(10) {
		first, second := recordActions(seed), recordActions(seed)
		qt.Assert(t, second, qt.HasLen, len(first))
		for i := range first {
			qt.Assert(t, second[i], qt.Equals, first[i], qt.Commentf("seed %d, step %d", seed, i))
		}
	}
}

// Guards against a comparison that sees no actions.
func TestRecordedActionsCoverTheScheduler(t *testing.T) {
	all := strings.Join(recordActions(1), "\n")
	for _, kind := range []string{"start ", "stop ", "poll ", "save ", "order ", "wave ", "log run-gone"} {
		qt.Check(t, strings.Contains(all, kind), qt.IsTrue, qt.Commentf("%q", kind))
	}
}

// recordActions simulates 12 s with jobs, a wave, loans between pools and faults that the seed
// decides, and returns the actions of each step.
func recordActions(seed uint64) []string {
	random := rand.New(rand.NewPCG(seed, 0))
	sim := newMachineSimulation(map[string]int{"desk": 5, "league": 9, "spare": 2})
	var steps []string
	sim.onActions = func(a Actions) { steps = append(steps, describe(a)) }
	sim.callFault = func(string) callOutcome {
		return []callOutcome{answered, answered, answered, answered, requestLost, responseLost, requestDelayed}[random.IntN(7)]
	}
	sim.taskFails = func(job.Task, string) bool { return random.IntN(9) == 0 }
	sim.wave(10*time.Second, 2, "desk-0", "desk-1", "league-2", "league-3")
	sim.submitFor("teams", "arbiters", "lasting", job.Step{Count: 4, Need: small, LongRunning: true, MayMiss: 1})
	for n := range 40 {
		queue := []string{"rounds", "teams"}[random.IntN(2)]
		sim.submitFor(queue, "arbiters", fmt.Sprintf("j%d", n), job.Step{Count: 1 + random.IntN(6), Need: small, Speculative: n%5 == 0}, job.Step{Count: 2, Need: small, After: []int{0}})
		switch random.IntN(12) {
		case 0:
			sim.cancel(fmt.Sprintf("j%d", random.IntN(n+1)))
		case 1:
			sim.replaceOwner()
		case 2, 3:
			ids := slices.Sorted(maps.Keys(sim.workers))
			w := sim.workers[ids[random.IntN(len(ids))]]
			w.unreachable = !w.unreachable
		}
		sim.advance(300 * time.Millisecond)
	}
	return steps
}

// describe returns all actions in the order in which they are to be carried out.
func describe(a Actions) string {
	var b strings.Builder
	for _, s := range a.Starts {
		fmt.Fprintf(&b, "start %s %s %d %v %v\n", s.Worker.ID, s.Task, s.Run, s.LeaseEnd, s.Timeout)
	}
	for _, s := range a.Stops {
		fmt.Fprintf(&b, "stop %s %s %d %d %s\n", s.Worker.ID, s.Task, s.Run, s.Fence, s.Reason)
	}
	for _, p := range a.Polls {
		fmt.Fprintf(&b, "poll %s %d %d %v %v %v\n", p.Worker.ID, p.Fence, p.AckedEnd, p.Deadline, p.Wait, p.Timeout)
	}
	for _, s := range a.Saves {
		fmt.Fprintf(&b, "save %s %d %x\n", s.Job, s.Version, s.Record)
	}
	for _, o := range a.Orders {
		fmt.Fprintf(&b, "order %+v\n", o)
	}
	for _, w := range a.WaveStates {
		fmt.Fprintf(&b, "wave %+v\n", w)
	}
	for _, u := range a.Unresponsive {
		fmt.Fprintf(&b, "unresponsive %+v\n", u)
	}
	fmt.Fprintf(&b, "answered again %v, pools %v\n", a.UnresponsiveEnds, a.PoolUse)
	for _, e := range a.LogEvents {
		fmt.Fprintf(&b, "log %s %s %s %s %d %s %d\n", e.Event, e.Job, e.Task, e.Worker, e.Run, e.Reason, e.AffectedCount)
	}
	return b.String()
}
