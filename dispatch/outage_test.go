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
	"egretdrum.example/worker"
)

// outage runs an owner whose lease is never renewed, while the store goes on answering.
type outage struct {
	*testCluster
	owner *Owner
	// term is that of the owner, whose field belongs to its loop.
	term *election.Term
	logs *observer.ObservedLogs
	// confirmed is set to turn the clock of the term back to its start, as a renewal would.
	confirmed atomic.Bool
	kill      func()
}

const (
	// leaseLeft is the lease that the term has at its start.
	leaseLeft = 1500 * time.Millisecond
	// pollsFor and startsFor are how long polls and starts go on.
	pollsFor, startsFor = 7 * time.Second, 4700 * time.Millisecond
)

func startOutage(t *testing.T, change func(*Owner)) *outage {
	u := &outage{testCluster: newCluster(t, 1)}
	core, logs := observer.New(zap.InfoLevel)
	u.owner, u.logs = u.newOwner(), logs
	u.owner.Log = zap.New(core)
	u.owner.ConfigWithin = func() time.Duration { return startsFor + startMargin }
	if change != nil {
		change(u.owner)
	}
	now := func() time.Duration {
		if u.confirmed.Load() {
			return 0
		}
		return u.now()
	}
	term := election.NewTerm(u.store.Put(storekeys.Owner, nil), now, now()+leaseLeft)
	term.SetContinuation(pollsFor, leaseLeft+startsFor)
	u.term = term
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); u.owner.Run(ctx, term) }()
	u.kill = func() { cancel(); <-done }
	time.Sleep(time.Second)
	return u
}

// begin waits until the lease has ended.
func (u *outage) begin() {
	for u.term.Valid() {
		time.Sleep(tickInterval)
	}
	time.Sleep(2 * tickInterval)
}

func (u *outage) close() { u.kill(); u.testCluster.close() }

func (u *outage) started(task job.Task) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.starts[task] > 0
}

// Guards against a start of a job that arrived after the lease ended, which a successor starts at once,
// over a link or by the watch; and against its loss if the lease is confirmed later.
func TestLateJobWaitsForTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := startOutage(t, nil)
		defer u.close()
		u.submit(t, "a", job.Step{Count: 6, Need: taskNeed})
		time.Sleep(100 * time.Millisecond)
		u.begin()
		u.submit(t, "b", job.Step{Count: 1, Need: taskNeed})
		u.owner.Notify(u.store.Item(storekeys.Job("b")))
		time.Sleep(3 * taskDuration)
		qt.Check(t, u.started(job.Task{Job: "a", Index: 5}), qt.IsTrue)
		qt.Check(t, u.started(job.Task{Job: "b"}), qt.IsFalse)
		u.confirmed.Store(true)
		time.Sleep(time.Second)
		assertStored(t, u.testCluster, "a", progress.Succeeded)
		assertStored(t, u.testCluster, "b", progress.Succeeded)
		qt.Check(t, u.logs.FilterMessage("owner-restricted").Len(), qt.Equals, 2)
	})
}

// Guards against an owner on a slow host that keeps the ownership while others could serve the fleet.
func TestOwnerThatLagsDoesNotGoOn(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		ended string
	}{"keeps up": {lagThreshold / 2, ""}, "lags": {lagThreshold + tickInterval, "the owner lags"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := startOutage(t, nil)
				defer u.close()
				u.begin()
				u.owner.linkTerm.Load().events <- event{time.Now().Add(-c.delay), func(time.Time) {}}
				time.Sleep(2 * tickInterval)
				qt.Check(t, u.term.EndReason(), qt.Equals, c.ended)
			})
		})
	}
}

// Guards against writes of an owner whose lease is not confirmed.
func TestNothingIsStoredWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := startOutage(t, nil)
		defer u.close()
		u.submit(t, "a", job.Step{Count: 2, Need: taskNeed})
		time.Sleep(100 * time.Millisecond)
		u.begin()
		before := u.store.Calls("commit")
		time.Sleep(2 * time.Second)
		qt.Check(t, u.store.Calls("commit"), qt.Equals, before)
	})
}

// Guards against starts and polls after their limits, and against those of a host that was frozen
// meanwhile: its clock counts the suspension.
func TestCallsEndWithTheirLimits(t *testing.T) {
	for name, frozen := range map[string]time.Duration{"time passes": 0, "host is frozen": 20 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var polls atomic.Int64
				u := startOutage(t, func(o *Owner) {
					poll := o.Calls.Poll
					o.Calls.Poll = func(ctx context.Context, a scheduler.Poll) (*worker.Listing, bool, error) {
						polls.Add(1)
						return poll(ctx, a)
					}
				})
				defer u.close()
				u.submit(t, "a", job.Step{Count: 100, Need: taskNeed})
				time.Sleep(100 * time.Millisecond)
				u.begin()
				if frozen > 0 {
					u.suspended.Store(int64(frozen))
				} else {
					time.Sleep(pollsFor + time.Second)
				}
				pollsBefore, startsBefore := polls.Load(), len(u.starts)
				time.Sleep(5 * time.Second)
				qt.Check(t, polls.Load(), qt.Equals, pollsBefore)
				u.mu.Lock()
				qt.Check(t, u.starts, qt.HasLen, startsBefore)
				u.mu.Unlock()
			})
		})
	}
}

// Guards against an owner that goes on after a worker has refused a call because of a later owner.
func TestRefusedCallEndsTheTerm(t *testing.T) {
	for name, refuse := range map[string]func(*Calls, *atomic.Bool){
		"poll": func(c *Calls, refused *atomic.Bool) {
			poll := c.Poll
			c.Poll = func(ctx context.Context, a scheduler.Poll) (*worker.Listing, bool, error) {
				if refused.Load() {
					return nil, false, scheduler.ErrFenced
				}
				return poll(ctx, a)
			}
		},
		"start": func(c *Calls, refused *atomic.Bool) {
			start := c.Start
			c.Start = func(ctx context.Context, a scheduler.Start) scheduler.StartAnswer {
				if refused.Load() {
					return scheduler.StartAnswer{Result: scheduler.StartFenced}
				}
				return start(ctx, a)
			}
		},
		"stop": func(c *Calls, refused *atomic.Bool) {
			c.Stop = func(context.Context, scheduler.Stop) scheduler.StopAnswer {
				if !refused.Load() {
					return scheduler.StopAnswer{}
				}
				return scheduler.StopAnswer{Result: scheduler.StopFenced}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var refused atomic.Bool
				u := startOutage(t, func(o *Owner) { refuse(&o.Calls, &refused) })
				defer u.close()
				u.submit(t, "a", job.Step{Count: 8, Need: taskNeed})
				time.Sleep(taskDuration / 2)
				u.begin()
				refused.Store(true)
				if name == "stop" {
					u.store.Put(storekeys.Cancel("a"), nil)
				}
				time.Sleep(time.Second)
				qt.Check(t, u.logs.FilterMessage("owner-outranked").Len(), qt.Equals, 1)
			})
		})
	}
}

// Guards against an answer to a call of an ended term that reaches the scheduler of the next term of the
// same host, which would take it for the answer to a poll of its own.
func TestNextTermWaitsForCallsOfTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var held atomic.Bool
		var polls atomic.Int64
		release := make(chan struct{})
		u := startOutage(t, func(o *Owner) {
			poll := o.Calls.Poll
			o.Calls.Poll = func(ctx context.Context, a scheduler.Poll) (*worker.Listing, bool, error) {
				polls.Add(1)
				if held.Load() {
					<-release
				}
				return poll(ctx, a)
			}
		})
		defer u.close()
		held.Store(true)
		u.submit(t, "a", job.Step{Count: 1, Need: taskNeed})
		time.Sleep(taskDuration / 2)
		u.kill()
		held.Store(false)
		before := polls.Load()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		term := election.NewTerm(u.store.Put(storekeys.Owner, nil), u.now, u.now()+time.Hour)
		go func() { defer close(done); u.owner.Run(ctx, term) }()
		time.Sleep(time.Second)
		qt.Check(t, polls.Load(), qt.Equals, before)
		close(release)
		time.Sleep(time.Second)
		qt.Check(t, polls.Load() > before, qt.IsTrue)
		cancel()
		<-done
	})
}

// Guards against log lines and counts of an outage for a term that ends at once: its lease is lost, or
// it may not go on without one.
func TestTermThatEndsAtOnceIsNotRestricted(t *testing.T) {
	for name, end := range map[string]func(*outage){
		"lease lost":    func(u *outage) { u.term.End("the store has ended the lease") },
		"may not go on": func(u *outage) { u.term.SetContinuation(0, 0); u.begin() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := startOutage(t, nil)
				defer u.testCluster.close()
				end(u)
				time.Sleep(2 * tickInterval)
				u.kill()
				qt.Check(t, u.logs.FilterMessage("owner-restricted").Len(), qt.Equals, 0)
			})
		})
	}
}
