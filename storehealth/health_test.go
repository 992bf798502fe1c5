package storehealth_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/kv"
	"egretdrum.example/kvfake"
	"egretdrum.example/storehealth"
	"egretdrum.example/transfer"
)

// observed returns a fake store and its calls as a health observes them.
func observed() (*kvfake.Fake, *storehealth.Health, kv.Store) {
	f, h := kvfake.New(), new(storehealth.Health)
	f.SetDelay(4 * time.Millisecond)
	return f, h, h.Observe(f.Store())
}

// commit makes a change that gets the given fault and has an answer time-out.
func commit(f *kvfake.Fake, store kv.Store, fault kvfake.Fault, timeout time.Duration) {
	f.SetFault(func(string) kvfake.Fault { return fault })
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, _ = store.Commit(ctx, kv.Change{}) // the health has the outcome
}

// Guards against a store that is taken for silent because it is slow, or because one answer was lost,
// and against silence that is noticed only by the time-out of the call.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, h, store := observed()
		commit(f, store, kvfake.Answered, time.Second)
		f.SetDelay(330 * time.Millisecond)
		// The usual time-outs give up calls of a store that has just become slow.
		for _, timeout := range []time.Duration{150 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
			commit(f, store, kvfake.Answered, timeout)
			qt.Assert(t, h.Serves(), qt.IsTrue)
		}
		f.SetDelay(0)
		commit(f, store, kvfake.Unanswered, 150*time.Millisecond)
		qt.Assert(t, h.Serves(), qt.IsTrue)
		ended := make(chan struct{})
		go func() { defer close(ended); commit(f, store, kvfake.Unanswered, 5*time.Second) }()
		defer func() { <-ended }()
		time.Sleep(899 * time.Millisecond) // the store was slow a moment ago
		qt.Assert(t, h.Serves(), qt.IsTrue)
		time.Sleep(2 * time.Millisecond)
		qt.Assert(t, h.Serves(), qt.IsFalse)
		commit(f, store, kvfake.Answered, time.Second)
		qt.Assert(t, h.Serves(), qt.IsTrue)
	})
}

// Guards against a watch that is taken for unanswered during its own wait, and against a silent store
// that is not noticed while a host makes no other calls.
func TestWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, h, store := observed()
		commit(f, store, kvfake.Answered, time.Second)
		f.SetFault(func(string) kvfake.Fault { return kvfake.Unanswered })
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _, _, _ = store.Watch(ctx, "op/", 0, time.Second) }()
		time.Sleep(1400 * time.Millisecond)
		qt.Assert(t, h.Serves(), qt.IsTrue)
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, h.Serves(), qt.IsFalse)
	})
}

// Guards against a host that sends further writes to a store that turns it away, and against callers
// that give up and are taken for refusals of the store.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, h, store := observed()
		commit(f, store, kvfake.Refused, time.Second)
		qt.Assert(t, h.Serves(), qt.IsFalse)
		<-h.Doubted()
		commit(f, store, kvfake.Answered, time.Second)
		qt.Assert(t, h.Serves(), qt.IsTrue)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		f.SetFault(func(string) kvfake.Fault { return kvfake.Refused })
		f.SetDelay(0)
		_, err := store.Commit(ctx, kv.Change{})
		qt.Assert(t, kv.NotApplied(err), qt.IsTrue)
		qt.Assert(t, h.Serves(), qt.IsTrue)
	})
}

// Guards against a host that avoids the store because the store has rejected a change for its content.
func TestRejectionIsAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, h, store := observed()
		f.SetMaxValueBytes(1)
		_, err := store.Commit(t.Context(), kv.Change{Puts: []kv.Put{{Key: "k", Value: []byte("large")}}})
		qt.Assert(t, kv.Rejected(err), qt.IsTrue)
		qt.Assert(t, h.Serves(), qt.IsTrue)
	})
}

// Guards against a host that takes the store for silent because the answer to one watch was lost: the
// doubt comes early enough for a probe.
func TestLateWatchIsDoubted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, h, store := observed()
		commit(f, store, kvfake.Answered, time.Second)
		f.SetFault(func(string) kvfake.Fault { return kvfake.Unanswered })
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _, _, _ = store.Watch(ctx, "op/", 0, time.Second) }()
		defer func() { cancel(); <-ended }()
		time.Sleep(1399 * time.Millisecond)
		select {
		case <-h.Doubted():
		default:
			t.Error("a late watch is not doubted")
		}
		qt.Assert(t, h.Serves(), qt.IsTrue)
	})
}

// Guards against a store that is taken for silent while a large answer arrives over a slow link.
func TestArrivingAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := new(storehealth.Health)
		store := h.Observe(kv.Store{Range: func(ctx context.Context, _ string) ([]kv.Item, int64, error) {
			for range 50 {
				time.Sleep(100 * time.Millisecond)
				transfer.Report(ctx)
				qt.Check(t, h.Serves(), qt.IsTrue)
			}
			return nil, 0, &kv.UnavailableError{Cause: kv.ErrTooLarge}
		}})
		_, _, err := store.Range(t.Context(), "op/")
		qt.Assert(t, errors.Is(err, kv.ErrTooLarge), qt.IsTrue)
		select {
		case <-h.Doubted():
			t.Error("an answer raised a doubt")
		default:
		}
	})
}
