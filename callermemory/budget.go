// Package callermemory bounds the memory of what callers have sent and that is not decided yet:
// bodies that arrive, and submissions that are being decoded and stored.
package callermemory

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// smallBody is the size up to which bodies are not subject to the budget, since the limit
	// on connections bounds them. Usual bodies have some hundred bytes.
	smallBody = 8 << 10
	// largeShare is the part of the memory for processing that submissions with larger bodies
	// may use, so that small ones need not wait for them.
	largeShare = 0.75
	// maxRetrySeconds bounds the retry delay in refusals, which is drawn at random so that the
	// refused callers do not come back together.
	maxRetrySeconds = 3
)

// Limits are the bounds of a Budget.
type Limits struct {
	// Bodies is the number of bytes for bodies that are being received, Processing that for
	// submissions that are being decoded and stored.
	Bodies, Processing int64
	// BodyTimeout is the longest time in which a body has to arrive.
	BodyTimeout time.Duration
}

// Causes of refusals.
const (
	// CauseMemory is a lack of memory for a body or for its processing.
	CauseMemory = "memory"
	// CauseSlow is a body that was given up because it arrived slowly while memory was short.
	CauseSlow = "slow"
	// CauseLate is a body that did not arrive in time.
	CauseLate = "late"
)

// RefusedError reports a body that was refused; nothing of it was used.
type RefusedError struct {
	Cause      string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	switch e.Cause {
	case CauseSlow:
		return "the body arrived too slowly while memory was short"
	case CauseLate:
		return "the body did not arrive in time"
	}
	return "no memory is left for the body"
}

func refuse(cause string) *RefusedError {
	return &RefusedError{Cause: cause, RetryAfter: time.Duration(1+rand.IntN(maxRetrySeconds)) * time.Second}
}

// Budget is the memory for all bodies of one host. The zero value has no limits. It is safe for
// concurrent use. It starts empty in each process.
type Budget struct {
	// Limits returns the limits in force; nil stands for none.
	Limits func() Limits

	mu sync.Mutex
	// bodies is the memory reserved for bodies, leaving the part of it that belongs to bodies
	// that were given up and have not returned it yet.
	bodies, leaving int64
	processing      int64
	// receiving holds the bodies with a reservation that are still arriving.
	receiving map[*Reservation]bool
	// claims wait for the memory of bodies that were given up, in this order.
	claims []*claim
}

// claim is a reservation that waits for memory.
type claim struct {
	owner   *Reservation
	n       int64
	granted chan struct{}
}

func (b *Budget) limits() Limits {
	if b.Limits == nil {
		return Limits{Bodies: math.MaxInt64, Processing: math.MaxInt64, BodyTimeout: math.MaxInt64}
	}
	return b.Limits()
}

// Usage returns the bytes that are reserved for bodies and for processing.
func (b *Budget) Usage() (bodies, processing int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bodies, b.processing
}

// fits reports whether r may have n more bytes now. What a single body needs is always granted,
// so that a host with little memory serves at least one at a time.
func (b *Budget) fits(r *Reservation, n int64) bool {
	return b.bodies <= r.body || b.bodies+n <= b.limits().Bodies
}

// reserve reserves n more bytes for a body that arrives until the deadline. If the memory is
// short, it gives up the slowest bodies and waits until they have returned theirs.
func (b *Budget) reserve(r *Reservation, n int64, deadline time.Time) error {
	c, err := b.claim(r, n)
	if c == nil || err != nil {
		return err
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-c.granted:
		return nil
	case <-r.givenUp:
		err = refuse(CauseSlow)
	case <-timer.C:
		err = refuse(CauseLate)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdraw(c)
	return err
}

// claim grants n bytes, or returns a claim that will be granted.
func (b *Budget) claim(r *Reservation, n int64) (*claim, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.leaving {
		return nil, refuse(CauseSlow)
	}
	if len(b.claims) == 0 && b.fits(r, n) {
		b.grant(r, n)
		return nil, nil
	}
	needed := b.bodies - b.leaving + n - b.limits().Bodies
	for _, c := range b.claims {
		needed += c.n
	}
	now := time.Now()
	var candidates []candidate
	for other := range b.receiving {
		if other != r {
			candidates = append(candidates, candidate{other, other.body, other.pace.rate(now)})
		}
	}
	victims, enough := chooseSlowest(candidates, needed)
	if !enough {
		return nil, refuse(CauseMemory)
	}
	for _, v := range victims {
		b.giveUp(v)
	}
	c := &claim{owner: r, n: n, granted: make(chan struct{})}
	b.claims = append(b.claims, c)
	return c, nil
}

func (b *Budget) grant(r *Reservation, n int64) {
	b.bodies += n
	r.body += n
	if b.receiving == nil {
		b.receiving = make(map[*Reservation]bool)
	}
	b.receiving[r] = true
}

// giveUp makes the reader of a body return and release its memory.
func (b *Budget) giveUp(r *Reservation) {
	delete(b.receiving, r)
	b.leaving += r.body
	r.leaving = true
	close(r.givenUp)
	r.interrupt()
}

func (b *Budget) withdraw(c *claim) {
	for i, other := range b.claims {
		if other == c {
			b.claims = append(b.claims[:i], b.claims[i+1:]...)
			break
		}
	}
	b.grantClaims()
}

// grantClaims grants the claims that fit, in their order.
func (b *Budget) grantClaims() {
	for len(b.claims) > 0 && b.fits(b.claims[0].owner, b.claims[0].n) {
		c := b.claims[0]
		b.claims = b.claims[1:]
		if c.owner.leaving {
			continue
		}
		b.grant(c.owner, c.n)
		close(c.granted)
	}
}

// releaseBody returns n bytes of a body.
func (b *Budget) releaseBody(r *Reservation, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies -= n
	r.body -= n
	if r.leaving {
		b.leaving -= n
	}
	if r.body == 0 {
		delete(b.receiving, r)
	}
	b.grantClaims()
}

// complete keeps the memory of a body that has arrived; it is not given up any more. It reports
// false if the body was given up before.
func (b *Budget) complete(r *Reservation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.receiving, r)
	return !r.leaving
}

// reserveProcessing reserves n bytes for a submission with a body of the given size.
func (b *Budget) reserveProcessing(r *Reservation, n int64, bodyBytes int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limits().Processing
	if bodyBytes > smallBody {
		limit = int64(largeShare * float64(limit))
	}
	if b.processing > 0 && b.processing+n > limit {
		return refuse(CauseMemory)
	}
	b.processing += n
	r.processing += n
	return nil
}

func (b *Budget) releaseProcessing(r *Reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processing -= r.processing
	r.processing = 0
}

func (b *Budget) recordArrival(r *Reservation, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.pace.add(n, time.Now())
}
