package jobservice

import (
	"context"
	"errors"

	"egretdrum.example/cancellation"
	"egretdrum.example/kv"
	"egretdrum.example/storekeys"
	"egretdrum.example/wait"
)

// Cancel stores the cancellation of a job. If there is no such job, it stores a mark that keeps a
// submission from taking effect later.
func (s *Service) Cancel(ctx context.Context, call *Call, t *Target) Answer {
	ctx, cancel := context.WithTimeout(ctx, s.timeout(call))
	defer cancel()
	a := s.cancel(ctx, t)
	s.Meter.Count("cancellations", "outcome", string(a.Outcome))
	return a
}

func (s *Service) cancel(ctx context.Context, t *Target) Answer {
	if !s.storeServes() {
		return s.cancelThroughOwner(ctx, t)
	}
	for failures := 0; ; failures++ {
		a, err := s.tryCancel(ctx, t, failures)
		if err == nil {
			return a
		}
		if !wait.For(ctx, retryDelay) {
			return Answer{Outcome: Unknown, Reason: err.Error()}
		}
	}
}

// cancelThroughOwner has the owner store the cancellation of a job that has not ended. Such a job stays
// stored, so its cancellation needs no condition on it.
func (s *Service) cancelThroughOwner(ctx context.Context, t *Target) Answer {
	known, ok := s.queryOwner(ctx, t)
	if !ok || known.Outcome == Shown && known.State.Final() {
		return s.refuse(errNoRelay.Error())
	}
	if known.Outcome == NoJob {
		return known
	}
	put := kv.Put{Key: storekeys.Cancel(t.ID), Value: []byte{}}
	revision, err := s.relayInstead(ctx, kv.Change{Conditions: []kv.Condition{{Key: put.Key}}, Puts: []kv.Put{put}}, notServed())
	var conflict *kv.ConflictError
	switch {
	case err == nil:
		s.notifyOwner(put, revision)
		return Answer{Outcome: Accepted}
	case errors.As(err, &conflict) && covers(conflict.Find(put.Key), t):
		return Answer{Outcome: Accepted, Reason: "known"}
	case conflict != nil, kv.NotApplied(err):
		return s.refuse(err.Error())
	}
	return Answer{Outcome: Unknown, Reason: err.Error()}
}

// covers reports whether an item is a cancellation that applies to a job of the target.
func covers(item kv.Item, t *Target) bool {
	return item.Revision > 0 && cancellation.Covers(item.Value, t.Queue.Name, t.Account, t.origin())
}

func (s *Service) tryCancel(ctx context.Context, t *Target, failures int) (Answer, error) {
	readCtx, cancelRead := context.WithTimeout(ctx, commitTimeout)
	defer cancelRead()
	submitted, err := s.readSubmission(readCtx, t)
	switch {
	case err != nil:
		return Answer{}, err
	case submitted.others:
		return Answer{Outcome: NoJob}, nil
	case submitted.revision == 0:
		return s.markCancelled(ctx, t)
	case submitted.cancelled:
		return Answer{Outcome: Accepted, Reason: "known"}, nil
	}
	put := kv.Put{Key: storekeys.Cancel(t.ID), Value: []byte{}}
	revision, err := s.commit(ctx, kv.Change{
		Conditions: []kv.Condition{{Key: storekeys.Job(t.ID), Revision: submitted.revision}},
		Puts:       []kv.Put{put},
	}, failures)
	if err != nil {
		return Answer{}, err
	}
	s.notifyOwner(put, revision)
	return Answer{Outcome: Accepted}, nil
}

// markCancelled stores the mark of a job that is not stored: its submission may be on its way.
func (s *Service) markCancelled(ctx context.Context, t *Target) (Answer, error) {
	if err := s.jobMarks().Set(ctx, t.ID, t.Queue.Name, t.Account, t.origin()); err != nil {
		return Answer{}, err
	}
	return Answer{Outcome: NoJob}, nil
}

// jobMarks returns the marks of this host.
func (s *Service) jobMarks() *cancellation.Marks {
	s.marksOnce.Do(func() { s.marks = cancellation.New(s.Store, s.commitMarks, s.Subscription.Now) })
	return s.marks
}

// commitMarks commits marks. A conflict has the stored jobs with it.
func (s *Service) commitMarks(ctx context.Context, c kv.Change, failures int) (int64, error) {
	ctx, release := s.Answers.Hold(ctx)
	defer release()
	return s.commit(ctx, c, failures)
}
