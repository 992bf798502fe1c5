package dispatch

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/layout"
	"egretdrum.example/scheduler"
	"egretdrum.example/wait"
)

// saver writes the progress of jobs. Every write requires that the owner's key and the
// record are as they were, so that a write of an earlier owner, or one whose answer was
// lost, never replaces a newer record.
type saver struct {
	store     kv.Store
	term      int64
	log       *zap.Logger
	queue     chan scheduler.Save
	mu        sync.Mutex
	revisions map[string]int64 // by key
}

const (
	// saveTimeout covers a store that answers 80 times slower than usual.
	saveTimeout = 900 * time.Millisecond
	saveRetry   = 80 * time.Millisecond
	// savesPerChange leaves room for the owner's condition; each save has two entries.
	savesPerChange = (kv.MaxEntries - 1) / 2
	// gatherSaves lets results that come close together into one change.
	gatherSaves = 6 * time.Millisecond
	// savePatience is how long a batch is alone on its way; it is several times the answer
	// of a healthy store.
	savePatience = 25 * time.Millisecond
	// savesInFlight bounds the batches on their way, and so the calls to a slow store.
	savesInFlight = 12
	// saveQueue is above the number of jobs that change in one pass.
	saveQueue = 8192
)

func newSaver(store kv.Store, term int64, log *zap.Logger) *saver {
	return &saver{store: store, term: term, log: log, queue: make(chan scheduler.Save, saveQueue), revisions: make(map[string]int64)}
}

// known notes the revision of a record that was read or written.
func (v *saver) known(key string, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.revisions[key] = revision
}

// run writes until ctx ends; it calls lost if another host is the owner. A job is in one
// batch at a time, so batches may be on their way together: a store that answers in
// milliseconds gets one after the other, a slow one gets several.
func (v *saver) run(ctx context.Context, lost func(), saved func(id string, version int, ok bool)) {
	var writing sync.WaitGroup
	defer writing.Wait()
	free := make(chan struct{}, savesInFlight)
	for {
		batch := v.collect(ctx)
		if batch == nil {
			return
		}
		select {
		case free <- struct{}{}:
		case <-ctx.Done():
			return
		}
		done := make(chan struct{})
		writing.Go(func() {
			defer close(done)
			defer func() { <-free }()
			if !v.write(ctx, batch) {
				lost()
				return
			}
			for _, s := range batch {
				saved(s.Job, s.Version, true)
			}
		})
		select {
		case <-done:
		case <-time.After(savePatience):
		case <-ctx.Done():
		}
	}
}

func (v *saver) collect(ctx context.Context) []scheduler.Save {
	var batch []scheduler.Save
	select {
	case s := <-v.queue:
		batch = append(batch, s)
	case <-ctx.Done():
		return nil
	}
	wait.For(ctx, gatherSaves)
	for len(batch) < savesPerChange {
		select {
		case s := <-v.queue:
			batch = append(batch, s)
		default:
			return batch
		}
	}
	return batch
}

// write repeats a batch until it is stored. It reports false if the right is lost.
func (v *saver) write(ctx context.Context, batch []scheduler.Save) bool {
	failures := 0
	for ctx.Err() == nil {
		revision, err := v.commit(ctx, v.change(batch))
		var conflict *kv.ConflictError
		switch {
		case err == nil:
			if failures > 0 {
				v.log.Info("results-stored-again", zap.Int("attempts", failures+1))
			}
			for _, s := range batch {
				v.known(layout.Result(s.Job), revision)
			}
			return true
		case errors.As(err, &conflict):
			if conflict.Find(layout.Owner).Revision != v.term {
				v.log.Warn("owner-replaced", zap.Int64("term", v.term))
				return false
			}
			if v.reconcile(conflict, batch) {
				return true
			}
		default:
			if failures == 0 {
				v.log.Warn("results-not-stored", zap.Int("jobs", len(batch)), zap.Error(err))
			}
			failures++
			wait.For(ctx, saveRetry)
		}
	}
	return false
}

func (v *saver) commit(ctx context.Context, c kv.Change) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	return v.store.Commit(ctx, c)
}

func (v *saver) change(batch []scheduler.Save) kv.Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := kv.Change{Conditions: []kv.Condition{{Key: layout.Owner, Revision: v.term}}}
	for _, s := range batch {
		key := layout.Result(s.Job)
		c.Conditions = append(c.Conditions, kv.Condition{Key: key, Revision: v.revisions[key]})
		c.Puts = append(c.Puts, kv.Put{Key: key, Value: s.Record})
	}
	return c
}

// reconcile takes over the present revisions. It reports true if the batch is stored
// already, by an attempt whose answer was lost.
func (v *saver) reconcile(conflict *kv.ConflictError, batch []scheduler.Save) bool {
	stored := true
	for _, s := range batch {
		item := conflict.Find(layout.Result(s.Job))
		v.known(layout.Result(s.Job), item.Revision)
		stored = stored && bytes.Equal(item.Value, s.Record)
	}
	return stored
}
