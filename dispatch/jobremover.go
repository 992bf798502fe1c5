package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/storekeys"
	"egretdrum.example/wait"
)

// jobRemover deletes the keys of jobs whose results are kept no longer. It repeats each change
// until it is durable: a later full read would take a job that is left without its result for a
// new one.
type jobRemover struct {
	store   kv.Store
	term    int64
	log     *zap.Logger
	changed chan struct{}

	mu      sync.Mutex
	pending []expiredJob
}

// expiredJob is a job with the revision of its key. Under a higher revision, the same ID belongs
// to a job that was submitted after the removal.
type expiredJob struct {
	id       string
	revision int64
}

const (
	// removalsPerChange leaves one entry for the condition on the owner's key; each removal needs
	// a condition and the deletes of the job, its cancellation and its result.
	removalsPerChange = (kv.MaxEntries - 1) / 4
	// retentionMargin is how much longer an ended job is kept, so that a repeated submission
	// that arrives late does not run again.
	retentionMargin = 60 * time.Second
	// removalReadInterval is the least time between two reads that are noted for removed jobs.
	removalReadInterval = 200 * time.Millisecond
)

func newJobRemover(store kv.Store, term int64, log *zap.Logger) *jobRemover {
	return &jobRemover{store: store, term: term, log: log, changed: make(chan struct{}, 1)}
}

func (r *jobRemover) add(jobs []expiredJob) {
	r.mu.Lock()
	r.pending = append(r.pending, jobs...)
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
		// A wake-up is already pending.
	}
}

// run removes jobs until ctx ends. It calls lost if another host is the owner, and removed for
// the jobs whose removal is durable.
func (r *jobRemover) run(ctx context.Context, lost func(), removed func([]expiredJob)) {
	for {
		select {
		case <-r.changed:
		case <-ctx.Done():
			return
		}
		for batch := r.nextBatch(); len(batch) > 0; batch = r.nextBatch() {
			if !r.remove(ctx, batch) {
				if ctx.Err() == nil {
					lost()
				}
				return
			}
			removed(batch)
		}
	}
}

func (r *jobRemover) nextBatch() []expiredJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(r.pending), removalsPerChange)
	batch := slices.Clone(r.pending[:n])
	r.pending = r.pending[n:]
	return batch
}

// remove repeats a change until no job of the batch is stored any more. It reports false if
// ownership is lost or ctx ends.
func (r *jobRemover) remove(ctx context.Context, batch []expiredJob) bool {
	left := slices.Clone(batch)
	for len(left) > 0 && ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, saveTimeout)
		_, err := r.store.Commit(call, r.removal(left))
		cancel()
		var conflict *kv.ConflictError
		switch {
		case err == nil:
			return true
		case errors.As(err, &conflict):
			if conflict.Find(storekeys.Owner).Revision != r.term {
				return false
			}
			// The response to an earlier attempt was lost.
			left = slices.DeleteFunc(left, func(j expiredJob) bool { return conflict.Find(storekeys.Job(j.id)).Revision != j.revision })
			continue
		}
		r.log.Warn("results-not-removed", zap.Int("jobs", len(left)), zap.Error(err))
		wait.For(ctx, saveRetryDelay)
	}
	return len(left) == 0
}

func (r *jobRemover) removal(jobs []expiredJob) kv.Change {
	c := kv.Change{Conditions: []kv.Condition{{Key: storekeys.Owner, Revision: r.term}}}
	for _, j := range jobs {
		c.Conditions = append(c.Conditions, kv.Condition{Key: storekeys.Job(j.id), Revision: j.revision})
		c.Deletes = append(c.Deletes, storekeys.Job(j.id), storekeys.Cancel(j.id), storekeys.Result(j.id))
	}
	return c
}

// removedJob is a job that the scheduler has forgotten. Reads of the store from before its removal
// still have it.
type removedJob struct {
	revision int64
	// removedAt is when the removal was known to be durable, the zero time before.
	removedAt time.Time
}

// removeExpiredJobs forgets the jobs whose results are kept no longer and removes their keys.
func (o *Owner) removeExpiredJobs(now time.Time) {
	var jobs []expiredJob
	for _, id := range o.core.RemoveExpired(o.KeepResults()+retentionMargin, now) {
		j := expiredJob{id, o.jobRevisions[id]}
		delete(o.jobRevisions, id)
		o.removedJobs[id] = removedJob{revision: j.revision}
		jobs = append(jobs, j)
	}
	if len(jobs) > 0 {
		o.jobRemover.add(jobs)
	}
}

func (o *Owner) jobsRemoved(jobs []expiredJob) {
	o.post(func(now time.Time) {
		for _, j := range jobs {
			if o.removedJobs[j.id].revision == j.revision {
				o.removedJobs[j.id] = removedJob{j.revision, now}
			}
		}
	})
}

// noteSubmissionsRead returns a function that notes, behind the items that it has brought, a read
// of the submissions which was requested at the given time: later reads have no job any more that
// was removed before.
func (o *Owner) noteSubmissionsRead() func(requested readTime) {
	var last time.Time
	return func(read readTime) {
		requested := read.at
		if requested.Sub(last) < removalReadInterval {
			return
		}
		last = requested
		o.post(func(time.Time) {
			for id, j := range o.removedJobs {
				if !j.removedAt.IsZero() && requested.After(j.removedAt) {
					delete(o.removedJobs, id)
				}
			}
		})
	}
}
