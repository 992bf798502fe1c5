package kvfake

import (
	"context"
	"errors"
	"time"

	"egretdrum.example/kv"
)

// Disconnectable returns the store for one host, and a function that disconnects the host: its
// later calls fail and have no effect.
func (f *Fake) Disconnectable() (kv.Store, func()) {
	store := f.Store()
	ctx, cut := context.WithCancelCause(context.Background())
	cutError := func() error { return context.Cause(ctx) }
	cuttable := store
	cuttable.Get = func(call context.Context, key string) (kv.Item, error) {
		if err := cutError(); err != nil {
			return kv.Item{}, err
		}
		return store.Get(call, key)
	}
	cuttable.Range = func(call context.Context, prefix string) ([]kv.Item, int64, error) {
		if err := cutError(); err != nil {
			return nil, 0, err
		}
		return store.Range(call, prefix)
	}
	cuttable.Watch = func(call context.Context, prefix string, after int64, d time.Duration) ([]kv.Event, int64, error) {
		if err := cutError(); err != nil {
			return nil, 0, err
		}
		return store.Watch(call, prefix, after, d)
	}
	cuttable.Commit = func(call context.Context, change kv.Change) (int64, error) {
		if err := cutError(); err != nil {
			return 0, err
		}
		return store.Commit(call, change)
	}
	cuttable.Grant = func(call context.Context, ttl time.Duration) (int64, time.Duration, error) {
		if err := cutError(); err != nil {
			return 0, 0, err
		}
		return store.Grant(call, ttl)
	}
	cuttable.Renew = func(call context.Context, lease int64) (time.Duration, error) {
		if err := cutError(); err != nil {
			return 0, err
		}
		return store.Renew(call, lease)
	}
	cuttable.Revoke = func(call context.Context, lease int64) error {
		if err := cutError(); err != nil {
			return err
		}
		return store.Revoke(call, lease)
	}
	return cuttable, func() { cut(errors.New("the host is cut off from the store")) }
}
