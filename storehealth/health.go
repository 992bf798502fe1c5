// Package storehealth judges from the calls of one host whether the store serves the host.
package storehealth

import (
	"context"
	"errors"
	"sync"
	"time"

	"egretdrum.example/kv"
	"egretdrum.example/latency"
	"egretdrum.example/transfer"
)

const (
	// minSilence is above the answer times of a store that is 80 times slower than its usual 4 ms.
	// maxSilence applies while the usual answer time is longer or not known.
	minSilence = 450 * time.Millisecond
	maxSilence = 900 * time.Millisecond
	// doubtAfter is how late a watch is doubted, so that a probe is answered before minSilence.
	doubtAfter = 350 * time.Millisecond
)

// Health is a circuit breaker: it opens when the store turns a call away
// or leaves calls unanswered beyond its usual time, and closes with the next answer to any call. The
// zero value takes the store for one that serves the host. It is safe for concurrent use.
type Health struct {
	mu     sync.Mutex
	lastID uint64
	// due holds the time from which on an answer to each call in flight may be expected.
	due map[uint64]time.Time
	// answered is the time of the last answer.
	answered time.Time
	usual    latency.Estimate
	// turnedAway is set if the store has refused a call, or could not be connected to, since the last
	// answer; silent is set if a call was given up after the store had not answered for too long.
	turnedAway, silent bool
	doubted            chan struct{}
}

// Serves reports whether the store serves this host.
func (h *Health) Serves() bool { return h.Failure() == "" }

// Failure returns why the store is taken not to serve this host, empty if it serves it.
func (h *Health) Failure() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.turnedAway {
		return "calls are refused or find no connection"
	}
	silent, now := h.silent, time.Now()
	for _, due := range h.due {
		silent = silent || h.tooLong(due, now)
	}
	if silent {
		return "calls are not answered"
	}
	return ""
}

// Doubted returns a channel that receives a value after calls without an answer.
func (h *Health) Doubted() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.doubts()
}

func (h *Health) doubts() chan struct{} {
	if h.doubted == nil {
		h.doubted = make(chan struct{}, 1)
	}
	return h.doubted
}

// tooLong reports whether nothing was answered for too long while a call waited.
func (h *Health) tooLong(due, now time.Time) bool {
	if h.answered.After(due) {
		due = h.answered
	}
	return now.Sub(due) >= h.usual.Timeout(minSilence, maxSilence, 0)
}

// Progress records that a part of an answer has arrived.
func (h *Health) Progress() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markAnswered(time.Now())
}

func (h *Health) markAnswered(now time.Time) {
	h.answered, h.turnedAway, h.silent = now, false, false
}

// begin records a call whose answer is not expected before wait has passed.
func (h *Health) begin(wait time.Duration) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.due == nil {
		h.due = make(map[uint64]time.Time)
	}
	h.lastID++
	h.due[h.lastID] = time.Now().Add(wait)
	return h.lastID
}

// end records the end of a call. An answer to a short call says what the usual time is.
func (h *Health) end(ctx context.Context, id uint64, short bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, due := time.Now(), h.due[id]
	delete(h.due, id)
	if answered(err) {
		h.markAnswered(now)
		if short {
			h.usual.RecordAnswer(now.Sub(due))
		}
		return
	}
	// A call that was given up by its caller was not turned away by the store.
	if kv.NotApplied(err) && !errors.Is(ctx.Err(), context.Canceled) {
		h.turnedAway = true
	}
	h.silent = h.silent || h.tooLong(due, now)
	h.doubt()
}

func (h *Health) doubt() {
	select {
	case h.doubts() <- struct{}{}:
	default:
		// The receiver has not yet handled an earlier doubt.
	}
}

// doubtUnanswered raises a doubt if the store has not answered any call since a call was due.
func (h *Health) doubtUnanswered(id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if due, ok := h.due[id]; ok && !h.answered.After(due) {
		h.doubt()
	}
}

// answered reports whether the error of a call, or nil, is an answer of the store.
func answered(err error) bool {
	var conflict *kv.ConflictError
	return err == nil || errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrCompacted) || errors.Is(err, kv.ErrTooLarge) || kv.Rejected(err) || errors.As(err, &conflict)
}

// Observe returns the calls of a store, whose outcomes, durations and arriving parts the health records.
func (h *Health) Observe(store kv.Store) kv.Store {
	observed := store
	observed.Get = func(ctx context.Context, key string) (item kv.Item, err error) {
		id := h.begin(0)
		defer func() { h.end(ctx, id, true, err) }()
		return store.Get(ctx, key)
	}
	observed.Range = func(ctx context.Context, prefix string) (items []kv.Item, revision int64, err error) {
		id := h.begin(0)
		defer func() { h.end(ctx, id, false, err) }()
		return store.Range(transfer.Observe(ctx, h.Progress), prefix)
	}
	observed.Watch = func(ctx context.Context, prefix string, after int64, wait time.Duration) (events []kv.Event, revision int64, err error) {
		id := h.begin(wait)
		defer time.AfterFunc(wait+doubtAfter, func() { h.doubtUnanswered(id) }).Stop()
		defer func() { h.end(ctx, id, false, err) }()
		return store.Watch(transfer.Observe(ctx, h.Progress), prefix, after, wait)
	}
	observed.Commit = func(ctx context.Context, c kv.Change) (revision int64, err error) {
		id := h.begin(0)
		defer func() { h.end(ctx, id, true, err) }()
		return store.Commit(ctx, c)
	}
	observed.Grant = func(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error) {
		id := h.begin(0)
		defer func() { h.end(ctx, id, true, err) }()
		return store.Grant(ctx, ttl)
	}
	observed.Renew = func(ctx context.Context, lease int64) (ttl time.Duration, err error) {
		id := h.begin(0)
		defer func() { h.end(ctx, id, true, err) }()
		return store.Renew(ctx, lease)
	}
	return observed
}
