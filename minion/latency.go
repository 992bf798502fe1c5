package minion

import (
	"math/bits"
	"sync"
	"time"
)

const (
	// latencyBuckets is the number of histogram buckets: four per power of two from 16 µs
	// to over 60 s, so that an estimate is at most 25% too high.
	latencyBuckets = 92
	// maxLatencySamples is the total at which all counts are halved, so that older samples
	// lose weight.
	maxLatencySamples = 2048
	// minLatencySamples is the number of samples below which no p99 is estimated.
	minLatencySamples = 100
)

// latency estimates the p99 of the response times of one service.
type latency struct {
	mu     sync.Mutex
	counts [latencyBuckets]uint32
	total  uint32
}

func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[latencyBucket(d)]++
	l.total++
	if l.total < maxLatencySamples {
		return
	}
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

// p99 returns the upper bound of the bucket that contains the 99th percentile, or 0 if there
// are too few samples.
func (l *latency) p99() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total < minLatencySamples {
		return 0
	}
	above := l.total / 100
	for i := latencyBuckets - 1; i >= 0; i-- {
		if l.counts[i] > above {
			return latencyUpperBound(i)
		}
		above -= l.counts[i]
	}
	return 0
}

func latencyBucket(d time.Duration) int {
	units := uint64(max(0, d)/(4*time.Microsecond)) | 4
	power := bits.Len64(units) - 3
	return min(power*4+int(units>>power)-4, latencyBuckets-1)
}

// latencyUpperBound returns the exclusive upper bound of bucket i.
func latencyUpperBound(i int) time.Duration {
	return time.Duration(uint64(i%4+5)<<(i/4)) * 4 * time.Microsecond
}
