package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/kvfake"
	"egretdrum.example/storekeys"
)

// lateStore is a store that does not answer its first change and carries it out only when told.
type lateStore struct {
	*kvfake.Fake
	late *kv.Change
}

func (s *lateStore) store() kv.Store {
	store := s.Store()
	commit := store.Commit
	store.Commit = func(ctx context.Context, c kv.Change) (int64, error) {
		if s.late == nil {
			s.late = &c
			return 0, &kv.UnavailableError{Cause: context.DeadlineExceeded}
		}
		return commit(ctx, c)
	}
	return store
}

// carryOut carries out the first change, if its conditions still hold.
func (s *lateStore) carryOut(t *testing.T) {
	t.Helper()
	qt.Assert(t, s.late, qt.IsNotNil)
	if _, err := s.Store().Commit(t.Context(), *s.late); err != nil {
		t.Logf("late change: %v", err)
	}
}

// Guards against a record that is back after its removal, because the store carries out the first
// attempt to write it late: the next owner takes the worker for empty, and a task runs twice. Found by
// the soak.
func TestLateWriteDoesNotRestoreRemovedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateStore{Fake: kvfake.New()}
		term := s.Put(storekeys.Owner, nil)
		w := newKeyWriter(newGuardedKeys(s.store(), term), zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); w.run(ctx, cancel, func(string, []byte) {}) }()
		key := storekeys.UnresponsiveWorker("w0")
		w.set(key, []byte("no runs"))
		time.Sleep(time.Second)
		qt.Assert(t, string(s.Item(key).Value), qt.Equals, "no runs")
		w.set(key, nil)
		time.Sleep(time.Second)
		s.carryOut(t)
		qt.Check(t, s.Item(key).Value, qt.HasLen, 0)
		qt.Check(t, ctx.Err(), qt.IsNil)
		cancel()
		<-done
	})
}

// Guards against an owner that gives up its term, or writes nothing any more, because a change of its
// own took effect without an answer.
func TestRepeatedChangeOfGuardedKeys(t *testing.T) {
	s := &lateStore{Fake: kvfake.New()}
	keys := newGuardedKeys(s.store(), s.Put(storekeys.Owner, nil))
	put := []kv.Put{{Key: "a", Value: []byte("1")}}
	qt.Assert(t, keys.commit(t.Context(), put, nil), qt.IsNotNil)
	s.carryOut(t)
	qt.Assert(t, keys.commit(t.Context(), put, nil), qt.IsNil)
	qt.Assert(t, keys.commit(t.Context(), []kv.Put{{Key: "a", Value: []byte("2")}}, nil), qt.IsNil)
	qt.Assert(t, keys.commit(t.Context(), []kv.Put{{Key: "b", Value: []byte("1")}}, nil), qt.IsNil)
	qt.Assert(t, keys.commit(t.Context(), nil, []string{"a", "b"}), qt.IsNil)
	qt.Assert(t, s.Item("a").Value, qt.HasLen, 0)
	qt.Assert(t, s.Item("b").Revision, qt.Equals, int64(0))
	s.Put(storekeys.Owner, nil)
	var replaced *ownerReplacedError
	qt.Assert(t, keys.commit(t.Context(), put, nil), qt.ErrorAs, &replaced)
}

// Guards against the state of a wave that falls back to an earlier one, by which a next owner orders
// more machines to maintenance than may be absent.
func TestLateWriteDoesNotRevertWave(t *testing.T) {
	s := &lateStore{Fake: kvfake.New()}
	keys := newGuardedKeys(s.store(), s.Put(storekeys.Owner, nil))
	wave := func(state string) []kv.Put {
		return []kv.Put{{Key: storekeys.Wave(1), Value: []byte(state)}, {Key: "status/1", Value: []byte(state)}}
	}
	qt.Assert(t, keys.commit(t.Context(), wave("one begun"), nil), qt.IsNotNil)
	qt.Assert(t, keys.commit(t.Context(), wave("one begun"), nil), qt.IsNil)
	qt.Assert(t, keys.commit(t.Context(), wave("two begun"), nil), qt.IsNil)
	s.carryOut(t)
	qt.Assert(t, string(s.Item(storekeys.Wave(1)).Value), qt.Equals, "two begun")
}
