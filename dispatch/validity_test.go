package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"egretdrum.example/election"
	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/scheduler"
	"egretdrum.example/storekeys"
)

// startLateRenewal runs a new owner whose term is not valid while late is set, as between the
// expiry of its lease and the answer to a renewal that the store has carried out in time.
func (c *testCluster) startLateRenewal(stop func(scheduler.Stop)) (late *atomic.Bool, kill func()) {
	late = new(atomic.Bool)
	now := func() time.Duration {
		if late.Load() {
			return 2 * time.Hour
		}
		return 0
	}
	o := c.newOwner()
	core, logs := observer.New(zap.WarnLevel)
	o.Log, c.warnings = zap.New(core), logs
	o.Calls.Stop = func(_ context.Context, a scheduler.Stop) scheduler.StopAnswer {
		stop(a)
		return scheduler.StopAnswer{Result: scheduler.StopAccepted}
	}
	term := election.NewTerm(c.store.Put(storekeys.Owner, nil), now, time.Hour)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); o.Run(ctx, term) }()
	return late, func() { cancel(); <-done }
}

// renewalDelay is how late the renewal is.
const renewalDelay = 60 * time.Millisecond

// Guards against a stop that is lost because it was due while the renewal of the term was late:
// the run of a cancelled job went on, as later polls extended its lease.
func TestStopDuringLateRenewalIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.close()
		var stops atomic.Int64
		late, kill := c.startLateRenewal(func(scheduler.Stop) { stops.Add(1) })
		defer kill()
		time.Sleep(time.Second)
		c.submit(t, "a", job.Step{Count: 1, Need: taskNeed, LongRunning: true})
		time.Sleep(taskDuration / 4)
		late.Store(true)
		c.store.Put(storekeys.Cancel("a"), nil)
		time.Sleep(renewalDelay)
		late.Store(false)
		time.Sleep(2 * time.Second)
		qt.Assert(t, stops.Load() > 0, qt.IsTrue, qt.Commentf("the worker was never told to stop the run"))
	})
}

// Guards against a worker that is never polled again because its poll was due while the renewal of
// the term was late: its lease ends, and its tasks are run again.
func TestPollDuringLateRenewalIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.close()
		late, kill := c.startLateRenewal(func(scheduler.Stop) {})
		defer kill()
		time.Sleep(time.Second)
		c.submit(t, "a", job.Step{Count: 1, Need: taskNeed})
		time.Sleep(taskDuration - renewalDelay)
		late.Store(true)
		time.Sleep(3 * renewalDelay)
		late.Store(false)
		c.submit(t, "b", job.Step{Count: 1, Need: taskNeed})
		time.Sleep(2 * time.Second)
		assertStored(t, c, "b", progress.Succeeded)
	})
}

// Guards against a log line and a timer of its own for each of the many calls that are due while the
// renewal of the term is late.
func TestCallsDuringLateRenewalShareOneWarning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 4
		c := newCluster(t, 1)
		defer c.close()
		var stops atomic.Int64
		late, kill := c.startLateRenewal(func(scheduler.Stop) { stops.Add(1) })
		defer kill()
		time.Sleep(time.Second)
		c.submit(t, "a", job.Step{Count: tasks, Need: taskNeed, LongRunning: true})
		time.Sleep(taskDuration / 4)
		late.Store(true)
		c.store.Put(storekeys.Cancel("a"), nil)
		time.Sleep(renewalDelay)
		late.Store(false)
		time.Sleep(2 * time.Second)
		qt.Assert(t, stops.Load() >= tasks, qt.IsTrue, qt.Commentf("%d stops", stops.Load()))
		qt.Assert(t, c.warnings.FilterMessage("call-delayed").Len(), qt.Equals, 1)
	})
}
