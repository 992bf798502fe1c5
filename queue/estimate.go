package queue

import "time"

const (
	// rateWindow is the busy time after which older observations are scaled down.
	rateWindow = 5 * time.Second
	// minObservation is the shortest busy time that gives an estimate. The rate of the
	// first milliseconds of a burst would otherwise cause most of it to be refused.
	minObservation = time.Second
	// rateExpiry is the idle time after which an observation is discarded.
	rateExpiry = time.Minute
)

// dequeueRate is the rate at which requests are taken from a subqueue. It is observed only
// while requests wait, because the rate of an idle subqueue reflects its demand and not
// its capacity.
type dequeueRate struct {
	busy     time.Duration
	dequeued float64
	updated  time.Time // last update while busy, end of the last busy period while idle
}

func (r *dequeueRate) startBusy(now time.Time) {
	if now.Sub(r.updated) > rateExpiry {
		*r = dequeueRate{}
	}
	r.updated = now
}

func (r *dequeueRate) stopBusy(now time.Time) { r.update(now) }

func (r *dequeueRate) recordDequeue(now time.Time) {
	r.update(now)
	r.dequeued++
}

func (r *dequeueRate) update(now time.Time) {
	if d := now.Sub(r.updated); d > 0 {
		r.busy += d
		r.updated = now
	}
	if r.busy > rateWindow {
		r.dequeued *= float64(rateWindow) / float64(r.busy)
		r.busy = rateWindow
	}
}

// estimateWait estimates the time until n requests have been taken. It counts one more
// than the observed number, so that a subqueue that stalls briefly does not refuse everything.
func (r *dequeueRate) estimateWait(now time.Time, n int) time.Duration {
	busy := r.busy + max(0, now.Sub(r.updated))
	if n == 0 || busy < minObservation {
		return 0
	}
	return time.Duration(float64(n) * float64(busy) / (r.dequeued + 1))
}

// histogramBuckets covers the longest timeout, 60 s, in buckets of one second.
const histogramBuckets = 64

// histogram counts deadlines by second. Unlike a heap, it gives the rank of a deadline in
// constant time. The rank is exact to one second.
type histogram [histogramBuckets]int16

func (h *histogram) add(deadline time.Time, n int16) {
	h[deadline.Unix()&(histogramBuckets-1)] += n
}

// upTo counts the deadlines up to the end of the second in which deadline falls.
func (h *histogram) upTo(now, deadline time.Time) int {
	n := 0
	first, last := now.Unix(), min(deadline.Unix(), now.Unix()+histogramBuckets-1)
	for s := first; s <= last; s++ {
		n += int(h[s&(histogramBuckets-1)])
	}
	return n
}
