package dispatch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/scheduler"
	"egretdrum.example/storekeys"
	"egretdrum.example/wait"
)

// keyWriter writes the newest values of some keys. The store may reject a value for good. Its key is
// removed then: without a record, the next owner waits until it knows more by other means.
type keyWriter struct {
	keys    *guardedKeys
	log     *zap.Logger
	changed chan struct{}

	mu sync.Mutex
	// pending holds the values that have to be written; nil means that the key is removed.
	pending map[string][]byte
}

func newKeyWriter(keys *guardedKeys, log *zap.Logger) *keyWriter {
	return &keyWriter{keys: keys, log: log, changed: make(chan struct{}, 1), pending: make(map[string][]byte)}
}

// set queues a value, nil to remove the key. It replaces a pending value of the same key.
func (v *keyWriter) set(key string, value []byte) {
	v.mu.Lock()
	v.pending[key] = value
	v.mu.Unlock()
	select {
	case v.changed <- struct{}{}:
	default:
		// A wake-up is already pending.
	}
}

// setEncoded queues the CBOR encoding of a value.
func (v *keyWriter) setEncoded(key string, value any) {
	b, err := cbor.Marshal(value)
	if err != nil {
		v.log.Error("value-not-encoded", zap.String("key", key), zap.Error(err))
		return
	}
	v.set(key, b)
}

// run writes until ctx ends, one change after the other, so that the last value set for a
// key is the one that stays stored. It calls lost if another host is the owner, and written
// for each value that is durable, or whose key is durably removed in its place.
func (v *keyWriter) run(ctx context.Context, lost func(), written func(key string, value []byte)) {
	for {
		select {
		case <-v.changed:
		case <-ctx.Done():
			return
		}
		for batch := v.nextBatch(); len(batch) > 0 && ctx.Err() == nil; batch = v.nextBatch() {
			if !v.writeBatch(ctx, batch) {
				lost()
				return
			}
			for key, value := range batch {
				written(key, value)
			}
		}
	}
}

// maxChangeBytes bounds the values of one change, unless a single one is larger.
const maxChangeBytes = 1 << 20

// nextBatch removes as many pending values as fit into one change.
func (v *keyWriter) nextBatch() map[string][]byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	batch, size := make(map[string][]byte), 0
	for _, key := range slices.Sorted(maps.Keys(v.pending)) {
		size += len(v.pending[key])
		if len(batch) == guardedKeysPerChange || (len(batch) > 0 && size > maxChangeBytes) {
			break
		}
		batch[key] = v.pending[key]
		delete(v.pending, key)
	}
	return batch
}

// writeBatch stores a batch, but for the values that the store rejects. It reports false if ownership is
// lost or ctx ends.
func (v *keyWriter) writeBatch(ctx context.Context, batch map[string][]byte) bool {
	err := v.write(ctx, batch)
	if !kv.Rejected(err) {
		return err == nil
	}
	for _, key := range slices.Sorted(maps.Keys(batch)) {
		value := batch[key]
		switch {
		case len(batch) > 1:
			// One value is the cause, and the others must not wait for it.
		case value == nil:
			v.log.Error("value-rejected", zap.String("key", key), zap.Error(err))
			return true
		default:
			v.log.Error("value-rejected", zap.String("key", key), zap.Int("bytes", len(value)), zap.Error(err))
			value = nil
		}
		if !v.writeBatch(ctx, map[string][]byte{key: value}) {
			return false
		}
	}
	return true
}

// write repeats a change until it is stored. It returns an error if the store rejects the change,
// ownership is lost or ctx ends.
func (v *keyWriter) write(ctx context.Context, batch map[string][]byte) error {
	var puts []kv.Put
	var deletes []string
	for _, key := range slices.Sorted(maps.Keys(batch)) {
		if value := batch[key]; value != nil {
			puts = append(puts, kv.Put{Key: key, Value: value})
		} else {
			deletes = append(deletes, key)
		}
	}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, saveTimeout)
		err := v.keys.commit(call, puts, deletes)
		cancel()
		var replaced *ownerReplacedError
		switch {
		case err == nil:
			v.log.Info("keys-stored", zap.Strings("written", keysOf(puts)), zap.Strings("removed", deletes))
			return nil
		case errors.As(err, &replaced), kv.Rejected(err):
			return err
		}
		v.log.Warn("keys-not-stored", zap.Int("written", len(puts)), zap.Int("removed", len(deletes)), zap.Error(err))
		wait.For(ctx, saveRetryDelay)
	}
	return ctx.Err()
}

func keysOf(puts []kv.Put) []string {
	var keys []string
	for _, p := range puts {
		keys = append(keys, p.Key)
	}
	return keys
}

// keyWritten reports a durable value to the scheduler.
func (o *Owner) keyWritten(key string, value []byte) {
	if id, unresponsive := strings.CutPrefix(key, storekeys.UnresponsiveWorkers); unresponsive {
		if value == nil {
			o.post(func(now time.Time) { o.core.UnresponsiveEnded(id, now) })
		}
		return
	}
	var pools scheduler.PoolUse
	if err := cbor.Unmarshal(value, &pools); err != nil {
		o.Log.Error("value-not-decoded", zap.String("key", key), zap.Error(err))
		return
	}
	o.post(func(now time.Time) { o.core.PoolUseStored(pools, now) })
}

func (o *Owner) loadUnresponsive(items []kv.Item, now time.Time) {
	for _, item := range items {
		o.keys.setRevision(item.Key, item.Revision)
		if len(item.Value) == 0 {
			// The previous owner had to empty the key in place of deleting it.
			o.keyWriter.set(item.Key, nil)
			continue
		}
		var v scheduler.UnresponsiveWorker
		if err := cbor.Unmarshal(item.Value, &v); err != nil {
			o.Log.Warn("silence-not-decoded", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		o.core.SetUnresponsive(v, now)
	}
}

// loadPoolUse passes to the scheduler which pools the queues have used. Without it, a
// recovery holds back the tasks of all queues.
func (o *Owner) loadPoolUse(items []kv.Item, now time.Time) {
	for _, item := range items {
		o.keys.setRevision(item.Key, item.Revision)
		var pools scheduler.PoolUse
		if err := cbor.Unmarshal(item.Value, &pools); err != nil {
			o.Log.Warn("pool-use-not-decoded", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		o.core.SetPoolUse(pools, now)
	}
}
