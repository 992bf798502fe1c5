package ownerlink

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/storekeys"
)

const (
	// relayTimeout is the longest wait for the outcome of a relayed change: the owner's own
	// time-out for a commit, and the way there and back.
	relayTimeout = 1200 * time.Millisecond
	// maxRelayedBytes is above the largest submission; maxConflictBytes keeps the answer to a
	// conflict from holding up the answers to queries, which have queryTimeout, on a slow link.
	maxRelayedBytes  = 512 << 10
	maxConflictBytes = 128 << 10
	// largeConflictBytes is above small configurations. Larger ones are sent to a host once in
	// largeConflictInterval: all its changes conflict with the same configuration, and the answers to
	// them would fill the queue of its link.
	largeConflictBytes    = 8 << 10
	largeConflictInterval = 200 * time.Millisecond
)

// Errors of relayed changes.
var (
	errNoLink       = errors.New("no link to the owner")
	errQueueFull    = errors.New("the link to the owner is busy")
	errTooLarge     = errors.New("the change is too large for the link to the owner")
	errNoRelay      = errors.New("the owner commits no changes for other hosts")
	errLinkEnded    = errors.New("the link to the owner ended before the outcome was known")
	errNoOutcome    = errors.New("the owner did not say in time what became of the change")
	errRelayFailure = errors.New("the owner got no answer from the store")
)

// relayedChange is a kv.Change that the owner commits for another host.
type relayedChange struct {
	Conditions []relayedItem `cbor:"1,keyasint,omitempty"`
	Puts       []relayedItem `cbor:"2,keyasint,omitempty"`
	Deletes    []string      `cbor:"3,keyasint,omitempty"`
	// WithinMillis is how long the host waits for the outcome.
	WithinMillis int64 `cbor:"4,keyasint,omitempty"`
}

// relayedItem is a condition, a put or the current item of a condition.
type relayedItem struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint,omitempty"`
	Lease    int64  `cbor:"4,keyasint,omitempty"`
}

// relayOutcome is the outcome of a relayed change, which is unknown if no field is set.
type relayOutcome struct {
	// Revision is set if the change was applied.
	Revision int64 `cbor:"1,keyasint,omitempty"`
	// Conflict is set if a condition does not hold; Items are the current items, without values
	// that do not fit into a message.
	Conflict bool          `cbor:"2,keyasint,omitempty"`
	Items    []relayedItem `cbor:"3,keyasint,omitempty"`
	// NotApplied says why the change certainly had no effect and will have none.
	NotApplied string `cbor:"4,keyasint,omitempty"`
}

func newRelayedChange(c kv.Change, within time.Duration) *relayedChange {
	r := &relayedChange{Deletes: c.Deletes, WithinMillis: within.Milliseconds()}
	for _, cond := range c.Conditions {
		r.Conditions = append(r.Conditions, relayedItem{Key: cond.Key, Revision: cond.Revision})
	}
	for _, p := range c.Puts {
		r.Puts = append(r.Puts, relayedItem{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	return r
}

func (r *relayedChange) change() kv.Change {
	c := kv.Change{Deletes: r.Deletes}
	for _, i := range r.Conditions {
		c.Conditions = append(c.Conditions, kv.Condition{Key: i.Key, Revision: i.Revision})
	}
	for _, i := range r.Puts {
		// An empty value is left out of the message; the store distinguishes it from none.
		c.Puts = append(c.Puts, kv.Put{Key: i.Key, Value: append([]byte{}, i.Value...), Lease: i.Lease})
	}
	return c
}

// newRelayOutcome returns the outcome for the result of a commit.
func newRelayOutcome(revision int64, err error) *relayOutcome {
	var conflict *kv.ConflictError
	switch {
	case err == nil:
		return &relayOutcome{Revision: revision}
	case errors.As(err, &conflict):
		return newConflict(conflict.Items)
	case kv.NotApplied(err):
		return &relayOutcome{NotApplied: err.Error()}
	}
	return &relayOutcome{}
}

// newConflict returns the outcome of a change that conflicts with items. The host must learn that an
// item exists even if its value is too large; the values of submissions come first.
func newConflict(items []kv.Item) *relayOutcome {
	o, size := &relayOutcome{Conflict: true}, 0
	for _, submissions := range []bool{true, false} {
		for _, i := range items {
			if strings.HasPrefix(i.Key, storekeys.Submissions) != submissions {
				continue
			}
			if size += len(i.Value); size > maxConflictBytes {
				size -= len(i.Value)
				i.Value = nil
			}
			o.Items = append(o.Items, relayedItem{i.Key, i.Value, i.Revision, i.Lease})
		}
	}
	return o
}

// result returns the outcome as the result of a commit.
func (o *relayOutcome) result() (int64, error) {
	switch {
	case o == nil:
		return 0, notApplied(errNoRelay)
	case o.Conflict:
		conflict := &kv.ConflictError{}
		for _, i := range o.Items {
			conflict.Items = append(conflict.Items, kv.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Lease: i.Lease})
		}
		return 0, conflict
	case o.Revision > 0:
		return o.Revision, nil
	case o.NotApplied != "":
		return 0, notApplied(errors.New(o.NotApplied))
	}
	return 0, &kv.UnavailableError{Cause: errRelayFailure}
}

func notApplied(cause error) error { return &kv.UnavailableError{NotApplied: true, Cause: cause} }

// relays holds the channels for the outcomes of relayed changes by the IDs of their messages. The
// mutex of the connection guards it.
type relays struct {
	pending map[uint64]chan *reply
	ended   bool
}

// answer passes on the reply to a relayed change.
func (r *relays) answer(to *reply) {
	if outcome := r.pending[to.ID]; outcome != nil {
		delete(r.pending, to.ID)
		outcome <- to
	}
}

// end closes the channels of the changes whose outcomes will not arrive any more.
func (r *relays) end() {
	r.ended = true
	for id, outcome := range r.pending {
		delete(r.pending, id)
		close(outcome)
	}
}

// Commit has the owner commit a change, and returns the result of kv.Store.Commit. Without a link the
// change is not applied; without an outcome from the owner it is unknown whether it is.
func (l *Link) Commit(ctx context.Context, change kv.Change) (int64, error) {
	c := l.current()
	if c == nil {
		return 0, notApplied(errNoLink)
	}
	if err := ctx.Err(); err != nil {
		return 0, notApplied(err)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	outcome := make(chan *reply, 1)
	id, err := c.sendChange(newRelayedChange(change, time.Until(deadline)), outcome)
	if err != nil {
		return 0, notApplied(err)
	}
	select {
	case r, ok := <-outcome:
		if !ok {
			return 0, &kv.UnavailableError{Cause: errLinkEnded}
		}
		return r.Outcome.result()
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.relays.pending, id)
		return 0, &kv.UnavailableError{Cause: errNoOutcome}
	}
}

// sendChange queues the message with a change. After an error it is certainly not sent.
func (c *connection) sendChange(change *relayedChange, outcome chan *reply) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relays.ended {
		return 0, errNoLink
	}
	c.lastID++
	b, err := cbor.Marshal(message{ID: c.lastID, Change: change})
	switch {
	case err != nil:
		return 0, err
	case len(b) > maxRelayedBytes:
		return 0, errTooLarge
	}
	select {
	case c.outgoing <- b:
	default:
		return 0, errQueueFull
	}
	if c.relays.pending == nil {
		c.relays.pending = make(map[uint64]chan *reply)
	}
	c.relays.pending[c.lastID] = outcome
	return c.lastID, nil
}

// conflictLimit limits the large items that are sent over one link.
type conflictLimit struct {
	mu   sync.Mutex
	sent time.Time
}

// apply removes the large values of other items than submissions if such a value was sent a moment ago.
func (l *conflictLimit) apply(o *relayOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for i := range o.Items {
		item := &o.Items[i]
		if len(item.Value) <= largeConflictBytes || strings.HasPrefix(item.Key, storekeys.Submissions) {
			continue
		}
		if now.Sub(l.sent) < largeConflictInterval {
			item.Value = nil
			continue
		}
		l.sent = now
	}
}

// commit has a change committed and sends the outcome to the host.
func (s *Server) commit(id uint64, change *relayedChange, limit *conflictLimit, out chan<- []byte) {
	reply := func(revision int64, err error) {
		outcome := newRelayOutcome(revision, err)
		limit.apply(outcome)
		b, err := cbor.Marshal(reply{ID: id, Outcome: outcome})
		if err != nil {
			s.Log.Error("outcome-not-encoded", zap.Error(err))
			return
		}
		select {
		case out <- b:
		default:
			// The queue is full. The host takes the outcome for unknown after its time-out.
		}
	}
	if s.Commit == nil {
		reply(0, notApplied(errNoRelay))
		return
	}
	s.Commit(change.change(), time.Duration(change.WithinMillis)*time.Millisecond, reply)
}
