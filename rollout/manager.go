// Package rollout holds the newest configuration that an entry host knows, writes
// accepted changes to the store, and never replaces a version by an older one.
package rollout

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/store"
)

const (
	configKey   = "config"
	auditPrefix = "audit/"
	// maxAcceptAttempts bounds the compare-and-swap loop. Each conflict means that another
	// operator's change was accepted, so a few attempts are enough.
	maxAcceptAttempts = 8
	// fullReadInterval is the number of refreshes per unconditional read. A store that was
	// restored from a backup has lower revisions, which a conditional read does not see.
	fullReadInterval = 10
)

// ConfigManager holds one entry host's configuration. It is safe for concurrent use.
type ConfigManager struct {
	store   *store.Client
	current atomic.Pointer[fleet.Config]
	// adoptMu makes the calls of Changed follow the order of versions.
	adoptMu sync.Mutex
	// revision is the store revision that Refresh last read; refreshes counts the calls of
	// Refresh.
	revision, refreshes atomic.Uint64
	// Changed is called after each newer version was adopted, in the order of versions. It
	// must not block and must not call Adopt.
	Changed func(*fleet.Config)
	// Check is called before each attempt to write a change, with the newest stored
	// document and the one that would replace it. If it returns an error, the change is
	// refused with that error.
	Check func(ctx context.Context, cur, next *fleet.Config, c change.Change) error

	mutation mutation
	// afterArchive is called between the write of an audit key and that of the document.
	// Tests set it to simulate a crash.
	afterArchive func() error
}

// mutation switches off single safety rules. Only mutation tests set it, to show that the
// test of each rule fails without the rule.
type mutation struct {
	adoptOlder, unordered, skipIDCheck, blindWrite, skipArchive, acceptOldReads bool
	trustDamaged, archiveBeforeSizeCheck, skipArchiveCheck, checkCached         bool
}

// New returns a manager with an empty configuration of version 0.
func New(s *store.Client) *ConfigManager {
	m := &ConfigManager{
		store: s, Changed: func(*fleet.Config) {}, afterArchive: func() error { return nil },
		Check: func(context.Context, *fleet.Config, *fleet.Config, change.Change) error { return nil },
	}
	m.current.Store(&fleet.Config{})
	return m
}

// Config returns the newest known configuration.
func (m *ConfigManager) Config() *fleet.Config { return m.current.Load() }

// Adopt makes cfg the current configuration if it is newer, and reports whether it did.
func (m *ConfigManager) Adopt(cfg *fleet.Config) bool {
	if !m.mutation.unordered {
		m.adoptMu.Lock()
		defer m.adoptMu.Unlock()
	}
	if cfg.Version <= m.Config().Version && !m.mutation.adoptOlder {
		return false
	}
	m.current.Store(cfg)
	m.Changed(cfg)
	return true
}

// AdoptDelta applies the changes that a peer sent. After an error the caller requests the
// whole document.
func (m *ConfigManager) AdoptDelta(changes []change.Change) error {
	cfg, err := m.Config().ApplyDelta(changes)
	if err != nil {
		return &ConfigError{Err: err}
	}
	m.Adopt(cfg)
	return nil
}

// Refresh reads the store and adopts a newer version. If the value does not decode, the
// last valid configuration stays in force. A value that has not changed since the last
// refresh is neither transferred nor decoded; doing so used most of the processor time of
// an idle entry host.
func (m *ConfigManager) Refresh(ctx context.Context) error {
	seen := m.revision.Load()
	if m.refreshes.Add(1)%fullReadInterval == 0 {
		seen = 0
	}
	cfg, revision, err := m.readAfter(ctx, seen)
	if err != nil {
		return &ConfigError{Err: err}
	}
	if cfg != nil {
		m.Adopt(cfg)
		m.revision.Store(revision)
	}
	return nil
}

// readAfter returns the stored document if its revision is higher than seen, else nil.
func (m *ConfigManager) readAfter(ctx context.Context, seen uint64) (*fleet.Config, uint64, error) {
	if seen == 0 {
		return m.read(ctx)
	}
	b, revision, err := m.store.Watch(ctx, configKey, seen, 0)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return nil, seen, nil
	}
	if err != nil {
		return nil, 0, err
	}
	cfg, err := m.decode(b)
	return cfg, revision, err
}

// Accept writes one change to the store and returns the version that contains it. For a
// change that is not valid, conflicts with another one or makes the document too large,
// it returns the error of fleet or store; every other error is a ConfigError. After a
// lost response the change is looked up by its id, so that it is neither applied nor
// audited twice. c.Version is the version that the operator saw. It limits the search for
// a repeated command to the audit keys after that version.
func (m *ConfigManager) Accept(ctx context.Context, c change.Change) (*fleet.Config, error) {
	c.At = time.Now().UTC()
	minVersion := m.Config().Version
	lastErr := errNoClearAnswer
	var tooLarge *store.TooLargeError
	for range maxAcceptAttempts {
		cfg, revision, err := m.read(ctx)
		if err != nil {
			return nil, &ConfigError{ChangeID: c.ID, Err: err}
		}
		if cfg.Version < minVersion && !m.mutation.acceptOldReads {
			lastErr = &StaleReadError{Stored: cfg.Version, Known: minVersion}
			continue
		}
		minVersion, lastErr = cfg.Version, errNoClearAnswer
		recorded, err := m.isRecorded(ctx, cfg, c.ID, c.Version)
		if err != nil {
			return nil, &ConfigError{ChangeID: c.ID, Err: err}
		}
		if recorded {
			m.Adopt(cfg)
			return cfg, nil
		}
		next, err := cfg.Apply(c)
		if err != nil {
			return nil, err
		}
		if err := m.check(ctx, cfg, next, c); err != nil {
			return nil, err
		}
		switch err := m.commit(ctx, cfg, next, revision); {
		case err == nil:
			m.Adopt(next)
			return next, nil
		case errors.As(err, &tooLarge):
			return nil, tooLarge
		case !isRetryable(err):
			return nil, &ConfigError{ChangeID: c.ID, Err: err}
		}
	}
	return nil, &ConfigError{ChangeID: c.ID, Err: lastErr}
}

// check calls Check with the stored document. With any other document, two entry hosts
// could both use up the rest of an availability budget.
func (m *ConfigManager) check(ctx context.Context, cfg, next *fleet.Config, c change.Change) error {
	if m.mutation.checkCached {
		cfg = m.Config()
		var err error
		if next, err = cfg.Apply(c); err != nil {
			return err
		}
	}
	return m.Check(ctx, cfg, next, c)
}

// commit writes the changes that the document drops to an audit key, then the document.
// The size is checked first, so that a refused change writes nothing.
func (m *ConfigManager) commit(ctx context.Context, cfg, next *fleet.Config, revision uint64) error {
	b, err := next.Encode()
	if err != nil {
		return err
	}
	if len(b) > store.MaxValueBytes && !m.mutation.archiveBeforeSizeCheck {
		return &store.TooLargeError{Key: configKey, Bytes: len(b)}
	}
	if err := m.archive(ctx, cfg); err != nil {
		return err
	}
	if m.mutation.blindWrite {
		if _, revision, err = m.store.Get(ctx, configKey); err != nil {
			revision = 0
		}
	}
	_, err = m.store.Put(ctx, configKey, b, revision, "")
	return err
}

// isRetryable reports whether a write conflicted with another one or its outcome is unknown.
func isRetryable(err error) bool {
	var conflict *store.ConflictError
	var unavailable *store.UnavailableError
	return errors.As(err, &conflict) || errors.As(err, &unavailable)
}

// read returns the stored document. Its errors name the store key and, for a value that
// does not decode, the position in it.
func (m *ConfigManager) read(ctx context.Context) (*fleet.Config, uint64, error) {
	b, revision, err := m.store.Get(ctx, configKey)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return &fleet.Config{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	cfg, err := m.decode(b)
	return cfg, revision, err
}

func (m *ConfigManager) decode(b []byte) (*fleet.Config, error) {
	cfg, err := fleet.Decode(b)
	switch {
	case err == nil:
		return cfg, nil
	case m.mutation.trustDamaged:
		return &fleet.Config{Version: m.Config().Version + 1}, nil
	default:
		return nil, &ValueError{Key: configKey, Err: err}
	}
}
