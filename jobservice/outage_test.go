package jobservice_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/jobservice"
	"egretdrum.example/kv"
	"egretdrum.example/kvfake"
	"egretdrum.example/ownerlink"
	"egretdrum.example/progress"
	"egretdrum.example/storehealth"
	"egretdrum.example/storekeys"
)

// silenceTime is how long a host without callers needs at most to notice that the store is silent: the
// watch that the fake still answers, the wait of the next one, and the time for its answer.
const silenceTime = 2500 * time.Millisecond

// newGuardedHost returns a host that judges whether the store serves it, and that has made a call. The
// owner, with which it shares the fake, is served unless relay says otherwise.
func newGuardedHost(t *testing.T, relay func(context.Context, kv.Change) (int64, error)) *testHost {
	h := newTestHost(t)
	h.store.SetDelay(4 * time.Millisecond)
	h.observe(relay)
	first := newJob()
	first.ID = "00000000000000aa"
	assertOutcome(t, h.service.Submit(t.Context(), call("k1"), first), jobservice.Accepted)
	return h
}

// observe restarts the host with a health that sees all of its calls.
func (h *testHost) observe(relay func(context.Context, kv.Change) (int64, error)) {
	h.cancel()
	<-h.done
	health := new(storehealth.Health)
	store := health.Observe(h.store.Store())
	h.config.Store, h.service.Store = store, store
	h.service.Health, h.service.Relay = health, relay
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.done = cancel, make(chan struct{})
	probed := make(chan struct{})
	go func() { defer close(probed); h.service.Probe(ctx) }()
	go func() { defer close(h.done); h.config.Run(ctx); <-probed }()
	time.Sleep(100 * time.Millisecond)
}

// relayTo returns a relay to an owner whose connection to the store has no faults.
func relayTo(h **testHost) func(context.Context, kv.Change) (int64, error) {
	return func(ctx context.Context, c kv.Change) (int64, error) {
		var revision int64
		var err error
		(*h).withoutFaults(func() { revision, err = (*h).store.Store().Commit(ctx, c) })
		return revision, err
	}
}

// withoutFaults calls f while the store has no faults.
func (h *testHost) withoutFaults(f func()) {
	h.setFault(kvfake.Answered)
	defer h.setFault(h.fault)
	f()
}

// fail makes all calls of the host fail from now on.
func (h *testHost) fail(fault kvfake.Fault) {
	h.fault = fault
	h.setFault(fault)
}

func (h *testHost) setFault(fault kvfake.Fault) {
	h.store.SetFault(func(string) kvfake.Fault { return fault })
}

func assertSpreadRetry(t *testing.T, a jobservice.Answer) {
	t.Helper()
	qt.Assert(t, a.RetryAfter == time.Second || a.RetryAfter == 2*time.Second, qt.IsTrue, qt.Commentf("%v", a.RetryAfter))
}

func assertStored(t *testing.T, h *testHost) {
	t.Helper()
	qt.Assert(t, h.store.Item(storekeys.Job(jobID)).Revision > 0, qt.IsTrue)
}

// noLink is the relay of a host without a link to an owner.
func noLink(context.Context, kv.Change) (int64, error) {
	return 0, &kv.UnavailableError{NotApplied: true, Cause: errors.New("no link")}
}

// Guards against submissions that are sent to a store that is known to be silent, so that their callers
// learn after almost three seconds that the outcome is unknown; and against a host that goes on to
// refuse when the store answers again.
func TestSubmissionsToSilentStoreAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newGuardedHost(t, noLink)
		defer h.stop()
		h.fail(kvfake.Unanswered)
		time.Sleep(silenceTime)
		started, commits := time.Now(), h.store.Calls("commit")
		seconds := make(map[time.Duration]bool)
		for range 32 {
			a := h.submit("k1")
			assertOutcome(t, a, jobservice.Refused)
			assertSpreadRetry(t, a)
			seconds[a.RetryAfter] = true
		}
		qt.Assert(t, time.Since(started), qt.Equals, time.Duration(0))
		qt.Assert(t, h.store.Calls("commit"), qt.Equals, commits)
		qt.Assert(t, seconds, qt.HasLen, 2)
		assertOutcome(t, h.state(t), jobservice.Refused)
		assertOutcome(t, h.cancelJob(t, "k1"), jobservice.Refused)
		qt.Assert(t, time.Since(started), qt.Equals, time.Duration(0))
		h.fail(kvfake.Answered)
		time.Sleep(800 * time.Millisecond)
		assertOutcome(t, h.submit("k1"), jobservice.Accepted)
	})
}

// Guards against a silence that is noticed only by calls that are repeated until their deadline.
func TestSilenceIsKnownHalfASecondAfterASubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newGuardedHost(t, noLink)
		defer h.stop()
		h.fail(kvfake.Unanswered)
		unanswered := make(chan jobservice.Answer, 1)
		go func() { unanswered <- h.submit("k1") }()
		time.Sleep(650 * time.Millisecond)
		next := newJob()
		next.ID = "00000000000000bb"
		assertOutcome(t, h.service.Submit(t.Context(), call("k1"), next), jobservice.Refused)
		// The write that was sent may still be carried out.
		assertOutcome(t, <-unanswered, jobservice.Unknown)
	})
}

// Guards against submissions that are refused, or reported as unknown, although the owner could have
// stored them: the store turns this host away, or does not answer it.
func TestSubmissionsGoThroughTheOwner(t *testing.T) {
	for name, fault := range map[string]kvfake.Fault{"turned away": kvfake.Refused, "silent": kvfake.Unanswered} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var h *testHost
				h = newGuardedHost(t, relayTo(&h))
				defer h.stop()
				var notified []kv.Item
				h.service.Notify = func(i kv.Item) { notified = append(notified, i) }
				h.fail(fault)
				if fault == kvfake.Unanswered {
					time.Sleep(silenceTime)
				}
				started := time.Now()
				assertOutcome(t, h.submit("k1"), jobservice.Accepted)
				qt.Assert(t, time.Since(started) < 20*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(started)))
				qt.Assert(t, notified, qt.DeepEquals, []kv.Item{h.store.Item(storekeys.Job(jobID))})
				// The caller repeats it, and another one has the same ID.
				assertOutcome(t, h.submit("k1"), jobservice.Accepted)
				assertStored(t, h)
			})
		})
	}
}

// Guards against a job that the store can never take, and whose callers are told to try again.
func TestRejectedSubmissionIsInvalid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relays := 0
		h := newGuardedHost(t, func(context.Context, kv.Change) (int64, error) { relays++; return 0, errors.New("no outcome") })
		defer h.stop()
		h.store.SetMaxValueBytes(1)
		started := time.Now()
		assertOutcome(t, h.submit("k1"), jobservice.Invalid)
		qt.Assert(t, time.Since(started) < 20*time.Millisecond, qt.IsTrue)
		qt.Assert(t, relays, qt.Equals, 0)
		assertNotStored(t, h)
	})
}

// Guards against a withdrawn key that is accepted because the owner commits the submission.
func TestRelayedSubmissionDependsOnTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h *testHost
		h = newGuardedHost(t, relayTo(&h))
		defer h.stop()
		h.fail(kvfake.Refused)
		h.setKeys(t, "k2")
		assertOutcome(t, h.submit("k1"), jobservice.BadKey)
		assertNotStored(t, h)
	})
}

// Guards against a conflict without the newer configuration, which is too large for the link, that is
// repeated until the deadline of the caller.
func TestRelayedConflictWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newGuardedHost(t, func(context.Context, kv.Change) (int64, error) { return 0, &kv.ConflictError{} })
		defer h.stop()
		h.fail(kvfake.Refused)
		started := time.Now()
		assertOutcome(t, h.submit("k1"), jobservice.Refused)
		qt.Assert(t, time.Since(started) < 20*time.Millisecond, qt.IsTrue)
	})
}

// Guards against a refusal, which says that the job never runs, while the owner has sent its write and
// died.
func TestRelayedWriteWithoutOutcomeIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relays := 0
		h := newGuardedHost(t, func(ctx context.Context, c kv.Change) (int64, error) {
			if relays++; relays > 1 {
				return noLink(ctx, c)
			}
			return 0, &kv.UnavailableError{Cause: errors.New("the link ended")}
		})
		defer h.stop()
		h.fail(kvfake.Refused)
		assertOutcome(t, h.submit("k1"), jobservice.Unknown)
	})
}

// Guards against refusals of a store that is slow for a moment, or all the time.
func TestSlowStoreIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newGuardedHost(t, func(context.Context, kv.Change) (int64, error) {
			t.Error("a change was relayed")
			return 0, &kv.UnavailableError{}
		})
		defer h.stop()
		h.store.SetDelay(330 * time.Millisecond)
		assertOutcome(t, h.submit("k1"), jobservice.Accepted)
		assertStored(t, h)
		h.store.SetDelay(4 * time.Millisecond)
		assertOutcome(t, h.submit("k1"), jobservice.Accepted)
	})
}

// Guards against a host that changes its behaviour although the setting says that it must not.
func TestRelayIsSwitchedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h *testHost
		h = newGuardedHost(t, relayTo(&h))
		defer h.stop()
		h.service.RelayEnabled = func() bool { return false }
		h.fail(kvfake.Refused)
		assertOutcome(t, h.submit("k1"), jobservice.Refused)
		assertNotStored(t, h)
		h.fail(kvfake.Unanswered)
		time.Sleep(silenceTime)
		assertOutcome(t, h.submit("k1"), jobservice.Unknown)
	})
}

// Guards against a cancellation that waits for the store although the owner knows the job and is served.
func TestCancellationGoesThroughTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h *testHost
		h = newGuardedHost(t, relayTo(&h))
		defer h.stop()
		assertOutcome(t, h.submit("k1"), jobservice.Accepted)
		h.service.QueryState = func(context.Context, string) (ownerlink.Answer, bool) {
			return ownerlink.Answer{Known: true, State: progress.Running, Queue: "rounds", Account: "arbiters"}, true
		}
		h.fail(kvfake.Unanswered)
		time.Sleep(silenceTime)
		started := time.Now()
		for range 2 {
			assertOutcome(t, h.cancelJob(t, "k1"), jobservice.Accepted)
		}
		qt.Assert(t, time.Since(started) < 20*time.Millisecond, qt.IsTrue)
		qt.Assert(t, h.store.Item(storekeys.Cancel(jobID)).Revision > 0, qt.IsTrue)
	})
}
