package election

import (
	"sync"
	"time"
)

// expiryMargin ends the full rights of a term before its lease expires, to leave time for requests
// that are being sent.
const expiryMargin = 200 * time.Millisecond

// Term is one period of ownership of this host. While its lease is confirmed, it has full rights.
// Once the store has not confirmed the lease in time, some rights last longer: a successor can't have
// begun before the lease has ended, and waits for the runs that it does not know.
type Term struct {
	// Number is the revision of the store at which this host created the owner's key. It is
	// higher than that of all earlier terms of any host and can be compared with the revisions
	// of stored items.
	Number int64
	// Token authenticates links to the owner: it is known only to hosts that can read the
	// store.
	Token []byte
	// Lease is the lease of the owner's key. Keys under it are gone when the term is over.
	Lease int64

	now func() time.Duration
	mu  sync.Mutex
	// confirmed is when the last renewal that the store has carried out was sent, until the end of the
	// lease that it gave.
	confirmed, until time.Duration
	// pollsFor is how long polls may go on after the end of the lease, startsFor how long starts may
	// after the last confirmation; zero without such rights.
	pollsFor, startsFor time.Duration
	// released is set once the lease is given up. It is not confirmed any more then.
	released bool
	// ended is why the term is over for good, empty while it is not.
	ended string
}

// NewTerm returns a term whose lease expires at a time of the given clock.
func NewTerm(number int64, now func() time.Duration, until time.Duration) *Term {
	return &Term{Number: number, now: now, confirmed: now(), until: until}
}

// SetContinuation sets how long polls may go on after the end of the lease, and starts after its
// last confirmation.
func (t *Term) SetContinuation(polls, starts time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pollsFor, t.startsFor = polls, starts
}

// Now returns the time on the clock of the term, which counts suspensions of the host.
func (t *Term) Now() time.Duration { return t.now() }

// Valid reports whether this host is still the owner with all rights; it is checked before each
// request to the platform.
func (t *Term) Valid() bool { return t.before(func() time.Duration { return t.until - expiryMargin }) }

// AllowsPolls reports whether polls and stops may be sent to workers.
func (t *Term) AllowsPolls() bool { return t.before(t.pollLimit) }

// AllowsStarts reports whether tasks that were known when the lease ended may be started.
func (t *Term) AllowsStarts() bool { return t.before(t.startLimit) }

// Remaining returns how long polls and starts are allowed without a further confirmation.
func (t *Term) Remaining() (polls, starts time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended != "" {
		return 0, 0
	}
	now := t.now()
	return max(0, t.pollLimit()-now), max(0, t.startLimit()-now)
}

func (t *Term) pollLimit() time.Duration {
	if t.pollsFor <= 0 {
		return t.until - expiryMargin
	}
	return t.until + t.pollsFor
}

func (t *Term) startLimit() time.Duration {
	return max(t.until-expiryMargin, min(t.confirmed+t.startsFor, t.pollLimit()))
}

// before reports whether the term is not over and a limit has not passed.
func (t *Term) before(limit func() time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended == "" && t.now() < limit()
}

// End ends the term for good; the first reason stays.
func (t *Term) End(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended == "" {
		t.ended = reason
	}
}

// EndReason returns why the term has ended for good, empty if it has not.
func (t *Term) EndReason() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// Release gives up the lease once it has ended unconfirmed, so that another host can take over: the
// store may carry out renewals whose answers are lost. Rights that last longer than the lease stay. It
// reports whether the lease is given up.
func (t *Term) Release() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.released = t.released || t.now() >= t.until
	return t.released
}

// isReleased reports whether the lease is given up.
func (t *Term) isReleased() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.released
}

// extend records a renewal that was sent at the given time and that the store has carried out.
func (t *Term) extend(sent, ttl time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.released {
		return
	}
	t.confirmed, t.until = max(t.confirmed, sent), max(t.until, sent+ttl)
}
