// Package supervision keeps a process running when one of its background tasks panics. It
// logs the panic with its cause and stack; the caller decides what to discard or to restart.
package supervision

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/wait"
)

// restartDelay keeps a task that panics immediately from using up the processor.
const restartDelay = time.Second

// Supervisor runs background tasks of a process. Count, if set, is called with the name of
// the task after each panic.
type Supervisor struct {
	Log   *zap.Logger
	Count func(task string)
}

// Run calls f and reports whether it panicked. After a panic the changes that f made may be
// incomplete; the caller has to discard them.
func (s *Supervisor) Run(task string, f func()) (panicked bool) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		panicked = true
		if s.Count != nil {
			s.Count(task)
		}
		s.Log.Error("part-failed", zap.String("part", task), zap.String("error", fmt.Sprint(cause)), zap.ByteString("stack", debug.Stack()))
	}()
	f()
	return false
}

// RunWithRestart calls f until it returns without a panic or ctx ends. After each panic it
// waits for one second before it calls f again.
func (s *Supervisor) RunWithRestart(ctx context.Context, task string, f func(context.Context)) {
	for ctx.Err() == nil && s.Run(task, func() { f(ctx) }) {
		wait.For(ctx, restartDelay)
	}
}
