package jobservice_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/jobservice"
	"egretdrum.example/kv"
)

// Guards against calls that each hold all jobs of the store at the same time, and against one that
// waits for its turn beyond the time of its caller.
func TestListsAreReadOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(t)
		defer h.stop()
		reads, most := 0, 0
		scan := h.service.Store.Range
		h.service.Store.Range = func(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
			reads++
			defer func() { reads-- }()
			most = max(most, reads)
			time.Sleep(500 * time.Millisecond)
			return scan(ctx, prefix)
		}
		outcomes := make(chan jobservice.Outcome, 3)
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				call := &jobservice.Call{Queue: "rounds", Key: "k1", Timeout: 2 * time.Second}
				target, _ := h.service.Resolve(call)
				_, a := h.service.List(t.Context(), call, target)
				outcomes <- a.Outcome
			})
		}
		wg.Wait()
		qt.Assert(t, most, qt.Equals, 1)
		qt.Assert(t, []jobservice.Outcome{<-outcomes, <-outcomes, <-outcomes}, qt.DeepEquals,
			[]jobservice.Outcome{jobservice.Shown, jobservice.Refused, jobservice.Shown})
	})
}
