// Package latency estimates from the answers to earlier calls how long to wait for the next.
package latency

import (
	"sync"
	"time"
)

const (
	// factor times the slowest answer seen lately is still a usual delay.
	factor = 8
	// weight lets about fifty answers decide.
	weight = 0.02
	// maxDoublings of the shortest timeout reach the longest in all uses.
	maxDoublings = 8
)

// Estimate follows the slowest answers and forgets them slowly. The zero value has seen none, and
// waits as long as it may. It is safe for concurrent use.
type Estimate struct {
	mu      sync.Mutex
	slowest time.Duration
	// missed counts the answers that did not come in time since the last one that did: a single
	// one may be lost, but several in a row show that answers have become slow.
	missed int
}

// Answered takes how long an answer took.
func (e *Estimate) Answered(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.missed = 0
	e.slowest = max(d, e.slowest-time.Duration(weight*float64(e.slowest-d)))
}

// Missed takes that an answer did not come in time.
func (e *Estimate) Missed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.missed++
}

// Timeout is how long to wait for an answer, between the given bounds. It doubles with each
// attempt that has failed before, and with each answer in a row that was missed.
func (e *Estimate) Timeout(least, most time.Duration, failures int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slowest == 0 {
		return most
	}
	usual := min(max(least, factor*e.slowest), most)
	return min(usual<<min(max(failures, e.missed), maxDoublings), most)
}
