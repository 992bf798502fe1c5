package jobservice_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"egretdrum.example/catalog"
	"egretdrum.example/jobservice"
	"egretdrum.example/kv"
	"egretdrum.example/kvfake"
	"egretdrum.example/storekeys"
)

// lateWrites is the store of a host whose changes are not answered, and are carried out later if their
// conditions still hold.
type lateWrites struct {
	store *kvfake.Fake
	late  []kv.Change
}

func (l *lateWrites) commit(ctx context.Context, c kv.Change) (int64, error) {
	l.late = append(l.late, c)
	<-ctx.Done()
	return 0, &kv.UnavailableError{Cause: ctx.Err()}
}

func (l *lateWrites) carryOut(t *testing.T) {
	t.Helper()
	qt.Assert(t, len(l.late) > 0, qt.IsTrue)
	for _, c := range l.late {
		if _, err := l.store.Store().Commit(t.Context(), c); err != nil {
			t.Logf("late change: %v", err)
		}
	}
}

// otherHost returns the job service of another host with the given store.
func (h *testHost) otherHost(store kv.Store) *jobservice.Service {
	return &jobservice.Service{Store: store, Subscription: h.config, RevokeWithin: h.service.RevokeWithin, Log: zap.NewNop(), Meter: h.service.Meter}
}

func (h *testHost) cancelJob(t *testing.T, key string) jobservice.Answer {
	t.Helper()
	target, refused := h.service.Resolve(call(key))
	qt.Assert(t, target, qt.IsNotNil, qt.Commentf("%v", refused))
	return h.service.Cancel(t.Context(), call(key), target)
}

func assertNotStored(t *testing.T, h *testHost) {
	t.Helper()
	qt.Assert(t, h.store.Item(storekeys.Job(jobID)).Revision, qt.Equals, int64(0))
}

// Guards against a job that is stored, and runs, after its cancellation was answered with the statement
// that there is no such job: the write of its submission was carried out late.
func TestLateSubmissionAfterCancellationIsNotStored(t *testing.T) {
	for name, cancelAfter := range map[string]time.Duration{"submission given up": 3 * time.Second, "submission in progress": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newTestHost(t)
				defer h.stop()
				l := &lateWrites{store: h.store}
				store := h.store.Store()
				store.Commit = l.commit
				slow := h.otherHost(store)
				answered := make(chan jobservice.Answer, 1)
				go func() { answered <- slow.Submit(t.Context(), call("k1"), newJob()) }()
				time.Sleep(cancelAfter)
				assertOutcome(t, h.cancelJob(t, "k1"), jobservice.NoJob)
				assertOutcome(t, <-answered, jobservice.Unknown)
				l.carryOut(t)
				assertNotStored(t, h)
				assertOutcome(t, h.state(t), jobservice.NoJob)
			})
		})
	}
}

// Guards against a submission that goes on at its host, with attempts after the cancellation of the
// job was answered.
func TestSubmissionInProgressEndsWithItsCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(t)
		defer h.stop()
		store := h.store.Store()
		commit, calls := store.Commit, 0
		store.Commit = func(ctx context.Context, c kv.Change) (int64, error) {
			if calls++; calls == 1 {
				<-ctx.Done()
				return 0, &kv.UnavailableError{Cause: ctx.Err()}
			}
			return commit(ctx, c)
		}
		answered := make(chan jobservice.Answer, 1)
		go func() { answered <- h.otherHost(store).Submit(t.Context(), call("k1"), newJob()) }()
		synctest.Wait()
		assertOutcome(t, h.cancelJob(t, "k1"), jobservice.NoJob)
		a := <-answered
		assertOutcome(t, a, jobservice.Refused)
		qt.Assert(t, a.RetryAfter, qt.Equals, time.Duration(0))
		assertNotStored(t, h)
	})
}

// Guards against a repeated submission that arrives after the cancellation and runs, and against a
// refusal with a retry delay, as no retry can succeed.
func TestSubmissionAfterCancellationIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(t)
		defer h.stop()
		for range 2 {
			assertOutcome(t, h.cancelJob(t, "k1"), jobservice.NoJob)
		}
		time.Sleep(time.Minute)
		a := h.submit("k1")
		assertOutcome(t, a, jobservice.Refused)
		qt.Assert(t, a.RetryAfter, qt.Equals, time.Duration(0))
		assertNotStored(t, h)
		time.Sleep(4 * time.Minute)
		assertOutcome(t, h.submit("k1"), jobservice.Accepted)
	})
}

// Guards against a cancellation that is answered with the statement that there is no such job although
// nothing that says so was stored.
func TestCancellationWithoutMarkIsNotAnswered(t *testing.T) {
	for name, fault := range map[string]kvfake.Fault{"refused": kvfake.Refused, "not carried out": kvfake.RequestLost, "not answered": kvfake.Unanswered} {
		for _, faulty := range []string{"commit", "grant"} {
			t.Run(name+"/"+faulty, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newTestHost(t)
					defer h.stop()
					h.store.SetFault(func(name string) kvfake.Fault {
						if name == faulty {
							return fault
						}
						return kvfake.Answered
					})
					assertOutcome(t, h.cancelJob(t, "k1"), jobservice.Unknown)
				})
			})
		}
	}
}

// Guards against a mark of one account that keeps another one from submitting a job, or that cancels
// its job.
func TestMarkOfAnotherAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(t)
		defer h.stop()
		target, _ := h.service.Resolve(call("k1"))
		others := *target
		others.Account = "others"
		assertOutcome(t, h.service.Cancel(t.Context(), call("k1"), &others), jobservice.NoJob)
		assertOutcome(t, h.submit("k1"), jobservice.Accepted)
		qt.Assert(t, h.store.Item(storekeys.Cancel(jobID)).Revision, qt.Equals, int64(0))
		assertOutcome(t, h.service.Cancel(t.Context(), call("k1"), &others), jobservice.NoJob)
		qt.Assert(t, h.store.Item(storekeys.Cancel(jobID)).Revision, qt.Equals, int64(0))
		others.Queue = &catalog.Queue{Name: "others"}
		assertOutcome(t, h.service.Cancel(t.Context(), call("k1"), &others), jobservice.NoJob)
		assertOutcome(t, h.cancelJob(t, "k1"), jobservice.Accepted)
	})
}

// Guards against a mark that ends early, as the host was suspended after it had granted the lease.
func TestMarkOfResumedHostLasts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(t)
		defer h.stop()
		assertOutcome(t, h.cancelJob(t, "k1"), jobservice.NoJob)
		qt.Assert(t, h.store.Calls("grant"), qt.Equals, 1)
		h.suspended.Store(int64(3 * time.Minute))
		time.Sleep(2 * time.Second) // until the store has confirmed the keys again
		assertOutcome(t, h.cancelJob(t, "k1"), jobservice.NoJob)
		qt.Assert(t, h.store.Calls("grant"), qt.Equals, 2)
	})
}

// Pattern: callers give up and cancel a thousand jobs that were never stored, at one host. Guards
// against a write for each of them, and against more writes than the host's part of the store's limit.
func TestManyCancellationsOfUnknownJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(t)
		defer h.stop()
		h.store.SetDelay(4 * time.Millisecond)
		started := time.Now()
		const count = 1000
		answers := make([]jobservice.Answer, count)
		var wait sync.WaitGroup
		for n := range answers {
			wait.Go(func() {
				c := &jobservice.Call{Host: "chess.example", Path: fmt.Sprintf("/rounds/%016x", n), Key: "k1", Timeout: 10 * time.Second, Received: time.Now()}
				target, _ := h.service.Resolve(c)
				answers[n] = h.service.Cancel(t.Context(), c, target)
			})
		}
		wait.Wait()
		for _, a := range answers {
			assertOutcome(t, a, jobservice.NoJob)
		}
		writes := h.store.Calls("commit") + h.store.Calls("grant")
		// Full changes, that of the first call alone, and the lease.
		qt.Assert(t, writes <= count/16+1+2, qt.IsTrue, qt.Commentf("%d writes", writes))
		qt.Assert(t, time.Since(started) >= time.Duration(writes-3)*50*time.Millisecond, qt.IsTrue, qt.Commentf("%d writes in %v", writes, time.Since(started)))
	})
}
