// Package latency derives the timeout of a call from the response times of earlier calls.
package latency

import (
	"sync"
	"time"
)

const (
	// timeoutFactor times the slowest recent response time is still a usual delay.
	timeoutFactor = 8
	// decayWeight makes the estimate depend on about the last fifty answers.
	decayWeight = 0.02
	// maxDoublings is enough to raise the shortest timeout to the longest in all uses.
	maxDoublings = 8
)

// Estimate tracks the slowest recent response time, which decays with each faster answer. The zero
// value has no answers and returns the longest timeout. It is safe for concurrent use.
type Estimate struct {
	mu      sync.Mutex
	slowest time.Duration
	// consecutiveMisses counts the answers that did not arrive in time since the last one that
	// did: a single one may be lost, but several in a row mean that answers have become slow.
	consecutiveMisses int
}

// RecordAnswer records the response time of an answer.
func (e *Estimate) RecordAnswer(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.consecutiveMisses = 0
	e.slowest = max(d, e.slowest-time.Duration(decayWeight*float64(e.slowest-d)))
}

// RecordMiss records that an answer did not arrive in time.
func (e *Estimate) RecordMiss() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.consecutiveMisses++
}

// Timeout returns how long to wait for an answer, within the given bounds. It doubles with each
// failed attempt of the call or with each consecutive miss, whichever are more.
func (e *Estimate) Timeout(minTimeout, maxTimeout time.Duration, failures int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slowest == 0 {
		return maxTimeout
	}
	usual := min(max(minTimeout, timeoutFactor*e.slowest), maxTimeout)
	return min(usual<<min(max(failures, e.consecutiveMisses), maxDoublings), maxTimeout)
}
