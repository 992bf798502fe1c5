package dispatch

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"egretdrum.example/kvfake"
	"egretdrum.example/scheduler"
	"egretdrum.example/storekeys"
)

// maxTestValue is the largest value that the store of these tests accepts, in bytes.
const maxTestValue = 100

var tooLarge = bytes.Repeat([]byte("x"), maxTestValue+1)

// runKeyWriter runs a key writer on a store that rejects large values, until f returns.
func runKeyWriter(t *testing.T, f func(store *kvfake.Fake, w *keyWriter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := kvfake.New()
		term := store.Put(storekeys.Owner, nil)
		store.SetMaxValueBytes(maxTestValue)
		w := newKeyWriter(newGuardedKeys(store.Store(), term), zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); w.run(ctx, cancel, func(string, []byte) {}) }()
		f(store, w)
		qt.Check(t, ctx.Err(), qt.IsNil, qt.Commentf("the term has ended"))
		cancel()
		<-done
	})
}

// Guards against records that wait for one which the store rejects however often it is written.
func TestRejectedValueDoesNotHoldUpOthers(t *testing.T) {
	runKeyWriter(t, func(store *kvfake.Fake, w *keyWriter) {
		w.set(storekeys.UnresponsiveWorker("w0"), tooLarge)
		w.set(storekeys.UnresponsiveWorker("w1"), []byte("runs"))
		w.set(storekeys.PoolUse, []byte("pools"))
		time.Sleep(time.Second)
		qt.Check(t, string(store.Item(storekeys.UnresponsiveWorker("w1")).Value), qt.Equals, "runs")
		qt.Check(t, string(store.Item(storekeys.PoolUse).Value), qt.Equals, "pools")
		qt.Check(t, store.Item(storekeys.UnresponsiveWorker("w0")).Revision, qt.Equals, int64(0))
		calls := store.Calls("commit")
		time.Sleep(time.Minute)
		qt.Check(t, store.Calls("commit"), qt.Equals, calls)
	})
}

// Guards against an outdated record that stays stored because the store rejects its replacement.
func TestRejectedValueRemovesTheEarlierOne(t *testing.T) {
	runKeyWriter(t, func(store *kvfake.Fake, w *keyWriter) {
		key := storekeys.UnresponsiveWorker("w0")
		w.set(key, []byte("runs"))
		time.Sleep(time.Second)
		qt.Check(t, string(store.Item(key).Value), qt.Equals, "runs")
		w.set(key, tooLarge)
		time.Sleep(time.Second)
		qt.Check(t, store.Item(key).Revision, qt.Equals, int64(0))
		w.set(key, []byte("fewer"))
		time.Sleep(time.Second)
		qt.Check(t, string(store.Item(key).Value), qt.Equals, "fewer")
	})
}

// Guards against queues that never start because the record of the pools in use is too large: without a
// record, the next owner holds back all queues, so that tasks may start.
func TestRejectedPoolUseCountsAsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvfake.New()
		term := store.Put(storekeys.Owner, nil)
		store.SetMaxValueBytes(maxTestValue)
		w := newKeyWriter(newGuardedKeys(store.Store(), term), zap.NewNop())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var written [][]byte
		w.set(storekeys.PoolUse, tooLarge)
		w.run(ctx, cancel, func(_ string, value []byte) { written = append(written, value) })
		qt.Check(t, written, qt.DeepEquals, [][]byte{tooLarge})
		qt.Check(t, store.Item(storekeys.PoolUse).Revision, qt.Equals, int64(0))
	})
}

// Guards against results that wait for one which the store rejects, or that are reported as durable
// although the store has rejected them.
func TestRejectedResultDoesNotHoldUpOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSaverTest()
		g.store.SetMaxValueBytes(maxTestValue)
		for n := range 3 * maxBatchesInFlight {
			g.saver.add(scheduler.Save{Job: "large" + string(rune('A'+n)), Version: 1, Record: tooLarge})
		}
		g.addFinals(90)
		g.run(t.Context(), 5*time.Second)
		qt.Check(t, g.saved, qt.HasLen, 90)
		qt.Check(t, g.lost.Load(), qt.IsFalse)
	})
}

// Guards against changes that grow with the number of their records.
func TestChangesAreBounded(t *testing.T) {
	large := bytes.Repeat([]byte("x"), maxChangeBytes/2+1)
	w := newKeyWriter(newGuardedKeys(kvfake.New().Store(), 1), zap.NewNop())
	for _, id := range []string{"w0", "w1", "w2"} {
		w.set(storekeys.UnresponsiveWorker(id), large)
	}
	g := newSaverTest()
	for _, id := range []string{"j0", "j1", "j2"} {
		g.saver.add(scheduler.Save{Job: id, Version: 1, Record: large, Final: id == "j0"})
	}
	for range 3 {
		qt.Check(t, w.nextBatch(), qt.HasLen, 1)
		batch, _ := g.saver.nextBatch()
		qt.Check(t, batch, qt.HasLen, 1)
	}
	qt.Check(t, w.nextBatch(), qt.HasLen, 0)
}
