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

// Count returns how many jobs of a queue have not started, as stored by the owner.
func (s *Service) Count(ctx context.Context, call *Call, t *Target) Answer {
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

func (s *Service) readCounts(ctx context.Context) (map[string]int, error) {
	item, err := s.Store.Get(ctx, storekeys.Counts)
	if errors.Is(err, kv.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var byQueue map[string]int
	return byQueue, cbor.Unmarshal(item.Value, &byQueue)
}
