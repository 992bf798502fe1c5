// Package retry limits the retries of a team, so that a failure of many minions does not
// multiply the load on the remaining ones.
package retry

import "time"

const (
	// window is the number of seconds over which requests count as recent.
	windowSeconds = 10
	// requestsPerRetry limits retries to 10% of the recent requests. Even if all requests
	// fail, the number of attempts stays below 1.2 times the number of requests.
	requestsPerRetry = 10
	// minRetriesPerSecond is allowed in addition, so that a team with few requests can retry.
	minRetriesPerSecond = 1
)

// Budget is the retry budget of one team at one entry host. It counts in buckets of
// one second, so that its memory does not depend on the request rate. The zero value is
// ready for use. It is not safe for concurrent use.
type Budget struct {
	buckets      [windowSeconds]bucket
	requests     int
	retries      int
	newestSecond int64
}

type bucket struct{ requests, retries int }

// Request records a first attempt.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.bucketOf(b.newestSecond).requests++
	b.requests++
}

// Retry reports whether a request may be sent again, and in that case records the retry.
func (b *Budget) Retry(now time.Time) bool {
	b.advance(now)
	if b.retries >= b.requests/requestsPerRetry+windowSeconds*minRetriesPerSecond {
		return false
	}
	b.bucketOf(b.newestSecond).retries++
	b.retries++
	return true
}

// advance drops the buckets that have left the window. Times before the newest bucket are
// counted in it.
func (b *Budget) advance(now time.Time) {
	second := now.Unix()
	if second-b.newestSecond >= windowSeconds {
		*b = Budget{newestSecond: second}
		return
	}
	for b.newestSecond < second {
		b.newestSecond++
		old := b.bucketOf(b.newestSecond)
		b.requests -= old.requests
		b.retries -= old.retries
		*old = bucket{}
	}
}

func (b *Budget) bucketOf(second int64) *bucket {
	return &b.buckets[((second%windowSeconds)+windowSeconds)%windowSeconds]
}
