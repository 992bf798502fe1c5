package jobservice

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"egretdrum.example/kv"
	"egretdrum.example/storekeys"
)

// countCache caches the number of jobs of each queue that have not started.
type countCache struct {
	mu      sync.Mutex
	readAt  time.Time
	byQueue map[string]int
}

// errNotCounted means that no owner stands behind any stored counts.
var errNotCounted = errors.New("no owner has counted the waiting jobs")

// Count returns how many jobs of a queue have not started, as stored by the present owner. Without one, or
// until it has counted them, it refuses: older counts do not have the jobs that were accepted meanwhile.
func (s *Service) Count(ctx context.Context, call *Call, t *Target) Answer {
	a := s.count(ctx, call, t)
	s.Meter.Count("counts", "outcome", string(a.Outcome))
	return a
}

func (s *Service) count(ctx context.Context, call *Call, t *Target) Answer {
	if !s.storeServes() {
		return s.refuse("the store does not serve this host")
	}
	ctx, cancel := context.WithTimeout(ctx, min(s.timeout(call), commitTimeout))
	defer cancel()
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	if time.Since(s.counts.readAt) > maxCountAge {
		byQueue, err := s.readCounts(ctx)
		if err != nil {
			return s.refuse(err.Error())
		}
		s.counts.byQueue, s.counts.readAt = byQueue, time.Now()
	}
	return Answer{Outcome: Counted, Count: s.counts.byQueue[t.Queue.Name]}
}

// readCounts reads the counts of the present owner.
func (s *Service) readCounts(ctx context.Context) (map[string]int, error) {
	byQueue, err := s.readCountsOf(ctx, storekeys.Waiting)
	if !errors.Is(err, kv.ErrNotFound) {
		return byQueue, err
	}
	// The owner may be of a build that does not know this key.
	byQueue, err = s.readCountsOf(ctx, storekeys.Counts)
	if _, counted := byQueue[storekeys.WaitingCounted]; counted || errors.Is(err, kv.ErrNotFound) {
		return nil, errNotCounted
	}
	return byQueue, err
}

func (s *Service) readCountsOf(ctx context.Context, key string) (map[string]int, error) {
	item, err := s.Store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	var byQueue map[string]int
	return byQueue, cbor.Unmarshal(item.Value, &byQueue)
}
