package jobservice

import (
	"context"
	"slices"
	"strings"
	"sync"

	"egretdrum.example/cancellation"
	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/storekeys"
)

// ListedJob is a job that List returns.
type ListedJob struct {
	ID    string
	State progress.State
}

// List returns the jobs of the queue and the account of a target, sorted by ID. It reads all
// jobs in the store, so it is meant for interactive use and not for polling, and a host reads one
// list at a time.
func (s *Service) List(ctx context.Context, call *Call, t *Target) ([]ListedJob, Answer) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout(call))
	defer cancel()
	if !s.lists.begin(ctx) {
		return nil, s.refuse("other lists are being read")
	}
	defer s.lists.end()
	submissions, _, err := s.Store.Range(ctx, storekeys.Submissions)
	if err != nil {
		return nil, s.refuse(err.Error())
	}
	results, _, err := s.Store.Range(ctx, storekeys.Results)
	if err != nil {
		return nil, s.refuse(err.Error())
	}
	states, cancellations := make(map[string]progress.State), make(map[string]bool)
	for _, item := range submissions {
		id, cancelled := storekeys.ParseSubmission(item.Key)
		if cancelled {
			cancellations[id] = cancellation.Covers(item.Value, t.Queue.Name, t.Account, t.origin())
			continue
		}
		j, err := job.Decode(item.Value)
		if err != nil {
			return nil, Answer{Outcome: Unknown, Reason: "job " + id + ": " + err.Error()}
		}
		if t.owns(j.Queue, j.Account, j.Origin) {
			states[id] = progress.Pending
		}
	}
	for _, item := range results {
		id := strings.TrimPrefix(item.Key, storekeys.Results)
		r, err := progress.Decode(item.Value)
		if err != nil {
			return nil, Answer{Outcome: Unknown, Reason: "result of " + id + ": " + err.Error()}
		}
		if _, owned := states[id]; t.owns(r.Queue, r.Account, r.Origin) || owned && !r.Origin.Known() {
			states[id] = r.State
		}
	}
	var jobs []ListedJob
	for id, state := range states {
		if cancellations[id] && !state.Final() {
			state = progress.Cancelled
		}
		jobs = append(jobs, ListedJob{id, state})
	}
	slices.SortFunc(jobs, func(a, b ListedJob) int { return strings.Compare(a.ID, b.ID) })
	return jobs, Answer{Outcome: Shown}
}

// listTurn lets one call of List after the other read.
type listTurn struct {
	once sync.Once
	turn chan struct{}
}

// begin waits for the turn of a call, and reports false if ctx ends before.
func (l *listTurn) begin(ctx context.Context) bool {
	l.once.Do(func() { l.turn = make(chan struct{}, 1) })
	select {
	case l.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *listTurn) end() { <-l.turn }
