package scheduler

import "sync/atomic"

// claim records whether a start or a stop was sent, and with which fencing token. It is shared between
// the scheduler and the goroutine that sends the call. If another call to the worker is not answered, the
// token of the worker rises. An unsent call then takes the new token, as the worker could reject the old
// one.
type claim struct{ state atomic.Int64 }

// The states of a claim besides the fencing token with which the call was sent.
const (
	unsent    = 0
	withdrawn = -1
)

// markSent sets the fencing token of a call that is about to be sent, and reports whether the call is
// still wanted.
func (c *claim) markSent(fence int64) bool { return c.state.CompareAndSwap(unsent, fence) }

// withdraw prevents an unsent call from being sent, and reports whether it did.
func (c *claim) withdraw() bool { return c.state.CompareAndSwap(unsent, withdrawn) }

// sent reports whether the start was sent.
func (c *claim) sent() bool { return c.state.Load() > unsent }

// setFence sets the fencing token of a run that this owner has not started.
func (c *claim) setFence(fence int64) { c.state.Store(fence) }

// sentBelow reports whether the start was sent with a lower fencing token.
func (c *claim) sentBelow(fence int64) bool {
	state := c.state.Load()
	return state > unsent && state < fence
}
