package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/kv"
	"egretdrum.example/storekeys"
	"egretdrum.example/transfer"
)

// Guards against an owner on a slow link that reads all jobs again and again after a failed watch, because
// they do not arrive within the time for a first answer, and against a silent read that is noticed late.
func TestReloadOverSlowLink(t *testing.T) {
	for _, test := range []struct {
		name    string
		parts   int
		arrives bool
		took    time.Duration
	}{
		{"slow", 20, true, 2 * time.Second},
		{"silent", 0, false, watchTimeout},
		{"endless", 1000, false, loadTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &Owner{ctx: t.Context(), Store: kv.Store{Range: func(ctx context.Context, _ string) ([]kv.Item, int64, error) {
					for range test.parts {
						select {
						case <-time.After(100 * time.Millisecond):
							transfer.Report(ctx)
						case <-ctx.Done():
							return nil, 0, ctx.Err()
						}
					}
					if test.parts == 0 {
						<-ctx.Done()
					}
					return nil, 7, ctx.Err()
				}}}
				started := time.Now()
				_, _, ok := o.readRange(storekeys.Submissions)
				qt.Assert(t, ok, qt.Equals, test.arrives)
				qt.Assert(t, time.Since(started), qt.Equals, test.took)
			})
		})
	}
}
