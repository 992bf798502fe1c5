package minion

import (
	"math/bits"
	"sync"
	"time"
)

const (
	// latencyBuckets of four per power of two, from 16 µs: up to over 60 s, at most 25%
	// too high.
	latencyBuckets = 92
	// latencyWindow halves the counts when it is reached, so that old times fade.
	latencyWindow = 2048
	// latencyMinimum is the least number of times from which a p99 is told.
	latencyMinimum = 100
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
	if l.total < latencyWindow {
		return
	}
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

// p99 returns the upper end of the bucket that holds the 99th percentile, or 0 when too
// few times are known.
func (l *latency) p99() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total < latencyMinimum {
		return 0
	}
	above := l.total / 100
	for i := latencyBuckets - 1; i >= 0; i-- {
		if l.counts[i] > above {
			return latencyBound(i)
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

// latencyBound returns the lowest time that is above bucket i.
func latencyBound(i int) time.Duration {
	return time.Duration(uint64(i%4+5)<<(i/4)) * 4 * time.Microsecond
}
