package dispatch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/layout"
	"egretdrum.example/scheduler"
	"egretdrum.example/wait"
)

// silences writes the records of workers that do not answer. Each change requires that the
// owner is the same, so that an earlier owner never replaces a record of a later one.
type silences struct {
	store   kv.Store
	term    int64
	log     *zap.Logger
	changed chan struct{}

	mu sync.Mutex
	// waiting has the newest record of each worker that is to be written; a nil record is
	// to be removed.
	waiting map[string][]byte
}

func newSilences(store kv.Store, term int64, log *zap.Logger) *silences {
	return &silences{store: store, term: term, log: log, changed: make(chan struct{}, 1), waiting: make(map[string][]byte)}
}

func (v *silences) set(record scheduler.Silence) {
	b, err := cbor.Marshal(record)
	if err != nil {
		v.log.Error("silence-not-encoded", zap.String("worker", record.Worker), zap.Error(err))
		return
	}
	v.queue(record.Worker, b)
}

func (v *silences) end(id string) { v.queue(id, nil) }

func (v *silences) queue(id string, record []byte) {
	v.mu.Lock()
	v.waiting[id] = record
	v.mu.Unlock()
	select {
	case v.changed <- struct{}{}:
	default:
		// The writer has not yet seen the change before.
	}
}

// run writes until ctx ends, one change after the other, so that the last state of a worker
// is the one that is stored. It calls lost if another host is the owner.
func (v *silences) run(ctx context.Context, lost func(), ended func(id string)) {
	for {
		select {
		case <-v.changed:
		case <-ctx.Done():
			return
		}
		for batch := v.take(); len(batch) > 0 && ctx.Err() == nil; batch = v.take() {
			if !v.write(ctx, batch) {
				lost()
				return
			}
			for id, record := range batch {
				if record == nil {
					ended(id)
				}
			}
		}
	}
}

// take removes up to a change's worth of records from those that wait.
func (v *silences) take() map[string][]byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	batch := make(map[string][]byte)
	for _, id := range slices.Sorted(maps.Keys(v.waiting)) {
		if len(batch) == kv.MaxEntries-1 {
			break
		}
		batch[id] = v.waiting[id]
		delete(v.waiting, id)
	}
	return batch
}

func keysOf(puts []kv.Put) []string {
	var keys []string
	for _, p := range puts {
		keys = append(keys, p.Key)
	}
	return keys
}

// write repeats a change until it is stored. It reports false if the right is lost.
func (v *silences) write(ctx context.Context, batch map[string][]byte) bool {
	c := kv.Change{Conditions: []kv.Condition{{Key: layout.Owner, Revision: v.term}}}
	for id, record := range batch {
		if record == nil {
			c.Deletes = append(c.Deletes, layout.Silence(id))
			continue
		}
		c.Puts = append(c.Puts, kv.Put{Key: layout.Silence(id), Value: record})
	}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, saveTimeout)
		_, err := v.store.Commit(call, c)
		cancel()
		var conflict *kv.ConflictError
		switch {
		case err == nil:
			v.log.Info("silences-stored", zap.Strings("silent", keysOf(c.Puts)), zap.Strings("ended", c.Deletes))
			return true
		case errors.As(err, &conflict):
			return false
		}
		wait.For(ctx, saveRetry)
	}
	return false
}

func (o *Owner) silenceEnded(id string) {
	o.post(func(now time.Time) { o.core.SilenceEnded(id, now) })
}

func (o *Owner) loadSilences(items []kv.Item, now time.Time) {
	for _, item := range items {
		var v scheduler.Silence
		if err := cbor.Unmarshal(item.Value, &v); err != nil {
			o.Log.Warn("silence-not-decoded", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		o.core.SetSilence(v, now)
	}
}
