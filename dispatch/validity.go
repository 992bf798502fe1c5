package dispatch

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/wait"
)

// termCheckInterval is the time between two checks of a term that does not allow a call.
const termCheckInterval = 20 * time.Millisecond

// termWait lets all calls that are due while a term does not allow them wait for the same check.
type termWait struct {
	mu sync.Mutex
	// allowed is closed once the term allows the calls again; nil while no call waits.
	allowed chan struct{}
}

// awaitTerm waits until the term is valid, and reports false once it is over.
func (o *Owner) awaitTerm(kind, subject string) bool {
	return o.await(o.termWait, o.term.Valid, kind, subject)
}

// awaitPolls waits until the term allows polls and stops, and reports false once it is over.
func (o *Owner) awaitPolls(kind, subject string) bool {
	return o.await(o.pollWait, o.mayPoll, kind, subject)
}

// await waits until the term allows a call, and reports false once the term is over. Between
// the expiry of a lease and the answer to a renewal that the store has carried out in time, a term
// is not valid for a moment; a call that is dropped then would never be repeated.
func (o *Owner) await(w *termWait, allowed func() bool, kind, subject string) bool {
	for !allowed() {
		select {
		case <-o.allowedAgain(w, allowed, kind, subject):
		case <-o.ctx.Done():
			return false
		}
	}
	return true
}

// allowedAgain returns a channel that is closed once the term allows calls again. Only the first call
// that waits is logged and starts the check.
func (o *Owner) allowedAgain(w *termWait, allowed func() bool, kind, subject string) <-chan struct{} {
	ctx := o.ctx
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.allowed != nil {
		return w.allowed
	}
	again := make(chan struct{})
	w.allowed = again
	if w != o.writeWait {
		// Writes are repeated in any case, so their delay shows in their own log lines.
		o.Log.Warn("call-delayed", zap.String("call", kind), zap.String("subject", subject), zap.Int64("term", o.term.Number))
	}
	o.inBackground("validity", func() {
		for !allowed() {
			if !wait.For(ctx, termCheckInterval) {
				return
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.allowed = nil
		close(again)
	})
	return again
}
