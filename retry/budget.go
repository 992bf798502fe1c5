// Package retry bounds the retries of a team, so that a failure of many minions does
// not multiply the load on the remaining ones.
package retry

import "time"

const (
	// window is the number of seconds over which requests count as recent.
	window = 10
	// requestsPerRetry gives retries of 10% of the recent requests. Even when all of
	// them fail, sent requests stay below 1.2 x offered ones.
	requestsPerRetry = 10
	// floorPerSecond lets a team with few requests retry at all.
	floorPerSecond = 1
)

// Budget is the retry budget of one team at one entry host. It counts in buckets of
// one second, which bounds its memory at any request rate. The zero value is ready for
// use. It is not safe for concurrent use.
type Budget struct {
	buckets  [window]bucket
	requests int
	retries  int
	newest   int64
}

type bucket struct{ requests, retries int }

// Request records a first attempt.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.at(b.newest).requests++
	b.requests++
}

// Retry reports whether a request may be sent again, and takes it from the budget if so.
func (b *Budget) Retry(now time.Time) bool {
	b.advance(now)
	if b.retries >= b.requests/requestsPerRetry+window*floorPerSecond {
		return false
	}
	b.at(b.newest).retries++
	b.retries++
	return true
}

// advance drops the buckets that have left the window. A time before the newest bucket
// counts into the newest one.
func (b *Budget) advance(now time.Time) {
	second := now.Unix()
	if second-b.newest >= window {
		*b = Budget{newest: second}
		return
	}
	for b.newest < second {
		b.newest++
		old := b.at(b.newest)
		b.requests -= old.requests
		b.retries -= old.retries
		*old = bucket{}
	}
}

func (b *Budget) at(second int64) *bucket {
	return &b.buckets[((second%window)+window)%window]
}
