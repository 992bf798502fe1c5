// Package rollout keeps the newest configuration that an entry host knows, accepts
// changes into the store, and refuses to go back to an older version.
package rollout

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/store"
)

const (
	configKey   = "config"
	auditPrefix = "audit/"
	// acceptTries bounds the compare-and-swap loop; each lost race means that another
	// operator's change was accepted, so a few tries are enough.
	acceptTries = 8
)

// Keeper holds one entry host's configuration. It is safe for concurrent use.
type Keeper struct {
	store   *store.Client
	current atomic.Pointer[fleet.Config]
	// Changed is called after each newer version; it must not block.
	Changed func(*fleet.Config)
}

// New returns a keeper with an empty configuration of version 0.
func New(s *store.Client) *Keeper {
	k := &Keeper{store: s, Changed: func(*fleet.Config) {}}
	k.current.Store(&fleet.Config{})
	return k
}

// Config returns the newest known configuration.
func (k *Keeper) Config() *fleet.Config { return k.current.Load() }

// Adopt takes over cfg if it is newer than the known one.
func (k *Keeper) Adopt(cfg *fleet.Config) bool {
	for {
		old := k.current.Load()
		if cfg.Version <= old.Version {
			return false
		}
		if k.current.CompareAndSwap(old, cfg) {
			k.Changed(cfg)
			return true
		}
	}
}

// Refresh reads the store and adopts a newer version. A value that does not decode
// leaves the last good configuration in force.
func (k *Keeper) Refresh(ctx context.Context) error {
	cfg, _, err := k.read(ctx)
	if err != nil {
		return err
	}
	k.Adopt(cfg)
	return nil
}

// Accept writes one change to the store and returns the version that contains it. When
// an answer is lost, the change is looked up by its id, so that it is neither applied
// nor audited twice.
func (k *Keeper) Accept(ctx context.Context, c change.Change) (*fleet.Config, error) {
	c.At = time.Now().UTC()
	for range acceptTries {
		cfg, revision, err := k.read(ctx)
		if err != nil {
			return nil, err
		}
		if cfg.HasChange(c.ID) {
			k.Adopt(cfg)
			return cfg, nil
		}
		next, err := cfg.Apply(c)
		if err != nil {
			return nil, err
		}
		if err := k.archive(ctx, next); err != nil {
			return nil, err
		}
		err = k.write(ctx, next, revision)
		var conflict *store.ConflictError
		var unavailable *store.UnavailableError
		switch {
		case err == nil:
			k.Adopt(next)
			return next, nil
		case errors.As(err, &conflict), errors.As(err, &unavailable):
			continue
		default:
			return nil, &AcceptError{ChangeID: c.ID, Err: err}
		}
	}
	return nil, &AcceptError{ChangeID: c.ID, Err: errors.New("the store gave no clear answer; repeat the command with the same change id")}
}

func (k *Keeper) read(ctx context.Context) (*fleet.Config, uint64, error) {
	b, revision, err := k.store.Get(ctx, configKey)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return &fleet.Config{}, 0, nil
	}
	if err != nil {
		return nil, 0, &AcceptError{Err: err}
	}
	cfg, err := fleet.Decode(b)
	if err != nil {
		return nil, 0, &AcceptError{Err: err}
	}
	return cfg, revision, nil
}

func (k *Keeper) write(ctx context.Context, cfg *fleet.Config, revision uint64) error {
	b, err := cfg.Encode()
	if err != nil {
		return err
	}
	_, err = k.store.Put(ctx, configKey, b, revision, "")
	return err
}
