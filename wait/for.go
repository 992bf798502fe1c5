// Package wait pauses a goroutine until a time has passed or its context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports true, or reports false as soon as ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
