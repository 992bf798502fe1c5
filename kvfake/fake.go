// Package kvfake is an in-memory fake of the key-value service that can inject the faults of
// a real one.
package kvfake

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"egretdrum.example/kv"
)

// Fault is the kind of failure of a call.
type Fault int

// The faults; Answered means no fault.
const (
	Answered Fault = iota
	// Refused calls get a refusal and have no effect.
	Refused
	// RequestLost calls have no effect and get no answer.
	RequestLost
	// ResponseLost calls are carried out and get no answer.
	ResponseLost
	// Unanswered calls have no effect and block until the context of the caller ends.
	Unanswered
)

// Fake is a fake key-value service. It is safe for concurrent use.
type Fake struct {
	mu                sync.Mutex
	fault             func(call string) Fault
	delay             time.Duration
	revision          int64
	items             map[string]kv.Item
	history           []kv.Event
	compactedRevision int64
	// retention is how long the history is kept, zero for ever; written has the time of each
	// event of the history.
	retention time.Duration
	written   []time.Time
	leases    map[int64]*lease
	// pausedAt is when the time of leases was stopped, the zero time while it goes on.
	pausedAt time.Time
	changed  chan struct{}
	calls    map[string]int
	// maxValueBytes is the size of the largest value, zero for no limit.
	maxValueBytes int
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// New returns an empty store.
func New() *Fake {
	return &Fake{items: make(map[string]kv.Item), leases: make(map[int64]*lease), changed: make(chan struct{}), calls: make(map[string]int)}
}

// SetFault sets the function that chooses the fault of a call by its name: get, range, watch,
// commit, grant, renew or revoke. The function is never called concurrently; nil means
// no faults.
func (f *Fake) SetFault(fault func(call string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// SetMaxValueBytes makes the store reject changes with larger values.
func (f *Fake) SetMaxValueBytes(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxValueBytes = n
}

// SetDelay sets the delay of each call.
func (f *Fake) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// Store returns the calls of the fake.
func (f *Fake) Store() kv.Store {
	return kv.Store{Get: f.get, Range: f.scan, Watch: f.watch, Commit: f.commit, Grant: f.grant, Renew: f.renew, Revoke: f.revoke}
}

// Calls returns how often a call was made.
func (f *Fake) Calls(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[name]
}

// Put writes a value on behalf of another writer and returns its revision.
func (f *Fake) Put(key string, value []byte) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.write([]kv.Put{{Key: key, Value: value}}, nil)
	return f.revision
}

// Delete removes a key, as an operator would.
func (f *Fake) Delete(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.write(nil, []string{key})
}

// Item returns the item of a key; its revision is zero if the key does not exist.
func (f *Fake) Item(key string) kv.Item {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire()
	return f.items[key]
}

// PauseLeases stops the time of all leases, as a store may do that is down, or lets it go on.
func (f *Fake) PauseLeases(pause bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pause {
		f.expire()
		f.pausedAt = time.Now()
		return
	}
	for _, l := range f.leases {
		l.expiresAt = l.expiresAt.Add(time.Since(f.pausedAt))
	}
	f.pausedAt = time.Time{}
}

// SetRetention drops changes from the history that are older than d.
func (f *Fake) SetRetention(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retention = d
}

// Status returns the revision and the number of keys.
func (f *Fake) Status() (revision int64, keys int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire()
	return f.revision, len(f.items)
}

// Compact drops the history.
func (f *Fake) Compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history, f.written, f.compactedRevision = nil, nil, f.revision
	f.notifyWatches()
}

var errInjected = errors.New("injected fault")

// begin counts a call and applies the delay and the fault; apply reports whether the call takes
// effect.
func (f *Fake) begin(ctx context.Context, name string) (apply bool, err error) {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return false, &kv.UnavailableError{Cause: ctx.Err()}
		}
	}
	f.mu.Lock()
	f.calls[name]++
	f.expire()
	fault := Answered
	if f.fault != nil {
		fault = f.fault(name)
	}
	f.mu.Unlock()
	switch fault {
	case Refused:
		return false, &kv.UnavailableError{NotApplied: true, Cause: errInjected}
	case RequestLost:
		return false, &kv.UnavailableError{Cause: errInjected}
	case Unanswered:
		<-ctx.Done()
		return false, &kv.UnavailableError{Cause: ctx.Err()}
	case ResponseLost:
		return true, &kv.UnavailableError{Cause: errInjected}
	}
	return true, nil
}

func (f *Fake) get(ctx context.Context, key string) (kv.Item, error) {
	if _, err := f.begin(ctx, "get"); err != nil {
		return kv.Item{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	item, ok := f.items[key]
	if !ok {
		return kv.Item{}, kv.ErrNotFound
	}
	return item, nil
}

func (f *Fake) scan(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	if _, err := f.begin(ctx, "range"); err != nil {
		return nil, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var items []kv.Item
	for key, item := range f.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b kv.Item) int { return strings.Compare(a.Key, b.Key) })
	return items, f.revision, nil
}

func (f *Fake) watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kv.Event, int64, error) {
	if _, err := f.begin(ctx, "watch"); err != nil {
		return nil, 0, err
	}
	deadline := time.After(wait)
	for {
		f.mu.Lock()
		f.expire()
		if after < f.compactedRevision {
			f.mu.Unlock()
			return nil, 0, kv.ErrCompacted
		}
		var events []kv.Event
		first, _ := slices.BinarySearchFunc(f.history, after+1, func(e kv.Event, revision int64) int { return cmp.Compare(e.Revision, revision) })
		for _, e := range f.history[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := f.revision, f.changed
		f.mu.Unlock()
		if len(events) > 0 {
			return events, revision, nil
		}
		select {
		case <-changed:
		case <-time.After(leaseCheckInterval):
		case <-deadline:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, &kv.UnavailableError{Cause: ctx.Err()}
		}
	}
}

// leaseCheckInterval is how often a waiting watch checks for expired leases.
const leaseCheckInterval = 50 * time.Millisecond

func (f *Fake) commit(ctx context.Context, c kv.Change) (int64, error) {
	apply, err := f.begin(ctx, "commit")
	if !apply {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range c.Puts {
		if f.maxValueBytes > 0 && len(p.Value) > f.maxValueBytes {
			return 0, &kv.RejectedError{Cause: fmt.Errorf("value of %s has %d bytes, at most %d are accepted", p.Key, len(p.Value), f.maxValueBytes)}
		}
	}
	conflict := &kv.ConflictError{}
	failed := false
	for _, cond := range c.Conditions {
		item := f.items[cond.Key]
		failed = failed || item.Revision != cond.Revision
		if item.Revision > 0 {
			conflict.Items = append(conflict.Items, item)
		}
	}
	if failed {
		if err == nil {
			err = conflict
		}
		return 0, err
	}
	for _, p := range c.Puts {
		if p.Lease != 0 && f.leases[p.Lease] == nil {
			return 0, kv.ErrNotFound
		}
	}
	f.write(c.Puts, c.Deletes)
	return f.revision, err
}

// write applies puts and deletes under one revision.
func (f *Fake) write(puts []kv.Put, deletes []string) {
	f.revision++
	for _, p := range puts {
		item := kv.Item{Key: p.Key, Value: p.Value, Revision: f.revision, Lease: p.Lease}
		f.items[p.Key] = item
		f.history = append(f.history, kv.Event{Item: item})
	}
	for _, key := range deletes {
		if _, ok := f.items[key]; ok {
			delete(f.items, key)
			f.history = append(f.history, kv.Event{Item: kv.Item{Key: key, Revision: f.revision}, Deleted: true})
		}
	}
	f.trimHistory()
	f.notifyWatches()
}

// trimHistory drops the changes that are older than the retention.
func (f *Fake) trimHistory() {
	if f.retention == 0 {
		return
	}
	now := time.Now()
	for len(f.written) < len(f.history) {
		f.written = append(f.written, now)
	}
	dropped := 0
	for dropped < len(f.written) && now.Sub(f.written[dropped]) > f.retention {
		f.compactedRevision = f.history[dropped].Revision
		dropped++
	}
	// The slices share their arrays, so that dropping them costs a copy from time to time only.
	f.history, f.written = f.history[dropped:], f.written[dropped:]
}

func (f *Fake) notifyWatches() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Fake) grant(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	apply, err := f.begin(ctx, "grant")
	if !apply {
		return 0, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.leases[f.revision] = &lease{ttl, time.Now().Add(ttl)}
	return f.revision, ttl, err
}

func (f *Fake) renew(ctx context.Context, id int64) (time.Duration, error) {
	apply, err := f.begin(ctx, "renew")
	if !apply {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.leases[id]
	if l == nil {
		return 0, kv.ErrNotFound
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return l.ttl, err
}

func (f *Fake) revoke(ctx context.Context, id int64) error {
	apply, err := f.begin(ctx, "revoke")
	if !apply {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leases[id] == nil {
		return kv.ErrNotFound
	}
	f.endLease(id)
	return err
}

// expire ends the leases whose time to live is over.
func (f *Fake) expire() {
	if !f.pausedAt.IsZero() {
		return
	}
	for id, l := range f.leases {
		if time.Now().After(l.expiresAt) {
			f.endLease(id)
		}
	}
}

func (f *Fake) endLease(id int64) {
	delete(f.leases, id)
	var keys []string
	for key, item := range f.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		f.write(nil, keys)
	}
}
