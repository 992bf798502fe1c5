package subscription

import (
	"context"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/transfer"
)

// Behind reports whether this host has been reading a change of the configuration for longer than the
// largest one takes on a slow link, and has not read it to its end.
func (s *Subscription) Behind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behind
}

// observe returns a context for a read that an answer is expected for from the given time on. The host
// is behind if parts of the answer still arrive long after that.
func (s *Subscription) observe(ctx context.Context, from time.Duration) context.Context {
	return transfer.Observe(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if reading := s.Now() - from; reading >= behindAfter {
			s.setBehind(true, reading)
		}
	})
}

// setBehind is called with the mutex held.
func (s *Subscription) setBehind(behind bool, reading time.Duration) {
	if s.behind == behind {
		return
	}
	s.behind = behind
	value := 0.0
	if behind {
		value = 1
		s.Log.Warn("configuration-behind", zap.Int64("revision", s.revision), zap.Duration("reading", reading))
	} else {
		s.Log.Info("configuration-current", zap.Int64("revision", s.revision))
	}
	if s.Meter != nil {
		s.Meter.Gauge("configuration_behind", value)
	}
}
