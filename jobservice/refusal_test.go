package jobservice_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/cancellation"
	"egretdrum.example/job"
	"egretdrum.example/jobservice"
	"egretdrum.example/kv"
	"egretdrum.example/ownerlink"
	"egretdrum.example/storekeys"
)

// forecaster stands for the owner: it says whether the pool is short of room and answers queries.
type forecaster struct {
	short, silent bool
	forecast      ownerlink.Forecast
	asked         int
}

func (f *forecaster) answer(context.Context, []byte) (ownerlink.Forecast, bool) {
	f.asked++
	if f.silent {
		time.Sleep(50 * time.Millisecond)
		return ownerlink.Forecast{}, false
	}
	return f.forecast, true
}

// shortPool returns a forecaster that says that no job would be of use.
func shortPool() *forecaster {
	return &forecaster{short: true, forecast: ownerlink.Forecast{Refuse: true, DoneIn: 20 * time.Second, Objective: 2 * time.Second, RoomIn: 3500 * time.Millisecond}}
}

func (f *forecaster) connect(s *jobservice.Service) *jobservice.Service {
	s.Short, s.Forecast = func(pool string) bool { return f.short && pool == "desk" }, f.answer
	return s
}

// assertRefusedForRoom checks that a job was refused until room is expected.
func assertRefusedForRoom(t *testing.T, h *testHost, a jobservice.Answer) {
	t.Helper()
	assertOutcome(t, a, jobservice.Refused)
	qt.Assert(t, a.RetryAfter >= 4*time.Second && a.RetryAfter <= 7*time.Second && a.RetryAfter%time.Second == 0, qt.IsTrue, qt.Commentf("%v", a.RetryAfter))
	assertNotStored(t, h)
	qt.Assert(t, cancellation.Refuses(h.store.Item(storekeys.Cancel(jobID)).Value, "rounds", "arbiters"), qt.IsTrue)
}

// Guards against jobs that are refused, or accepted late, although nothing or too little is known, and
// against queries while pools have room.
func TestJobsThatAreNotRefused(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*forecaster, *jobservice.Service, *job.Job)
		asked  int
		after  time.Duration
	}{
		"room":            {func(f *forecaster, _ *jobservice.Service, _ *job.Job) { f.short = false }, 0, 0},
		"late but of use": {func(f *forecaster, _ *jobservice.Service, _ *job.Job) { f.forecast.Refuse = false }, 1, 0},
		"silent owner":    {func(f *forecaster, _ *jobservice.Service, _ *job.Job) { f.silent = true }, 1, 50 * time.Millisecond},
		"switched off":    {func(_ *forecaster, s *jobservice.Service, _ *job.Job) { s.RefuseEnabled = func() bool { return false } }, 0, 0},
		"long-running":    {func(_ *forecaster, _ *jobservice.Service, j *job.Job) { j.Steps[0].LongRunning = true }, 0, 0},
		"with a start": {func(_ *forecaster, _ *jobservice.Service, j *job.Job) {
			j.Start, j.Repeat, j.Interval = time.Now().Add(time.Minute), 1, time.Second
		}, 0, 0},
		"no links at all":  {func(_ *forecaster, s *jobservice.Service, _ *job.Job) { s.Short, s.Forecast = nil, nil }, 0, 0},
		"mark not granted": {func(_ *forecaster, s *jobservice.Service, _ *job.Job) { s.Store.Grant = failingGrant }, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, f, j := newTestHost(t), shortPool(), newJob()
				defer h.stop()
				c.change(f, f.connect(h.service), j)
				started := time.Now()
				assertOutcome(t, h.service.Submit(t.Context(), call("k1"), j), jobservice.Accepted)
				qt.Assert(t, time.Since(started), qt.Equals, c.after)
				qt.Assert(t, f.asked, qt.Equals, c.asked)
				assertStored(t, h)
				qt.Assert(t, h.store.Item(storekeys.Cancel(jobID)).Revision, qt.Equals, int64(0))
			})
		})
	}
}

var errNoGrant = errors.New("no lease")

func failingGrant(context.Context, time.Duration) (int64, time.Duration, error) {
	return 0, 0, &kv.UnavailableError{Cause: errNoGrant}
}

// Guards against a refused job that is lost although its caller submits it again, and against one that
// is answered as refused although it is stored.
func TestRefusedJobIsAcceptedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, f := newTestHost(t), shortPool()
		defer h.stop()
		f.connect(h.service)
		assertRefusedForRoom(t, h, h.submit("k1"))
		time.Sleep(1500 * time.Millisecond)
		assertRefusedForRoom(t, h, h.submit("k1"))
		time.Sleep(1500 * time.Millisecond)
		assertOutcome(t, h.otherHost(h.store.Store()).Submit(t.Context(), call("k1"), newJob()), jobservice.Accepted)
		assertStored(t, h)
		qt.Assert(t, h.store.Item(storekeys.Cancel(jobID)).Revision, qt.Equals, int64(0))
		a := h.submit("k1")
		assertOutcome(t, a, jobservice.Accepted)
		qt.Assert(t, a.Reason, qt.Equals, "known")
	})
}

// Guards against a refused job that runs: an earlier attempt at another host is carried out late, or goes on
// there after the refusal.
func TestEarlierAttemptHasNoEffectAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, f := newTestHost(t), shortPool()
		defer h.stop()
		l, store := &lateWrites{store: h.store}, h.store.Store()
		commit := store.Commit
		store.Commit = func(ctx context.Context, c kv.Change) (int64, error) {
			if len(l.late) == 0 {
				return l.commit(ctx, c)
			}
			return commit(ctx, c)
		}
		answered := make(chan jobservice.Answer, 1)
		go func() { answered <- h.otherHost(store).Submit(t.Context(), call("k1"), newJob()) }()
		synctest.Wait()
		assertRefusedForRoom(t, h, f.connect(h.service).Submit(t.Context(), call("k1"), newJob()))
		a := <-answered
		assertOutcome(t, a, jobservice.Refused)
		assertSpreadRetry(t, a)
		l.carryOut(t)
		assertNotStored(t, h)
	})
}

// Guards against the cancellation of a refused job after which it can still be submitted.
func TestCancellationOfARefusedJobIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, f := newTestHost(t), shortPool()
		defer h.stop()
		f.connect(h.service)
		assertRefusedForRoom(t, h, h.submit("k1"))
		assertOutcome(t, h.state(t), jobservice.NoJob)
		assertOutcome(t, h.cancelJob(t, "k1"), jobservice.NoJob)
		time.Sleep(2 * time.Second)
		for _, f.short = range []bool{true, false} {
			a := h.submit("k1")
			assertOutcome(t, a, jobservice.Refused)
			qt.Assert(t, a.RetryAfter, qt.Equals, time.Duration(0))
			assertNotStored(t, h)
		}
	})
}

// Guards against callers that wait for long for a mark that the store does not take: the job is submitted
// as if nothing had been asked.
func TestMarkThatIsNotAnsweredDoesNotRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, f := newTestHost(t), shortPool()
		defer h.stop()
		store := h.store.Store()
		commit := store.Commit
		store.Commit = func(ctx context.Context, c kv.Change) (int64, error) {
			if c.Puts[0].Lease != 0 {
				<-ctx.Done()
				return 0, &kv.UnavailableError{Cause: ctx.Err()}
			}
			return commit(ctx, c)
		}
		started := time.Now()
		assertOutcome(t, f.connect(h.otherHost(store)).Submit(t.Context(), call("k1"), newJob()), jobservice.Accepted)
		qt.Assert(t, time.Since(started) < time.Second, qt.IsTrue)
		assertStored(t, h)
	})
}
