package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/resource"
)

// Pattern: a network or workers that lose answers, each worker one at a time. Guards against copies
// of all speculative tasks of a worker after each lost answer, which take the room of other tasks.
func TestLostAnswersDoNotCopyTasks(t *testing.T) {
	sim := newSimulation(6)
	sim.catalog.Accounts["arbiters"].Limit = resource.Amount{}
	lastLost := sim.now
	sim.callFault = func(kind string) callOutcome {
		// The worker has answered again before the next loss.
		if kind != "poll" || sim.now.Sub(lastLost) < 200*time.Millisecond {
			return answered
		}
		lastLost = sim.now
		return responseLost
	}
	submit := func(name string) {
		for n := range 50 {
			sim.submit(fmt.Sprint(name, n), job.Step{Count: 3, Need: small, Speculative: true})
			sim.run(100 * time.Millisecond)
		}
		sim.run(2 * time.Second)
	}
	// The owner has to see first that answers are lost.
	submit("a")
	qt.Assert(t, sim.core.answers.lostShare > lossyShare, qt.IsTrue, qt.Commentf("%f", sim.core.answers.lostShare))
	before := sim.starts
	submit("b")
	qt.Assert(t, sim.starts-before, qt.Equals, 150)
}
