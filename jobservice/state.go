package jobservice

import (
	"context"
	"errors"

	"egretdrum.example/cancellation"
	"egretdrum.example/job"
	"egretdrum.example/kv"
	"egretdrum.example/progress"
	"egretdrum.example/storekeys"
	"egretdrum.example/wait"
)

// State returns the state of a job.
func (s *Service) State(ctx context.Context, call *Call, t *Target) Answer {
	ctx, cancel := context.WithTimeout(ctx, s.timeout(call))
	defer cancel()
	if a, ok := s.queryOwner(ctx, t); ok {
		return a
	}
	for {
		if !s.storeServes() {
			return s.refuse("the store does not serve this host")
		}
		a, err := s.readState(ctx, t)
		if err == nil {
			return a
		}
		if !wait.For(ctx, retryDelay) {
			return s.refuse(err.Error())
		}
	}
}

// queryOwner queries the owner, which knows the state of a job without reading the store.
func (s *Service) queryOwner(ctx context.Context, t *Target) (Answer, bool) {
	if s.QueryState == nil {
		return Answer{}, false
	}
	a, ok := s.QueryState(ctx, t.ID)
	s.Meter.Count("states", "from", stateSource(ok))
	if !ok {
		return Answer{}, false
	}
	if t.owns(a.Queue, a.Account, a.Origin) {
		return Answer{Outcome: Shown, State: a.State}, true
	}
	// An owner of an older build does not say what identifies the job under other names.
	return Answer{Outcome: NoJob}, a.Origin.Known()
}

func stateSource(fromOwner bool) string {
	if fromOwner {
		return "owner"
	}
	return "store"
}

func (s *Service) readState(ctx context.Context, t *Target) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	ctx, release := s.Answers.Hold(ctx)
	defer release()
	item, err := s.Store.Get(ctx, storekeys.Result(t.ID))
	if err == nil {
		r, err := progress.Decode(item.Value)
		if err != nil {
			return Answer{}, err
		}
		if t.owns(r.Queue, r.Account, r.Origin) {
			return s.withCancellation(ctx, t, r.State)
		}
		return s.recordedUnderOtherNames(ctx, t, r)
	}
	if !errors.Is(err, kv.ErrNotFound) {
		return Answer{}, err
	}
	submitted, err := s.readSubmission(ctx, t)
	switch {
	case err != nil:
		return Answer{}, err
	case submitted.revision == 0:
		return Answer{Outcome: NoJob}, nil
	case submitted.cancelled:
		return Answer{Outcome: Shown, State: progress.Cancelled}, nil
	}
	return Answer{Outcome: Shown, State: progress.Pending}, nil
}

// recordedUnderOtherNames returns the state of a job whose record has other names. Owners of older builds
// write records without what identifies the job; the job itself may have it.
func (s *Service) recordedUnderOtherNames(ctx context.Context, t *Target, r *progress.Record) (Answer, error) {
	if r.Origin.Known() {
		return Answer{Outcome: NoJob}, nil
	}
	submitted, err := s.readSubmission(ctx, t)
	switch {
	case err != nil:
		return Answer{}, err
	case submitted.revision == 0:
		return Answer{Outcome: NoJob}, nil
	case submitted.cancelled && !r.State.Final():
		return Answer{Outcome: Shown, State: progress.Cancelled}, nil
	}
	return Answer{Outcome: Shown, State: r.State}, nil
}

// withCancellation returns the state of a job with a stored record. A cancellation is durable before
// the owner records it, so a record that is not final may be older.
func (s *Service) withCancellation(ctx context.Context, t *Target, state progress.State) (Answer, error) {
	if state.Final() {
		return Answer{Outcome: Shown, State: state}, nil
	}
	_, err := s.Store.Get(ctx, storekeys.Cancel(t.ID))
	switch {
	case err == nil:
		state = progress.Cancelled
	case !errors.Is(err, kv.ErrNotFound):
		return Answer{}, err
	}
	return Answer{Outcome: Shown, State: state}, nil
}

// submission is a stored job.
type submission struct {
	// revision is zero if the queue has no such job of the account.
	revision  int64
	cancelled bool
	// others is set if another queue or account has a job of this ID.
	others bool
}

// readSubmission reads a job and whether it is cancelled.
func (s *Service) readSubmission(ctx context.Context, t *Target) (submission, error) {
	ctx, release := s.Answers.Hold(ctx)
	defer release()
	items, _, err := s.Store.Range(ctx, storekeys.Job(t.ID))
	if err != nil {
		return submission{}, err
	}
	var sub submission
	for _, i := range items {
		switch i.Key {
		case storekeys.Cancel(t.ID):
			sub.cancelled = cancellation.Covers(i.Value, t.Queue.Name, t.Account, t.origin())
		case storekeys.Job(t.ID):
			j, err := job.Decode(i.Value)
			if err != nil {
				return submission{}, err
			}
			if t.owns(j.Queue, j.Account, j.Origin) {
				sub.revision = i.Revision
			} else {
				sub.others = true
			}
		}
	}
	return sub, nil
}
