package subscription_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"egretdrum.example/catalog"
	"egretdrum.example/kv"
	"egretdrum.example/subscription"
	"egretdrum.example/transfer"
)

const configKey = "op/config"

var errCut = &kv.UnavailableError{Cause: errors.New("injected")}

// read is a call for a range or a watch after a revision.
type read struct {
	at    time.Duration
	watch bool
	after int64
}

// follow runs a subscription for the given time and returns the reads that it makes. The functions
// answer its ranges and the watch with the given number; later watches wait for their whole time.
func follow(t *testing.T, d time.Duration, list func(ctx context.Context) ([]kv.Item, int64, error), watch func(ctx context.Context, n int) ([]kv.Event, int64, error), check func(*subscription.Subscription)) (reads []read) {
	synctest.Test(t, func(t *testing.T) {
		started, watches := time.Now(), 0
		store := kv.Store{
			Range: func(ctx context.Context, _ string) ([]kv.Item, int64, error) {
				reads = append(reads, read{at: time.Since(started)})
				return list(ctx)
			},
			Watch: func(ctx context.Context, _ string, after int64, _ time.Duration) ([]kv.Event, int64, error) {
				reads = append(reads, read{time.Since(started), true, after})
				watches++
				return watch(ctx, watches)
			},
		}
		s := subscription.New(store, "op/", configKey, func(item kv.Item) (subscription.OperatorItem, error) {
			return subscription.OperatorItem{Catalog: &catalog.Catalog{Version: item.Revision}}, nil
		}, zap.NewNop())
		s.Now = func() time.Duration { return time.Since(started) }
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); s.Run(ctx) }()
		time.Sleep(d)
		synctest.Wait()
		check(s)
		cancel()
		<-ended
	})
	return reads
}

func silent(ctx context.Context) error {
	<-ctx.Done()
	return &kv.UnavailableError{Cause: ctx.Err()}
}

func config(revision int64) kv.Item { return kv.Item{Key: configKey, Revision: revision} }

func listed(context.Context) ([]kv.Item, int64, error) { return []kv.Item{config(5)}, 5, nil }

func assertRevision(t *testing.T, s *subscription.Subscription, want int64) {
	_, revision, _ := s.Current()
	qt.Check(t, revision, qt.Equals, want)
}

// Guards against a full read after a watch that was cut although the history has the change, against a
// watch that is repeated for ever, and against a silent store that is noticed later than before.
func TestFailedWatches(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name     string
		watch    func(ctx context.Context, n int) ([]kv.Event, int64, error)
		revision int64
		want     []read
	}{
		{"cut", func(ctx context.Context, n int) ([]kv.Event, int64, error) {
			switch n {
			case 1:
				return nil, 0, errCut
			case 2:
				return []kv.Event{{Item: config(7)}}, 8, nil
			}
			return nil, 0, silent(ctx)
		}, 7, []read{{0, false, 0}, {0, true, 5}, {100 * ms, true, 5}, {100 * ms, true, 8}}},
		{"cut twice", func(ctx context.Context, n int) ([]kv.Event, int64, error) {
			if n <= 2 {
				return nil, 0, errCut
			}
			return nil, 0, silent(ctx)
		}, 5, []read{{0, false, 0}, {0, true, 5}, {100 * ms, true, 5}, {200 * ms, false, 0}, {200 * ms, true, 5}}},
		{"too large", func(ctx context.Context, n int) ([]kv.Event, int64, error) {
			if n == 1 {
				return nil, 0, &kv.UnavailableError{Cause: kv.ErrTooLarge}
			}
			return nil, 0, silent(ctx)
		}, 5, []read{{0, false, 0}, {0, true, 5}, {100 * ms, false, 0}, {100 * ms, true, 5}}},
		{"silent", func(ctx context.Context, _ int) ([]kv.Event, int64, error) {
			return nil, 0, silent(ctx)
		}, 5, []read{{0, false, 0}, {0, true, 5}, {1900 * ms, false, 0}, {1900 * ms, true, 5}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			reads := follow(t, 1900*ms, listed, test.watch, func(s *subscription.Subscription) { assertRevision(t, s, test.revision) })
			qt.Assert(t, len(reads), qt.Equals, len(test.want), qt.Commentf("%v", reads))
			for i := range reads {
				qt.Check(t, reads[i], qt.Equals, test.want[i])
			}
		})
	}
}

// Guards against a silent read that is noticed later than before, and against a configuration that is
// given up because a later page of the range was lost.
func TestSilentRead(t *testing.T) {
	reads := follow(t, 900*time.Millisecond, func(ctx context.Context) ([]kv.Item, int64, error) {
		return []kv.Item{config(5)}, 0, silent(ctx)
	}, nil, func(s *subscription.Subscription) { assertRevision(t, s, 5) })
	qt.Assert(t, len(reads), qt.Equals, 2)
	qt.Assert(t, reads[1].at, qt.Equals, 900*time.Millisecond)
}

// Guards against a host that serves callers although it has been reading a change for long, and against
// one that does not after it has read it.
func TestBehind(t *testing.T) {
	for d, want := range map[time.Duration]bool{1900 * time.Millisecond: false, 2100 * time.Millisecond: true, 3100 * time.Millisecond: false} {
		follow(t, d, func(ctx context.Context) ([]kv.Item, int64, error) {
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				transfer.Report(ctx)
			}
			return listed(ctx)
		}, func(ctx context.Context, _ int) ([]kv.Event, int64, error) { return nil, 0, silent(ctx) },
			func(s *subscription.Subscription) { qt.Check(t, s.Behind(), qt.Equals, want) })
	}
}
