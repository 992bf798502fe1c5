package dispatch

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/wait"
)

// termCheckInterval is the time between two checks of a term that is not valid.
const termCheckInterval = 20 * time.Millisecond

// termWait lets all calls that are due while a term is not valid wait for the same check.
type termWait struct {
	mu sync.Mutex
	// valid is closed once the term is valid again; nil while no call waits.
	valid chan struct{}
}

// awaitTerm waits until the term allows a call, and reports false once the term is over. Between
// the expiry of a lease and the answer to a renewal that the store has carried out in time, a term
// is not valid for a moment; a call that is dropped then would never be repeated.
func (o *Owner) awaitTerm(kind, subject string) bool {
	for !o.term.Valid() {
		select {
		case <-o.validAgain(kind, subject):
		case <-o.ctx.Done():
			return false
		}
	}
	return true
}

// validAgain returns a channel that is closed once the term is valid again. Only the first call that
// waits is logged and starts the check.
func (o *Owner) validAgain(kind, subject string) <-chan struct{} {
	w, ctx, term := o.termWait, o.ctx, o.term
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.valid != nil {
		return w.valid
	}
	valid := make(chan struct{})
	w.valid = valid
	o.Log.Warn("call-delayed", zap.String("call", kind), zap.String("subject", subject), zap.Int64("term", term.Number))
	o.inBackground("validity", func() {
		for !term.Valid() {
			if !wait.For(ctx, termCheckInterval) {
				return
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.valid = nil
		close(valid)
	})
	return valid
}
