package slot

import "time"

const (
	// tickLength is the precision at which grants expire. Expiring later than needed is safe.
	tickLength = 100 * time.Millisecond
	// bucketCount buckets cover the maximum timeout with its margin. It is a power of two.
	bucketCount = 1024
)

// timingWheel is a hashed timing wheel that finds expired grants. A grant is added and
// removed in constant time; a heap of 8,000 grants took more than half of the time of a
// decision.
type timingWheel struct {
	buckets  [bucketCount]*grantRecord
	lastTick int64 // the last tick whose grants have expired
}

func tickOf(t time.Time) int64 { return t.UnixNano() / int64(tickLength) }

func (w *timingWheel) add(now time.Time, r *grantRecord) {
	if w.lastTick == 0 {
		w.lastTick = tickOf(now)
	}
	// A grant that expires later than the wheel covers is added again when its bucket is
	// reached. The next tick is left out, because expired may be working on its bucket.
	tick := min(max(tickOf(r.expiresAt)+1, w.lastTick+2), w.lastTick+bucketCount-1)
	r.bucket = int32(tick & (bucketCount - 1))
	r.next, r.previous = w.buckets[r.bucket], nil
	if r.next != nil {
		r.next.previous = r
	}
	w.buckets[r.bucket] = r
}

func (w *timingWheel) remove(r *grantRecord) {
	if r.previous == nil {
		w.buckets[r.bucket] = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next != nil {
		r.next.previous = r.previous
	}
}

// expired returns a grant that has expired, or nil if there is none.
func (w *timingWheel) expired(now time.Time) *grantRecord {
	current := tickOf(now)
	w.lastTick = max(w.lastTick, current-bucketCount)
	for w.lastTick < current {
		r := w.buckets[(w.lastTick+1)&(bucketCount-1)]
		switch {
		case r == nil:
			w.lastTick++
		case now.Before(r.expiresAt):
			w.remove(r)
			w.add(now, r)
		default:
			return r
		}
	}
	return nil
}
