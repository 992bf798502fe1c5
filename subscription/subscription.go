// Package subscription keeps an up-to-date copy of the operators' configuration in the store.
package subscription

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/boottime"
	"egretdrum.example/catalog"
	"egretdrum.example/evacuation"
	"egretdrum.example/kv"
	"egretdrum.example/meter"
	"egretdrum.example/transfer"
	"egretdrum.example/wait"
)

// Subscription holds the newest configuration, a catalog.Catalog, that is known to this host,
// and when the store last confirmed it. It is safe for concurrent use.
type Subscription struct {
	Store kv.Store
	// Prefix is the prefix of all keys that operators write, ConfigKey the key of the
	// configuration.
	Prefix, ConfigKey string
	// EvacuationPrefix is followed by an availability zone in the key that operators write to
	// evacuate the zone, and delete to restore it; empty if zones can't be evacuated.
	EvacuationPrefix string
	// Decode decodes an item; items of other kinds give an empty OperatorItem.
	Decode func(kv.Item) (OperatorItem, error)
	Log    *zap.Logger
	// Now is the clock on which confirmations are measured.
	Now func() time.Duration
	// Meter, if set, shows whether the host is behind.
	Meter *meter.Meter

	mu       sync.Mutex
	catalog  *catalog.Catalog
	revision int64
	waves    map[int64]Wave
	zones    evacuation.Zones
	// evacuated is a copy of the zones under evacuation. It is replaced at each change, so that
	// callers may keep it.
	evacuated map[string]int64
	confirmed time.Duration
	// seen is the newest revision of the store in an answer.
	seen      int64
	reachable bool
	behind    bool
	changed   chan struct{}
}

// OperatorItem is the decoded value of a key that operators write.
type OperatorItem struct {
	Catalog *catalog.Catalog
	Wave    *Wave
}

// Wave is a request for the maintenance of some machines.
type Wave struct {
	Number   int64
	Machines []string
	// Term is the time within which the maintenance of all of them is due.
	Term time.Duration
	// Limit is how many may be absent at the same time.
	Limit int
	// Revision is the revision of the item that requested the wave.
	Revision int64
}

const (
	// watchWait bounds the age of a confirmation while nothing changes.
	watchWait = time.Second
	// answerTimeout is how long to wait for an answer, beyond the wait of a watch; the store
	// answers in milliseconds, a slow one in a third of a second.
	answerTimeout = 800 * time.Millisecond
	retryInterval = 100 * time.Millisecond
	// repeatedWait is not zero, which a store may take for a missing value.
	repeatedWait = time.Millisecond
	// maxReadTime is the time that the largest answer of the store, 4 MB, takes on a quarter of a link
	// of 10 Mbit/s; other traffic has the rest.
	maxReadTime = 14 * time.Second
	// maxEventBytes is above one value of the largest size, 1 MB, in base64. What is larger has
	// several configurations, of which a read returns only the newest.
	maxEventBytes = 2 << 20
	// behindAfter is above the 1.2 s that the largest value takes on a link of 10 Mbit/s.
	behindAfter = 2 * time.Second
)

// New returns a subscription without a configuration; Run reads it.
func New(store kv.Store, prefix, configKey string, decode func(kv.Item) (OperatorItem, error), log *zap.Logger) *Subscription {
	return &Subscription{
		Store: store, Prefix: prefix, ConfigKey: configKey, Decode: decode, Log: log, Now: boottime.Now,
		waves: make(map[int64]Wave), changed: make(chan struct{}),
	}
}

// Run keeps the configuration up to date until ctx ends.
func (s *Subscription) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if revision, ok := s.readAll(ctx); ok {
			s.follow(ctx, revision)
		}
		wait.For(ctx, retryInterval)
	}
}

// follow watches from a revision until the range must be read again. A watch that was cut is repeated
// once, almost without a wait, so that it shows at once whether the store is reachable; the history saves a
// read of the whole range. A watch of which nothing has arrived in time is not: it may never answer.
func (s *Subscription) follow(ctx context.Context, revision int64) {
	repeated := false
	for ctx.Err() == nil {
		maxWait := watchWait
		if repeated {
			maxWait = repeatedWait
		}
		next, err := s.watchOnce(ctx, revision, maxWait)
		switch {
		case err == nil:
			revision, repeated = next, false
		case repeated, errors.Is(err, kv.ErrCompacted), errors.Is(err, kv.ErrTooLarge), errors.Is(err, errSilent):
			return
		default:
			repeated = true
			wait.For(ctx, retryInterval)
		}
	}
}

// readAll reads the whole range and returns the revision to watch from.
func (s *Subscription) readAll(ctx context.Context) (int64, bool) {
	sent := s.Now()
	ctx, cancel := transfer.Bounds{First: answerTimeout, Silence: answerTimeout, Total: maxReadTime}.Context(s.observe(ctx, sent))
	defer cancel()
	items, revision, err := s.Store.Range(ctx, s.Prefix)
	// What was read of an unfinished range is already in the store.
	for _, item := range items {
		s.Apply(item)
	}
	if err != nil {
		s.markUnreachable(err)
		return 0, false
	}
	s.applyListedZones(items, revision)
	s.markConfirmed(sent, revision)
	return revision, true
}

// errSilent reports a watch of which nothing has arrived in time.
var errSilent = errors.New("the watch is silent")

// watchOnce waits for changes, applies them and returns the revision to watch from.
func (s *Subscription) watchOnce(ctx context.Context, after int64, maxWait time.Duration) (int64, error) {
	sent := s.Now()
	var arrived atomic.Bool
	observed := transfer.Observe(s.observe(ctx, sent+maxWait), func() { arrived.Store(true) })
	bounds := transfer.Bounds{First: maxWait + answerTimeout, Silence: answerTimeout, Total: maxWait + maxReadTime, MaxBytes: maxEventBytes}
	call, cancel := bounds.Context(observed)
	defer cancel()
	events, revision, err := s.Store.Watch(call, s.Prefix, after, maxWait)
	switch {
	case ctx.Err() != nil:
		return 0, ctx.Err()
	case errors.Is(err, kv.ErrCompacted):
		s.Log.Info("history-dropped", zap.String("prefix", s.Prefix), zap.Int64("revision", after))
		return 0, err
	case errors.Is(err, kv.ErrTooLarge):
		s.Log.Info("history-skipped", zap.String("prefix", s.Prefix), zap.Int64("revision", after))
		return 0, err
	case err != nil:
		s.markUnreachable(err)
		if call.Err() != nil && !arrived.Load() {
			return 0, errSilent
		}
		return 0, err
	}
	for _, e := range events {
		if e.Deleted {
			s.applyZone(e.Item, false)
			continue
		}
		s.Apply(e.Item)
	}
	// A watch without events confirms the configuration as of the end of its whole wait.
	if len(events) == 0 && s.Now()-sent >= maxWait {
		sent += maxWait
	}
	s.markConfirmed(sent, revision)
	return revision, nil
}

// Apply applies an item that was read from the store. An older configuration and a wave that
// is already known are ignored.
func (s *Subscription) Apply(item kv.Item) {
	if item.Revision == 0 {
		return
	}
	if s.applyZone(item, true) {
		return
	}
	directive, err := s.Decode(item)
	if err != nil {
		s.Log.Warn("item-not-decoded", zap.String("key", item.Key), zap.Int64("revision", item.Revision), zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case directive.Catalog != nil && item.Revision > s.revision:
		previous := int64(0)
		if s.catalog != nil {
			previous = s.catalog.Version
		}
		s.catalog, s.revision = directive.Catalog, item.Revision
		s.Log.Info("configuration-adopted", zap.Int64("version", directive.Catalog.Version), zap.Int64("before", previous), zap.Int64("revision", item.Revision), zap.Int("queues", len(directive.Catalog.Queues)), zap.Int("accounts", len(directive.Catalog.Accounts)))
		s.announce()
	case directive.Wave != nil:
		if _, known := s.waves[directive.Wave.Number]; !known {
			directive.Wave.Revision = item.Revision
			s.waves[directive.Wave.Number] = *directive.Wave
			s.Log.Info("wave-adopted", zap.Int64("wave", directive.Wave.Number), zap.Int("machines", len(directive.Wave.Machines)), zap.Int("limit", directive.Wave.Limit), zap.Duration("term", directive.Wave.Term))
			s.announce()
		}
	}
}

func (s *Subscription) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (s *Subscription) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Seen returns the newest revision of the store in an answer; it is at most a second behind while the
// store answers.
func (s *Subscription) Seen() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

func (s *Subscription) markConfirmed(at time.Duration, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = max(s.seen, revision)
	s.confirmed = max(s.confirmed, at)
	s.setBehind(false, 0)
	if !s.reachable {
		s.reachable = true
		s.Log.Info("store-reached", zap.String("for", "configuration"))
	}
}

func (s *Subscription) markUnreachable(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reachable {
		s.reachable = false
		s.Log.Warn("store-lost", zap.String("for", "configuration"), zap.Error(err), zap.Duration("confirmed-ago", s.Now()-s.confirmed))
	}
}

// Current returns the configuration, nil if none was read, with its revision in the
// store and the time since the store confirmed it.
func (s *Subscription) Current() (c *catalog.Catalog, revision int64, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog, s.revision, s.Now() - s.confirmed
}

// Waves returns all maintenance waves, the oldest first.
func (s *Subscription) Waves() []Wave {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.SortedFunc(maps.Values(s.waves), func(a, b Wave) int { return int(a.Number - b.Number) })
}
