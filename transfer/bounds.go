// Package transfer bounds a call whose answer may be large by what arrives of it, instead of by one
// time-out for the whole answer.
package transfer

import (
	"context"
	"fmt"
	"time"
)

// Bounds are the bounds of a call. The adapter that makes the call reports what arrives with Report.
type Bounds struct {
	// First is the longest wait for the first part of the answer, Silence that between parts, and
	// Total the longest time of the whole call.
	First, Silence, Total time.Duration
	// MaxBytes is the largest answer that is wanted, zero if the adapter decides.
	MaxBytes int64
}

type (
	observerKey struct{}
	maxBytesKey struct{}
)

// errSilent is the cause of the end of a call of which nothing more arrived.
var errSilent = fmt.Errorf("no further part of the answer arrived in time: %w", context.DeadlineExceeded)

// bounded is a context that ends when nothing has arrived for too long.
type bounded struct{ context.Context }

// Err returns context.DeadlineExceeded for a silent call, as for one whose total time is over.
func (c *bounded) Err() error {
	if err := c.Context.Err(); err == nil || context.Cause(c.Context) != errSilent {
		return err
	}
	return context.DeadlineExceeded
}

// Context returns a context for a call with the bounds.
func (b Bounds) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancelTotal := context.WithTimeout(ctx, b.Total)
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(b.First, func() { cancel(errSilent) })
	ctx = Observe(ctx, func() { timer.Reset(b.Silence) })
	if b.MaxBytes > 0 {
		ctx = context.WithValue(ctx, maxBytesKey{}, b.MaxBytes)
	}
	return &bounded{ctx}, func() { timer.Stop(); cancel(nil); cancelTotal() }
}

// Observe returns a context whose reported parts are passed to arrived, and to the observers of ctx.
func Observe(ctx context.Context, arrived func()) context.Context {
	outer := observer(ctx)
	return context.WithValue(ctx, observerKey{}, func() { arrived(); outer() })
}

// Report reports that a part of the answer to the call with the context ctx has arrived.
func Report(ctx context.Context) { observer(ctx)() }

func observer(ctx context.Context) func() {
	if f, ok := ctx.Value(observerKey{}).(func()); ok {
		return f
	}
	return func() {}
}

// MaxBytes returns the largest answer that the caller wants, at most the limit of the adapter.
func MaxBytes(ctx context.Context, limit int64) int64 {
	if n, ok := ctx.Value(maxBytesKey{}).(int64); ok {
		return min(n, limit)
	}
	return limit
}
