package kvfake_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/kv"
	"egretdrum.example/kvfake"
)

// Guards against a history that is kept for ever, or dropped before its time, and against a
// watch that misses dropped changes without notice.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := kvfake.New()
		f.SetRetention(10 * time.Second)
		first := f.Put("a", []byte("1"))
		time.Sleep(9 * time.Second)
		second := f.Put("a", []byte("2"))
		events, revision, err := f.Store().Watch(t.Context(), "a", first-1, 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, events, qt.HasLen, 2)
		qt.Assert(t, revision, qt.Equals, second)
		time.Sleep(2 * time.Second)
		f.Put("b", nil)
		_, _, err = f.Store().Watch(t.Context(), "a", first-1, 0)
		qt.Assert(t, err, qt.Equals, kv.ErrCompacted)
		events, _, err = f.Store().Watch(t.Context(), "a", first, 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, events, qt.HasLen, 1)
	})
}

// Guards against a watch that begins in the middle of the changes of one revision.
func TestWatchAfterRevision(t *testing.T) {
	f := kvfake.New()
	ctx := t.Context()
	revision, err := f.Store().Commit(ctx, kv.Change{Puts: []kv.Put{{Key: "a"}, {Key: "b"}, {Key: "c"}}})
	qt.Assert(t, err, qt.IsNil)
	events, _, err := f.Store().Watch(ctx, "", revision-1, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, events, qt.HasLen, 3)
	f.Put("d", nil)
	events, _, err = f.Store().Watch(ctx, "", revision, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, events, qt.HasLen, 1)
}
