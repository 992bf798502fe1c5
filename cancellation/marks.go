// Package cancellation marks jobs that were cancelled although they are not stored. A submission is
// conditional on the absence of the mark, so that the store does not carry it out after the caller was
// told that there is no such job.
package cancellation

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"egretdrum.example/kv"
	"egretdrum.example/origin"
	"egretdrum.example/storekeys"
	"egretdrum.example/wait"
)

const (
	// leaseTTL is the time to live of a lease with marks. A lease takes new marks for half of it, so
	// that a mark lasts for two minutes at least. The store carries out unanswered writes up to 12 s
	// late, and repeated submissions arrive some seconds late.
	leaseTTL = 4 * time.Minute
	// maxEntriesPerMark is the number of conditions and puts that a mark needs at most.
	maxEntriesPerMark = 3
	// changeInterval is the least time between two changes of a host. Cancellations of unknown jobs
	// come by the thousand when callers give up, and hosts share the store's limit of writes.
	changeInterval = 50 * time.Millisecond
)

// Marks stores the marks of one host. It is safe for concurrent use.
type Marks struct {
	store  kv.Store
	commit func(ctx context.Context, c kv.Change, failures int) (int64, error)
	now    func() time.Duration

	// turn is held by the call that stores pending marks.
	turn       chan struct{}
	failures   int
	lease      int64
	leaseUntil time.Duration
	committed  time.Time

	mu      sync.Mutex
	pending []*mark
}

// mark is a mark that has to be stored.
type mark struct {
	id    string
	value []byte
	done  chan error
	// refusal is set for the mark of a refusal, which replaces only a mark of the revision replaces,
	// none if that is zero.
	refusal  bool
	replaces int64
}

// StoredError reports that a job is stored, so that it has to be cancelled in the usual way.
type StoredError struct {
	ID string
	// Item is the stored job.
	Item kv.Item
}

func (e *StoredError) Error() string { return fmt.Sprintf("job %s is stored", e.ID) }

// New returns marks without a lease. commit makes a change after a number of failed ones; now is a
// clock that counts the time for which the process is suspended.
func New(store kv.Store, commit func(ctx context.Context, c kv.Change, failures int) (int64, error), now func() time.Duration) *Marks {
	return &Marks{store: store, commit: commit, now: now, turn: make(chan struct{}, 1)}
}

// owner is the value of a mark: whose submission it prevents.
type owner struct {
	Queue   string `cbor:"1,keyasint"`
	Account string `cbor:"2,keyasint"`
	// RefusedQueue and RefusedAccount take the place of Queue and Account in the mark of a refusal. Older
	// builds ignore them, and take the mark for the cancellation of another account, which covers no job.
	RefusedQueue   string `cbor:"3,keyasint,omitempty"`
	RefusedAccount string `cbor:"4,keyasint,omitempty"`
	// Origin identifies the queue and the account under other names; older builds store none and ignore it.
	Origin *origin.Origin `cbor:"5,keyasint,omitempty"`
}

// Covers reports whether the value of a job's cancellation applies to a submission by an account to a
// queue, which may have had other names when the mark was stored. The cancellation of a stored job has no
// value and applies to all; the mark of a refusal is no cancellation.
func Covers(value []byte, queue, account string, from *origin.Origin) bool {
	if len(value) == 0 {
		return true
	}
	var o owner
	if err := cbor.Unmarshal(value, &o); err != nil {
		// A cancellation that can't be read must not let a job run.
		return true
	}
	if o.RefusedQueue != "" {
		return false
	}
	return o.Queue == queue && o.Account == account || o.Origin.Same(from)
}

// Set stores the mark of a job. It returns a *StoredError if the job is stored.
func (m *Marks) Set(ctx context.Context, id, queue, account string, from *origin.Origin) error {
	return m.set(ctx, &mark{id: id}, owner{Queue: queue, Account: account, Origin: from})
}

// set stores a mark for an owner.
func (m *Marks) set(ctx context.Context, k *mark, o owner) error {
	value, err := cbor.Marshal(o)
	if err != nil {
		return fmt.Errorf("mark of job %s: %w", k.id, err)
	}
	k.value, k.done = value, make(chan error, 1)
	m.mu.Lock()
	m.pending = append(m.pending, k)
	m.mu.Unlock()
	for {
		select {
		case err := <-k.done:
			return err
		default:
		}
		select {
		case err := <-k.done:
			return err
		case m.turn <- struct{}{}:
			m.storePending(ctx)
			<-m.turn
		case <-ctx.Done():
			m.remove(k)
			return &kv.UnavailableError{Cause: ctx.Err()}
		}
	}
}

// remove takes a mark off the pending ones.
func (m *Marks) remove(k *mark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, other := range m.pending {
		if other == k {
			m.pending = append(m.pending[:i], m.pending[i+1:]...)
			return
		}
	}
}

// storePending stores the marks that have waited for the longest, as many as fit into one change, and
// reports the outcome to their calls.
func (m *Marks) storePending(ctx context.Context) {
	if pause := changeInterval - time.Since(m.committed); pause > 0 && !wait.For(ctx, pause) {
		return
	}
	for batch := m.takePending(); len(batch) > 0; {
		err := m.storeBatch(ctx, batch)
		m.committed = time.Now()
		var conflict *kv.ConflictError
		if !errors.As(err, &conflict) {
			finish(batch, err)
			return
		}
		left := batch[:0:0]
		for _, k := range batch {
			if err := k.failure(conflict); err != nil {
				k.done <- err
			} else {
				left = append(left, k)
			}
		}
		if len(left) == len(batch) {
			finish(batch, err)
			return
		}
		batch = left
	}
}

func finish(batch []*mark, err error) {
	for _, k := range batch {
		k.done <- err
	}
}

// takePending takes the marks that have waited for the longest. A change has only one mark of a job.
func (m *Marks) takePending() []*mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	var batch, later []*mark
	taken, entries := make(map[string]bool), 0
	for _, k := range m.pending {
		if taken[k.id] || entries+k.entries() > kv.MaxEntries {
			later = append(later, k)
			continue
		}
		taken[k.id] = true
		entries += k.entries()
		batch = append(batch, k)
	}
	m.pending = later
	return batch
}

// entries returns the number of conditions and puts that the mark needs.
func (k *mark) entries() int {
	if k.refusal {
		return maxEntriesPerMark
	}
	return maxEntriesPerMark - 1
}

func (m *Marks) storeBatch(ctx context.Context, batch []*mark) error {
	if err := m.ensureLease(ctx); err != nil {
		return err
	}
	var c kv.Change
	for _, k := range batch {
		c.Conditions = append(c.Conditions, kv.Condition{Key: storekeys.Job(k.id)})
		if k.refusal {
			c.Conditions = append(c.Conditions, kv.Condition{Key: storekeys.Cancel(k.id), Revision: k.replaces})
		}
		c.Puts = append(c.Puts, kv.Put{Key: storekeys.Cancel(k.id), Value: k.value, Lease: m.lease})
	}
	_, err := m.commit(ctx, c, m.failures)
	var conflict *kv.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict):
		m.failures = 0
		return err
	case errors.Is(err, kv.ErrNotFound):
		m.lease = 0
	}
	m.failures++
	return err
}

// ensureLease grants a new lease if the present one takes no more marks.
func (m *Marks) ensureLease(ctx context.Context) error {
	if m.lease != 0 && m.now() < m.leaseUntil {
		return nil
	}
	asked := m.now()
	lease, ttl, err := m.store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	m.lease, m.leaseUntil = lease, asked+ttl/2
	return nil
}
