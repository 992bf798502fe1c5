package jobservice

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/storekeys"
	"egretdrum.example/wait"
)

const (
	// probeTimeout is above the answer times of a store that is 80 times slower than usual, and
	// probeInterval keeps a crowd of hosts from loading a store that comes back.
	probeTimeout  = 500 * time.Millisecond
	probeInterval = 250 * time.Millisecond
)

var errNoRelay = errors.New("the store does not serve this host, and no owner helps out")

// notServed returns the error of a change that is not sent to the store.
func notServed() error { return &kv.UnavailableError{NotApplied: true, Cause: errNoRelay} }

// relays reports whether changes may go by way of the owner; otherwise the store is always called.
func (s *Service) relays() bool {
	return s.Health != nil && (s.RelayEnabled == nil || s.RelayEnabled())
}

// storeServes reports whether the store serves this host, and logs changes.
func (s *Service) storeServes() bool {
	failure := ""
	if s.relays() {
		failure = s.Health.Failure()
	}
	serves := failure == ""
	if !s.avoided.CompareAndSwap(serves, !serves) {
		return serves
	}
	if serves {
		s.Log.Info("store-used")
		s.Meter.Gauge("store_avoided", 0)
	} else {
		s.Log.Warn("store-avoided", zap.String("reason", failure))
		s.Meter.Gauge("store_avoided", 1)
	}
	return serves
}

// write commits the change of a submission. While the store does not serve this host, and after the
// store has turned the change away, it goes by way of the owner. A change of which an earlier attempt
// may be stored is sent to the store if the owner can't help, since its outcome has to be found out.
func (s *Service) write(ctx context.Context, c kv.Change, failures int, mayBeStored bool) (int64, error) {
	if s.storeServes() {
		revision, err := s.commit(ctx, c, failures)
		if !kv.NotApplied(err) || kv.Rejected(err) || !s.relays() {
			return revision, err
		}
		return s.relayInstead(ctx, c, err)
	}
	revision, err := s.relayInstead(ctx, c, notServed())
	if mayBeStored && kv.NotApplied(err) {
		return s.commit(ctx, c, failures)
	}
	return revision, err
}

// relayInstead commits a change by way of the owner, after a failure that the change did not get past.
func (s *Service) relayInstead(ctx context.Context, c kv.Change, failure error) (int64, error) {
	if s.Relay == nil {
		return 0, failure
	}
	revision, err := s.Relay(ctx, c)
	var conflict *kv.ConflictError
	outcome := "unknown"
	switch {
	case err == nil:
		outcome = "applied"
	case errors.As(err, &conflict):
		outcome = "conflict"
	case kv.NotApplied(err):
		outcome = "not-applied"
	}
	s.Meter.Count("relays", "outcome", outcome)
	return revision, err
}

// Probe reads a small value of the store, one call at a time, while there is doubt whether the store
// serves this host, until ctx ends.
func (s *Service) Probe(ctx context.Context) {
	for {
		select {
		case <-s.Health.Doubted():
		case <-ctx.Done():
			return
		}
		for answered := false; !answered; {
			answered = s.probeOnce(ctx)
			if !wait.For(ctx, probeInterval) {
				return
			}
		}
		s.storeServes()
	}
}

// probeOnce reports whether the store has answered.
func (s *Service) probeOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := s.Store.Get(ctx, storekeys.Counts)
	return err == nil || errors.Is(err, kv.ErrNotFound)
}
