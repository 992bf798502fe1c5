// Package subscription follows the operators' configuration in the store.
package subscription

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/boottime"
	"egretdrum.example/catalog"
	"egretdrum.example/kv"
	"egretdrum.example/wait"
)

// Subscription holds the newest configuration that this host knows, and how long ago the
// store confirmed it. It is safe for concurrent use.
type Subscription struct {
	Store kv.Store
	// Prefix and ConfigKey say where operators write.
	Prefix, ConfigKey string
	// Decode reads an item; items of other kinds give an empty Directive.
	Decode func(kv.Item) (Directive, error)
	Log    *zap.Logger
	// Now is the clock on which confirmations are measured.
	Now func() time.Duration

	mu        sync.Mutex
	catalog   *catalog.Catalog
	revision  int64
	waves     map[int64]Wave
	confirmed time.Duration
	reachable bool
	changed   chan struct{}
}

// Directive is what operators have written under one key.
type Directive struct {
	Catalog *catalog.Catalog
	Wave    *Wave
}

// Wave asks for the maintenance of some machines.
type Wave struct {
	Number   int64
	Machines []string
	// Term is the time in which all of them are due.
	Term time.Duration
	// Limit is how many may be away at the same time.
	Limit int
	// Revision is the change of the store that asked for the wave.
	Revision int64
}

const (
	// watchWait bounds the age of a confirmation while nothing changes.
	watchWait = time.Second
	// answerPatience is how late an answer may be; the store answers in milliseconds, a
	// slow one in a third of a second.
	answerPatience = 800 * time.Millisecond
	retryPause     = 100 * time.Millisecond
)

// New returns a subscription that has read nothing.
func New(store kv.Store, prefix, configKey string, decode func(kv.Item) (Directive, error), log *zap.Logger) *Subscription {
	return &Subscription{
		Store: store, Prefix: prefix, ConfigKey: configKey, Decode: decode, Log: log, Now: boottime.Now,
		waves: make(map[int64]Wave), changed: make(chan struct{}),
	}
}

// Run follows the store until ctx ends.
func (s *Subscription) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, ok := s.readAll(ctx)
		for ok {
			revision, ok = s.follow(ctx, revision)
		}
		wait.For(ctx, retryPause)
	}
}

// readAll reads the whole range and reports the revision to watch from.
func (s *Subscription) readAll(ctx context.Context) (int64, bool) {
	ctx, cancel := context.WithTimeout(ctx, answerPatience)
	defer cancel()
	sent := s.Now()
	items, revision, err := s.Store.Range(ctx, s.Prefix)
	if err != nil {
		s.lost(err)
		return 0, false
	}
	for _, item := range items {
		s.Offer(item)
	}
	s.confirm(sent)
	return revision, true
}

// follow waits for changes; ok is false when the range has to be read again.
func (s *Subscription) follow(ctx context.Context, after int64) (revision int64, ok bool) {
	call, cancel := context.WithTimeout(ctx, watchWait+answerPatience)
	defer cancel()
	sent := s.Now()
	events, revision, err := s.Store.Watch(call, s.Prefix, after, watchWait)
	switch {
	case ctx.Err() != nil:
		return 0, false
	case errors.Is(err, kv.ErrCompacted):
		s.Log.Info("history-dropped", zap.String("prefix", s.Prefix), zap.Int64("revision", after))
		return 0, false
	case err != nil:
		s.lost(err)
		// A range tells at once whether the store is back; a watch would wait.
		return 0, false
	}
	for _, e := range events {
		if !e.Deleted {
			s.Offer(e.Item)
		}
	}
	// A watch that has waited to its end vouches for the time at which it ended.
	if len(events) == 0 && s.Now()-sent >= watchWait {
		sent += watchWait
	}
	s.confirm(sent)
	return revision, true
}

// Offer takes an item that was read from the store; older ones are ignored.
func (s *Subscription) Offer(item kv.Item) {
	if item.Revision == 0 {
		return
	}
	d, err := s.Decode(item)
	if err != nil {
		s.Log.Warn("item-not-decoded", zap.String("key", item.Key), zap.Int64("revision", item.Revision), zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case d.Catalog != nil && item.Revision > s.revision:
		before := int64(0)
		if s.catalog != nil {
			before = s.catalog.Version
		}
		s.catalog, s.revision = d.Catalog, item.Revision
		s.Log.Info("configuration-adopted", zap.Int64("version", d.Catalog.Version), zap.Int64("before", before), zap.Int64("revision", item.Revision), zap.Int("queues", len(d.Catalog.Queues)), zap.Int("accounts", len(d.Catalog.Accounts)))
		s.announce()
	case d.Wave != nil:
		if _, known := s.waves[d.Wave.Number]; !known {
			d.Wave.Revision = item.Revision
			s.waves[d.Wave.Number] = *d.Wave
			s.Log.Info("wave-adopted", zap.Int64("wave", d.Wave.Number), zap.Int("machines", len(d.Wave.Machines)), zap.Int("limit", d.Wave.Limit), zap.Duration("term", d.Wave.Term))
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

func (s *Subscription) confirm(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = max(s.confirmed, at)
	if !s.reachable {
		s.reachable = true
		s.Log.Info("store-reached", zap.String("for", "configuration"))
	}
}

func (s *Subscription) lost(err error) {
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
