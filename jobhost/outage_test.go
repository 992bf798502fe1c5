package jobhost_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/dispatch"
	"egretdrum.example/job"
	"egretdrum.example/kvfake"
	"egretdrum.example/scheduler"
	"egretdrum.example/storekeys"
	"egretdrum.example/worker"
)

// configWithin is the time after which a new configuration has to be in force.
const configWithin = 5 * time.Second

// outageJobs have more tasks than the workers have room for.
const outageJobs = 8

// silence makes the store leave all calls unanswered, and returns when it began.
func (c *testCluster) silence() time.Time {
	c.store.SetFault(func(string) kvfake.Fault { return kvfake.Unanswered })
	return time.Now()
}

// submitAll submits jobs with more tasks than the workers have room for.
func (c *testCluster) submitAll() {
	for range outageJobs {
		c.submit()
	}
	time.Sleep(100 * time.Millisecond)
}

// assertRanOnce asserts that all jobs have succeeded, each task after one run, and that no promise was
// broken.
func (c *testCluster) assertRanOnce() {
	c.t.Helper()
	qt.Check(c.t, c.succeeded(c.jobs), qt.IsTrue)
	for task, n := range c.fleet.Runs() {
		qt.Check(c.t, n, qt.Equals, 1, qt.Commentf("%v", task))
	}
	qt.Check(c.t, c.fleet.Violations(), qt.HasLen, 0)
}

// startsBetween counts the tasks that were started in a span of time.
func (c *testCluster) startsBetween(from, to time.Time) int {
	n := 0
	for _, s := range c.fleet.Starts() {
		if s.At.After(from) && s.At.Before(to) {
			n++
		}
	}
	return n
}

// termOver is when a term without further rights is over, after the last confirmation of its lease.
const termOver = 1200 * time.Millisecond

func (c *testCluster) stop() {
	for _, h := range c.hosts {
		if h != nil {
			h.kill()
		}
	}
}

// Guards against tasks that wait, and runs that lapse, because the store is silent for longer than the
// lease of the owner lasts.
func TestTasksGoOnWhileStoreIsSilent(t *testing.T) {
	for name, pause := range map[string]bool{"lease ends": false, "leases are paused": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startTestCluster(t, &testCluster{configWithin: configWithin})
				defer c.stop()
				c.submitAll()
				term := c.store.Item(storekeys.Owner).Revision
				if pause {
					c.store.PauseLeases(true)
				}
				began := c.silence()
				time.Sleep(storeDownTime)
				c.store.SetFault(nil)
				if pause {
					c.store.PauseLeases(false)
				}
				qt.Check(t, c.startsBetween(began.Add(termOver), time.Now()) > 0, qt.IsTrue)
				time.Sleep(10 * time.Second)
				c.assertRanOnce()
				qt.Check(t, c.store.Item(storekeys.Owner).Revision == term, qt.Equals, pause)
			})
		})
	}
}

// Guards against a fleet whose new jobs wait because the owner, whose renewals are carried out but not
// answered, keeps the lease without being sure of it.
func TestOwnerWithoutAnswersGivesUpLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startTestCluster(t, &testCluster{configWithin: configWithin})
		defer c.stop()
		c.submitAll()
		term := c.store.Item(storekeys.Owner).Revision
		began := time.Now()
		c.store.SetFault(func(call string) kvfake.Fault {
			if call == "renew" && time.Since(began) < storeDownTime {
				return kvfake.ResponseLost
			}
			return kvfake.Answered
		})
		time.Sleep(termOver)
		c.submit()
		time.Sleep(time.Second)
		qt.Check(t, c.store.Item(storekeys.Owner).Revision > term, qt.IsTrue)
		time.Sleep(10 * time.Second)
		c.assertRanOnce()
	})
}

// Guards against an owner that goes on although the setting is missing.
func TestTermEndsWithLeaseWithoutSetting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t)
		defer c.stop()
		c.submitAll()
		began := c.silence()
		time.Sleep(storeDownTime)
		qt.Assert(t, c.startsBetween(began.Add(termOver), time.Now()), qt.Equals, 0)
		c.store.SetFault(nil)
		time.Sleep(10 * time.Second)
		qt.Assert(t, c.succeeded(c.jobs), qt.IsTrue)
	})
}

// observer notes the calls of one host, and lets it or the others reach only some workers.
type observer struct {
	host int
	// mayReach reports whether the host reaches a worker; nil means that all are reached.
	mayReach func(observed bool, id string) bool

	mu sync.Mutex
	// lastCall is the last call of the host, refused its first call that a worker refused.
	lastCall, refused time.Time
}

func (o *observer) reaches(host int, id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if host == o.host {
		o.lastCall = time.Now()
	}
	return o.mayReach == nil || o.mayReach(host == o.host, id)
}

func (o *observer) note(host int, refused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if refused && host == o.host && o.refused.IsZero() {
		o.refused = time.Now()
	}
}

// observe changes the calls of a host.
func (o *observer) observe(host int, c dispatch.Calls) dispatch.Calls {
	start, poll := c.Start, c.Poll
	c.Start = func(ctx context.Context, a scheduler.Start) scheduler.StartAnswer {
		if !o.reaches(host, a.Worker.ID) {
			return scheduler.StartAnswer{Result: scheduler.StartUnanswered}
		}
		answer := start(ctx, a)
		o.note(host, answer.Result == scheduler.StartFenced)
		return answer
	}
	c.Poll = func(ctx context.Context, a scheduler.Poll) (*worker.Listing, bool, error) {
		if !o.reaches(host, a.Worker.ID) {
			<-ctx.Done()
			return nil, false, ctx.Err()
		}
		l, other, err := poll(ctx, a)
		o.note(host, err != nil && ctx.Err() == nil)
		return l, other, err
	}
	return c
}

// Guards against two owners that both go on: one that is cut off from the store has to stop when a
// worker refuses its call, and each task runs once.
func TestOwnerCutOffFromStoreStopsAtFirstRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &observer{host: -1}
		c := startTestCluster(t, &testCluster{configWithin: configWithin, calls: o.observe})
		defer c.stop()
		c.submitAll()
		former := c.owner()
		o.host = former
		c.hosts[former].disconnect()
		time.Sleep(10 * time.Second)
		qt.Check(t, c.owner() != former, qt.IsTrue)
		qt.Check(t, o.refused.IsZero(), qt.IsFalse)
		qt.Check(t, o.lastCall.Sub(o.refused) < 50*time.Millisecond, qt.IsTrue, qt.Commentf("called %v after the refusal", o.lastCall.Sub(o.refused)))
		c.assertRanOnce()
	})
}

// Guards against a task that runs twice because its worker answers only the former owner, which goes
// on extending its lease.
func TestWorkerReachedOnlyByFormerOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &observer{host: -1}
		c := startTestCluster(t, &testCluster{configWithin: configWithin, calls: o.observe})
		defer c.stop()
		c.submitLasting()
		former, own := c.owner(), c.fleet.Starts()[0].Worker
		o.host = former
		o.mayReach = func(observed bool, id string) bool { return observed == (id == own) }
		c.hosts[former].disconnect()
		cut := time.Now()
		time.Sleep(30 * time.Second)
		qt.Check(t, c.fleet.Violations(), qt.HasLen, 0)
		starts := c.fleet.Starts()
		qt.Check(t, starts, qt.HasLen, 2)
		// The worker kept its run until the former owner had to stop.
		qt.Check(t, starts[1].At.Sub(cut) > scheduler.DefaultLimits().MaxLease, qt.IsTrue)
		qt.Check(t, o.lastCall.Sub(cut) < scheduler.DefaultLimits().MaxLease, qt.IsTrue)
	})
}

// Guards against runs that are lost because the owner is killed while it has no confirmed lease.
func TestOwnerKilledWhileStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startTestCluster(t, &testCluster{configWithin: configWithin})
		defer c.stop()
		c.submitAll()
		owner := c.owner()
		c.silence()
		time.Sleep(2 * time.Second)
		c.hosts[owner].kill()
		c.hosts[owner] = nil
		time.Sleep(storeDownTime - 2*time.Second)
		c.store.SetFault(nil)
		time.Sleep(10 * time.Second)
		c.assertRanOnce()
	})
}

// submitLasting submits a job with one task that lasts for longer than any lease.
func (c *testCluster) submitLasting() {
	c.submitJob(&job.Job{Steps: []job.Step{{Count: 1, Need: lastingNeed, LongRunning: true}}})
	time.Sleep(100 * time.Millisecond)
}
