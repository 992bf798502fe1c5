package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"egretdrum.example/kvfake"
	"egretdrum.example/layout"
	"egretdrum.example/scheduler"
)

// saving runs a saver on a store whose owner is the given term.
type saving struct {
	store *kvfake.Fake
	saver *saver
	lost  bool
	saved map[string]int
}

func newSaving() *saving {
	g := &saving{store: kvfake.New(), saved: make(map[string]int)}
	term := g.store.Put(layout.Owner, nil)
	g.saver = newSaver(g.store.Store(), term, zap.NewNop())
	return g
}

func (g *saving) run(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	saved := make(chan string, saveQueue)
	g.saver.run(ctx, func() { g.lost = true; cancel() }, func(id string, _ int, _ bool) { saved <- id })
	close(saved)
	for id := range saved {
		g.saved[id]++
	}
}

func (g *saving) queue(n int) {
	for i := range n {
		g.saver.queue <- scheduler.Save{Job: fmt.Sprintf("j%d", i), Version: 1, Record: fmt.Appendf(nil, "record %d", i)}
	}
}

// Guards against results that wait for each other when the store is slow: 90 jobs end in a
// burst while each answer takes 330 ms. One batch after the other would take two seconds.
func TestBurstOfResultsOnSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSaving()
		g.store.SetDelay(330 * time.Millisecond)
		g.queue(90)
		g.run(t.Context(), 700*time.Millisecond)
		qt.Assert(t, g.saved, qt.HasLen, 90)
	})
}

// Guards against a call for each result when many come together.
func TestResultsShareChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSaving()
		g.queue(45)
		g.run(t.Context(), time.Second)
		qt.Assert(t, g.saved, qt.HasLen, 45)
		qt.Assert(t, g.store.Calls("commit"), qt.Equals, 3)
	})
}

// Guards against results of an owner that has been replaced.
func TestReplacedOwnerSavesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSaving()
		g.store.Put(layout.Owner, nil)
		g.queue(1)
		g.run(t.Context(), time.Second)
		qt.Assert(t, g.lost, qt.IsTrue)
		qt.Assert(t, g.store.Item(layout.Result("j0")).Revision, qt.Equals, int64(0))
	})
}

// Guards against a result that is taken for lost, or written twice, when only the answer
// of the store was lost.
func TestLostAnswerOfResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSaving()
		commits := 0
		g.store.SetFault(func(call string) kvfake.Fault {
			if call == "commit" {
				if commits++; commits == 1 {
					return kvfake.AnswerLost
				}
			}
			return kvfake.Answered
		})
		g.queue(2)
		g.run(t.Context(), time.Second)
		qt.Assert(t, g.lost, qt.IsFalse)
		qt.Assert(t, g.saved, qt.DeepEquals, map[string]int{"j0": 1, "j1": 1})
	})
}
