package dispatch

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/latency"
	"egretdrum.example/scheduler"
	"egretdrum.example/storekeys"
	"egretdrum.example/supervision"
	"egretdrum.example/wait"
)

// saver writes the progress records of jobs, which are their stored results. Every write is
// conditional on the revisions of the owner's key and of the record, so that a write of a
// previous owner, or one whose response was lost, never replaces a newer record.
type saver struct {
	store      kv.Store
	term       int64
	log        *zap.Logger
	supervisor *supervision.Supervisor
	// changed wakes the writer when a record was queued or a batch was written.
	changed chan struct{}

	latency latency.Estimate

	mu        sync.Mutex
	revisions map[string]int64 // by key
	// pending holds the newest unwritten record of each job; finalJobs and progressJobs
	// hold the job IDs in the order of arrival, and may include IDs of records that have
	// been written since.
	pending                 map[string]scheduler.Save
	finalJobs, progressJobs []string
	// writing holds the jobs whose records are in flight; batches counts the batches in
	// flight, and progressBatches those of them without a final record.
	writing         map[string]bool
	batches         int
	progressBatches int
}

const (
	// saveTimeout covers a store that responds 80 times slower than usual. A change is sent
	// again after minSaveTimeout if the store usually responds far faster, since the response
	// is probably lost; the conditions of the change keep it from taking effect twice.
	saveTimeout    = 900 * time.Millisecond
	minSaveTimeout = 150 * time.Millisecond
	saveRetryDelay = 80 * time.Millisecond
	// savesPerChange leaves one entry for the condition on the owner's key; each save needs
	// two entries, its condition and its put.
	savesPerChange = (kv.MaxEntries - 1) / 2
	// saveBatchDelay is how long the writer waits for further records, so that results that
	// arrive close together share a change.
	saveBatchDelay = 6 * time.Millisecond
	// saveOverlapDelay is how long the writer waits for a batch before it sends another one
	// concurrently; it is several times the response time of a healthy store.
	saveOverlapDelay = 25 * time.Millisecond
	// maxBatchesInFlight bounds the batches in flight, and so the calls to a slow store.
	maxBatchesInFlight = 12
	// maxProgressBatchesInFlight bounds the batches without a final record. They can wait:
	// the newest record of a running job replaces its pending one, whereas a job that ends
	// must not wait for the response to an earlier record.
	maxProgressBatchesInFlight = 2
)

func newSaver(store kv.Store, term int64, log *zap.Logger, supervisor *supervision.Supervisor) *saver {
	return &saver{
		store: store, term: term, log: log, supervisor: supervisor, changed: make(chan struct{}, 1), revisions: make(map[string]int64),
		pending: make(map[string]scheduler.Save), writing: make(map[string]bool),
	}
}

// setRevision records the revision of a record that was read or written.
func (v *saver) setRevision(key string, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.revisions[key] = revision
}

// add queues a record in place of an earlier one of the same job.
func (v *saver) add(s scheduler.Save) {
	v.mu.Lock()
	before, queued := v.pending[s.Job]
	v.pending[s.Job] = s
	switch {
	case s.Final && !(queued && before.Final):
		v.finalJobs = append(v.finalJobs, s.Job)
	case !s.Final && !queued:
		v.progressJobs = append(v.progressJobs, s.Job)
	}
	v.mu.Unlock()
	v.wake()
}

func (v *saver) wake() {
	select {
	case v.changed <- struct{}{}:
	default:
		// A wake-up is already pending.
	}
}

// run writes until ctx ends; it calls lost if another host is the owner or a write fails
// unexpectedly, and saved for each record that is durable. A job is in one batch at a time,
// so batches may be in flight concurrently: a store that responds in milliseconds gets one
// after the other, a slow one gets several at once.
func (v *saver) run(ctx context.Context, lost func(), saved func(id string, version int, ok bool)) {
	var batches sync.WaitGroup
	defer batches.Wait()
	for ctx.Err() == nil {
		batch, progressOnly := v.nextBatch()
		if len(batch) == 0 {
			select {
			case <-v.changed:
				wait.For(ctx, saveBatchDelay)
			case <-ctx.Done():
			}
			continue
		}
		done := make(chan struct{})
		batches.Go(func() {
			defer close(done)
			failed := v.supervisor.Run("saver-write", func() {
				stored, ok := v.writeBatch(ctx, batch)
				if !ok {
					lost()
					return
				}
				v.batchWritten(batch, progressOnly)
				for _, s := range stored {
					saved(s.Job, s.Version, true)
				}
			})
			if failed {
				lost()
			}
		})
		select {
		case <-done:
		case <-time.After(saveOverlapDelay):
		case <-ctx.Done():
		}
	}
}

// nextBatch removes the next batch from the pending records, final records first.
// progressOnly reports that it has no final record.
func (v *saver) nextBatch() (batch []scheduler.Save, progressOnly bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.batches >= maxBatchesInFlight {
		return nil, false
	}
	v.finalJobs = v.moveToBatch(v.finalJobs, &batch)
	progressOnly = len(batch) == 0
	if !progressOnly || v.progressBatches < maxProgressBatchesInFlight {
		v.progressJobs = v.moveToBatch(v.progressJobs, &batch)
	}
	if len(batch) == 0 {
		return nil, false
	}
	v.batches++
	if progressOnly {
		v.progressBatches++
	}
	return batch, progressOnly
}

// moveToBatch moves the pending records of the given jobs to the batch and returns the jobs
// that do not fit or whose earlier record is still in flight.
func (v *saver) moveToBatch(ids []string, batch *[]scheduler.Save) []string {
	left, size := ids[:0], 0
	for _, s := range *batch {
		size += len(s.Record)
	}
	for i, id := range ids {
		s, queued := v.pending[id]
		if len(*batch) == savesPerChange || (len(*batch) > 0 && size+len(s.Record) > maxChangeBytes) {
			return append(left, ids[i:]...)
		}
		switch {
		case !queued:
		case v.writing[id]:
			left = append(left, id)
		default:
			*batch = append(*batch, s)
			size += len(s.Record)
			delete(v.pending, id)
			v.writing[id] = true
		}
	}
	return left
}

// batchWritten releases the jobs of a batch and its place among those in flight.
func (v *saver) batchWritten(batch []scheduler.Save, progressOnly bool) {
	v.mu.Lock()
	for _, s := range batch {
		delete(v.writing, s.Job)
	}
	v.batches--
	if progressOnly {
		v.progressBatches--
	}
	v.mu.Unlock()
	v.wake()
}

// writeBatch stores a batch and returns its records but for those that the store rejects. Of such a job,
// the next version is tried again. ok is false if ownership is lost or ctx ends.
func (v *saver) writeBatch(ctx context.Context, batch []scheduler.Save) (stored []scheduler.Save, ok bool) {
	err := v.write(ctx, batch)
	if err == nil {
		return batch, true
	}
	if !kv.Rejected(err) {
		return nil, false
	}
	if len(batch) == 1 {
		v.log.Error("value-rejected", zap.String("key", storekeys.Result(batch[0].Job)), zap.Int("bytes", len(batch[0].Record)), zap.Error(err))
		return nil, true
	}
	// One record is the cause, and the others must not wait for it.
	for i := range batch {
		s, ok := v.writeBatch(ctx, batch[i:i+1])
		if !ok {
			return nil, false
		}
		stored = append(stored, s...)
	}
	return stored, true
}

// write repeats a batch until it is stored. It returns an error if the store rejects the batch, ownership
// is lost or ctx ends.
func (v *saver) write(ctx context.Context, batch []scheduler.Save) error {
	failures := 0
	for ctx.Err() == nil {
		revision, err := v.commit(ctx, v.change(batch), failures)
		var conflict *kv.ConflictError
		switch {
		case err == nil:
			if failures > 0 {
				v.log.Info("results-stored-again", zap.Int("attempts", failures+1))
			}
			for _, s := range batch {
				v.setRevision(storekeys.Result(s.Job), revision)
			}
			return nil
		case errors.As(err, &conflict):
			if conflict.Find(storekeys.Owner).Revision != v.term {
				v.log.Warn("owner-replaced", zap.Int64("term", v.term))
				return &ownerReplacedError{v.term}
			}
			if v.reconcile(conflict, batch) {
				return nil
			}
		case kv.Rejected(err):
			return err
		default:
			if failures == 0 {
				v.log.Warn("results-not-stored", zap.Int("jobs", len(batch)), zap.Error(err))
			}
			failures++
			wait.For(ctx, saveRetryDelay)
		}
	}
	return ctx.Err()
}

func (v *saver) commit(ctx context.Context, c kv.Change, failures int) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, v.latency.Timeout(minSaveTimeout, saveTimeout, failures))
	defer cancel()
	sent := time.Now()
	revision, err := v.store.Commit(ctx, c)
	var conflict *kv.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict), kv.Rejected(err):
		v.latency.RecordAnswer(time.Since(sent))
	case ctx.Err() != nil:
		v.latency.RecordMiss()
	}
	return revision, err
}

func (v *saver) change(batch []scheduler.Save) kv.Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := kv.Change{Conditions: []kv.Condition{{Key: storekeys.Owner, Revision: v.term}}}
	for _, s := range batch {
		key := storekeys.Result(s.Job)
		c.Conditions = append(c.Conditions, kv.Condition{Key: key, Revision: v.revisions[key]})
		c.Puts = append(c.Puts, kv.Put{Key: key, Value: s.Record})
	}
	return c
}

// reconcile adopts the current revisions from a conflict. It reports true if the batch is
// already stored, by an attempt whose response was lost.
func (v *saver) reconcile(conflict *kv.ConflictError, batch []scheduler.Save) bool {
	stored := true
	for _, s := range batch {
		item := conflict.Find(storekeys.Result(s.Job))
		v.setRevision(storekeys.Result(s.Job), item.Revision)
		stored = stored && bytes.Equal(item.Value, s.Record)
	}
	return stored
}
