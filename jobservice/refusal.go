package jobservice

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/cancellation"
	"egretdrum.example/job"
	"egretdrum.example/ownerlink"
)

const (
	// refusalTimeout bounds the time for the mark of a refusal; a submission whose mark is not stored by
	// then needs the rest of its caller's time.
	refusalTimeout = 600 * time.Millisecond
	// maxUselessRetry bounds the time that callers are told to wait: forecasts for long are uncertain.
	maxUselessRetry = 30 * time.Second
)

// refuseUseless refuses a submission if the owner expects that its result would be of no use. It reports
// false if the submission has to be stored. A refusal has a mark in the store, without which an earlier
// attempt could still take effect.
func (s *Service) refuseUseless(ctx context.Context, t *Target, j *job.Job, encoded []byte) (Answer, bool) {
	if s.Short == nil || s.RefuseEnabled != nil && !s.RefuseEnabled() || !s.Short(t.Queue.Pool) || !j.RunsAtOnce() || !s.storeServes() {
		return Answer{}, false
	}
	f, ok := s.Forecast(ctx, encoded)
	if !ok || !f.Refuse {
		s.countForecast(ok, "useful")
		return Answer{}, false
	}
	marking, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	err := s.jobMarks().SetRefused(marking, j.ID, j.Queue, j.Account)
	var stored *cancellation.StoredError
	switch {
	case errors.As(err, &stored):
		s.countForecast(true, "stored")
		return s.answerDuplicate(stored.Item, t), true
	case err != nil:
		s.countForecast(true, "not-marked")
		s.Log.Info("refusal-not-stored", zap.String("request", j.ID), zap.Error(err))
		return Answer{}, false
	}
	s.countForecast(true, "refused")
	a := Answer{Outcome: Refused, RetryAfter: uselessRetry(f), Reason: "the job would not be done in time"}
	s.Log.Info("job-refused", zap.String("request", j.ID), zap.String("queue", j.Queue), zap.String("account", j.Account),
		zap.Duration("done-in", f.DoneIn), zap.Duration("objective", f.Objective), zap.Float64("error-factor", f.ErrorFactor),
		zap.Duration("plan-age", f.PlanAge), zap.Duration("retry-after", a.RetryAfter))
	return a, true
}

// countForecast counts what became of a submission to a pool that is short of room.
func (s *Service) countForecast(answered bool, outcome string) {
	if !answered {
		outcome = "unanswered"
	}
	s.Meter.Count("forecasts", "outcome", outcome)
}

// uselessRetry returns how long a caller has to wait: until room is expected, and up to half of that longer,
// at least a second, so that callers do not come back together.
func uselessRetry(f ownerlink.Forecast) time.Duration {
	seconds := max(1, int((min(f.RoomIn, maxUselessRetry)+time.Second-1)/time.Second))
	return time.Duration(seconds+rand.IntN(seconds/2+2)) * time.Second
}

// seen returns the newest revision of the store that this host knows of. A mark up to it was stored
// before a call that arrives now.
func (s *Service) seen() int64 { return max(s.committed.Load(), s.Subscription.Seen()) }

// noteCommitted keeps the newest revision of a change that was applied.
func (s *Service) noteCommitted(revision int64, err error) {
	for known := s.committed.Load(); err == nil && revision > known; known = s.committed.Load() {
		if s.committed.CompareAndSwap(known, revision) {
			return
		}
	}
}
