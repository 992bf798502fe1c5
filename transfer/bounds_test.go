package transfer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/transfer"
)

var bounds = transfer.Bounds{First: 800 * time.Millisecond, Silence: 500 * time.Millisecond, Total: 10 * time.Second, MaxBytes: 7}

// Guards against a call that ends while parts of its answer arrive, that goes on without any, or that
// goes on for ever.
// Guards against a call that waits for longer than its bounds, or that ends while parts arrive within them.
func TestBounds(t *testing.T) {
	for _, test := range []struct {
		name  string
		parts int
		ended time.Duration
	}{
		{"silent", 0, 800 * time.Millisecond},
		{"silent after some parts", 5, 2550 * time.Millisecond},
		{"endless", 1000, 10 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started, seen := time.Now(), 0
				ctx, cancel := bounds.Context(transfer.Observe(t.Context(), func() { seen++ }))
				defer cancel()
				for range test.parts {
					time.Sleep(410 * time.Millisecond)
					if ctx.Err() != nil {
						break
					}
					transfer.Report(ctx)
				}
				<-ctx.Done()
				qt.Assert(t, seen, qt.Equals, min(test.parts, 24))
				qt.Assert(t, ctx.Err(), qt.Equals, context.DeadlineExceeded)
				if test.parts < 1000 {
					qt.Assert(t, time.Since(started), qt.Equals, test.ended)
				}
			})
		})
	}
	ctx, cancel := bounds.Context(t.Context())
	cancel()
	qt.Assert(t, ctx.Err(), qt.Equals, context.Canceled)
	qt.Assert(t, transfer.MaxBytes(ctx, 9), qt.Equals, int64(7))
	qt.Assert(t, transfer.MaxBytes(t.Context(), 9), qt.Equals, int64(9))
	transfer.Report(t.Context())
}
