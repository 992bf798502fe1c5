package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/worker"
)

// newStops returns a simulation whose owner has told a worker to stop three runs, and these stops,
// which are not delivered.
func newStops(t *testing.T) (*simulation, []Stop) {
	sim := newSimulation(1)
	sim.run(100 * time.Millisecond)
	sim.submit("a", job.Step{Count: 3, Need: small, LongRunning: true})
	sim.run(300 * time.Millisecond)
	qt.Assert(t, sim.workers["w0"].runs, qt.HasLen, 3)
	sim.core.Cancel("a", sim.now)
	stops := sim.core.TakeActions().Stops
	qt.Assert(t, stops, qt.HasLen, 3)
	for i := range stops {
		qt.Assert(t, stops[i].Claim(), qt.IsTrue)
	}
	return sim, stops
}

// Guards against stops that a worker has refused, or that never reached it, and that count as unanswered:
// each raised the fencing token, so that stops on their way were refused, and the worker got no tasks.
func TestFailedStopsLeaveFencingToken(t *testing.T) {
	for name, c := range map[string]struct {
		result StopResult
		raises int64
	}{
		"not sent": {StopNotSent, 0}, "rejected": {StopRejected, 0}, "unanswered": {StopUnanswered, 1},
	} {
		t.Run(name, func(t *testing.T) {
			sim, stops := newStops(t)
			w := sim.core.workers["w0"]
			fence := w.fence
			for _, a := range stops {
				sim.core.StopAnswered(a, StopAnswer{Result: c.result}, sim.now)
			}
			qt.Check(t, w.fence, qt.Equals, fence+c.raises)
			qt.Check(t, sim.core.usable(w), qt.Equals, c.raises == 0)
			repeated := sim.core.TakeActions().Stops
			qt.Assert(t, repeated, qt.HasLen, 3)
			for i := range repeated {
				qt.Check(t, repeated[i].Claim(), qt.IsTrue)
				qt.Check(t, repeated[i].Fence, qt.Equals, w.fence)
			}
		})
	}
}

// Guards against a stop that was overtaken by a call with a newer token of the same owner, and that
// raises the token again.
func TestOvertakenStopLeavesFencingToken(t *testing.T) {
	sim, stops := newStops(t)
	w := sim.core.workers["w0"]
	sim.core.StopAnswered(stops[0], StopAnswer{Result: StopUnanswered}, sim.now)
	fence := w.fence
	sim.core.StopAnswered(stops[1], StopAnswer{Result: StopFenced}, sim.now)
	sim.core.StopAnswered(stops[2], StopAnswer{Result: StopUnanswered}, sim.now)
	qt.Check(t, w.fence, qt.Equals, fence)
	qt.Assert(t, sim.core.TakeActions().Stops, qt.HasLen, 3)
}

// Guards against a stop that is sent after its run has ended: those of a dead worker would hold up
// later ones.
func TestStopOfEndedRunIsWithdrawn(t *testing.T) {
	sim := newSimulation(1)
	sim.run(100 * time.Millisecond)
	sim.submit("a", job.Step{Count: 1, Need: small, LongRunning: true})
	sim.run(300 * time.Millisecond)
	sim.core.Cancel("a", sim.now)
	stop := sim.core.TakeActions().Stops[0]
	sim.core.drop(sim.core.workers["w0"].runs[stop.Task], "lease ended")
	qt.Assert(t, stop.Claim(), qt.IsFalse)
	sim.core.StopAnswered(stop, StopAnswer{Result: StopNotSent}, sim.now)
	qt.Check(t, sim.core.TakeActions().Stops, qt.HasLen, 0)
	qt.Check(t, sim.core.workers["w0"].stops, qt.HasLen, 0)
}

// Guards against a worker that is told at each listing to stop the same runs of an unknown job, although
// the stops before are on their way: thousands of them would take all of its connections.
func TestStopOfUnknownRunIsNotRepeatedOnItsWay(t *testing.T) {
	sim := newSimulation(1)
	sim.run(100 * time.Millisecond)
	w := sim.core.workers["w0"]
	unknown := worker.Run{Task: job.Task{Job: "unknown"}, Run: 7}
	listing := &worker.Listing{Incarnation: 1, Running: []worker.Run{unknown}}
	for range 3 {
		sim.core.applyListing(w, listing)
	}
	stops := sim.core.TakeActions().Stops
	qt.Assert(t, stops, qt.HasLen, 1)
	sim.core.StopAnswered(stops[0], StopAnswer{Result: StopUnanswered}, sim.now)
	sim.core.applyListing(w, listing)
	qt.Assert(t, sim.core.TakeActions().Stops, qt.HasLen, 1)
}
