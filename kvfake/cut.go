package kvfake

import (
	"context"
	"errors"
	"time"

	"egretdrum.example/kv"
)

// Cuttable returns the store for one host, with a switch that cuts the host off: its
// further calls fail and do nothing.
func (f *Fake) Cuttable() (kv.Store, func()) {
	s := f.Store()
	ctx, cut := context.WithCancelCause(context.Background())
	failed := func() error { return context.Cause(ctx) }
	c := s
	c.Get = func(call context.Context, key string) (kv.Item, error) {
		if err := failed(); err != nil {
			return kv.Item{}, err
		}
		return s.Get(call, key)
	}
	c.Range = func(call context.Context, prefix string) ([]kv.Item, int64, error) {
		if err := failed(); err != nil {
			return nil, 0, err
		}
		return s.Range(call, prefix)
	}
	c.Watch = func(call context.Context, prefix string, after int64, d time.Duration) ([]kv.Event, int64, error) {
		if err := failed(); err != nil {
			return nil, 0, err
		}
		return s.Watch(call, prefix, after, d)
	}
	c.Commit = func(call context.Context, change kv.Change) (int64, error) {
		if err := failed(); err != nil {
			return 0, err
		}
		return s.Commit(call, change)
	}
	c.Grant = func(call context.Context, ttl time.Duration) (int64, time.Duration, error) {
		if err := failed(); err != nil {
			return 0, 0, err
		}
		return s.Grant(call, ttl)
	}
	c.Renew = func(call context.Context, lease int64) (time.Duration, error) {
		if err := failed(); err != nil {
			return 0, err
		}
		return s.Renew(call, lease)
	}
	c.Revoke = func(call context.Context, lease int64) error {
		if err := failed(); err != nil {
			return err
		}
		return s.Revoke(call, lease)
	}
	return c, func() { cut(errors.New("the host is cut off from the store")) }
}
