package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/storekeys"
	"egretdrum.example/transfer"
	"egretdrum.example/wait"
)

const (
	// watchWait bounds how long a watch that delivers no more events hides new jobs; a
	// store that compacts its history leaves watches open without events.
	watchWait = 600 * time.Millisecond
	// watchTimeout is how late a response may be; a slow store needs a third of a second.
	watchTimeout = 600 * time.Millisecond
	// watchBatchDelay is the pause after a response with events, so that the next one
	// carries more events of a burst; each response costs a call.
	watchBatchDelay = 12 * time.Millisecond
	watchRetryDelay = 100 * time.Millisecond
)

// follow watches a prefix and applies its events. After a failed watch it reads the whole
// prefix again. read is called for each response that is applied, with the time of its request.
func (o *Owner) follow(prefix string, after int64, event func(kv.Event), reload func([]kv.Item), read func(requested readTime)) {
	watchFailed := false
	for o.ctx.Err() == nil {
		requested := o.readTime()
		ctx, cancel := context.WithTimeout(o.ctx, watchWait+watchTimeout)
		events, revision, err := o.Store.Watch(ctx, prefix, after, watchWait)
		cancel()
		switch {
		case o.ctx.Err() != nil:
			return
		case err == nil:
			if watchFailed {
				watchFailed = false
				o.Log.Info("feed-regained", zap.String("prefix", prefix))
			}
			after = revision
			for _, e := range events {
				event(e)
			}
			read(requested)
			if len(events) > 0 {
				wait.For(o.ctx, watchBatchDelay)
			}
			continue
		case !watchFailed:
			watchFailed = true
			o.Log.Warn("feed-lost", zap.String("prefix", prefix), zap.Error(err), zap.Bool("history-dropped", errors.Is(err, kv.ErrCompacted)))
		}
		// A failed watch may have missed events; the range read returns the current state.
		requested = o.readTime()
		if items, revision, ok := o.readRange(prefix); ok {
			reload(items)
			read(requested)
			after = revision
		}
		// Without this delay, a store that rejects watches immediately would cause a busy loop.
		wait.For(o.ctx, watchRetryDelay)
	}
}

// readRange reads a prefix for as long as parts of it arrive, up to the time for the load of a term.
func (o *Owner) readRange(prefix string) ([]kv.Item, int64, bool) {
	ctx, cancel := transfer.Bounds{First: watchTimeout, Silence: watchTimeout, Total: loadTimeout}.Context(o.ctx)
	defer cancel()
	items, revision, err := o.Store.Range(ctx, prefix)
	return items, revision, err == nil
}

func (o *Owner) workerEvent(e kv.Event) {
	o.post(func(now time.Time) {
		if e.Deleted {
			o.removeWorker(e.Key, now)
			return
		}
		o.setWorker(e.Item, now)
	})
}

// reloadWorkers reconciles the scheduler's workers with a full read of the registrations. A
// missing registration may come back, so RemoveWorker keeps the worker's tasks until its
// lease has ended.
func (o *Owner) reloadWorkers(items []kv.Item) {
	o.post(func(now time.Time) {
		listed := make(map[string]bool, len(items))
		for _, item := range items {
			listed[item.Key] = true
			o.setWorker(item, now)
		}
		for _, id := range o.core.Workers() {
			if key := o.Calls.WorkerPrefix + id; !listed[key] {
				o.removeWorker(key, now)
			}
		}
	})
}

func (o *Owner) submissionEvent(e kv.Event) {
	o.post(func(now time.Time) {
		if !e.Deleted {
			o.applySubmission(e.Item, nil, now)
		} else if id, cancel := storekeys.ParseSubmission(e.Key); cancel {
			delete(o.cancelledUnknown, id)
		}
	})
}

func (o *Owner) reloadSubmissions(items []kv.Item) {
	o.post(func(now time.Time) {
		clear(o.cancelledUnknown)
		for _, item := range items {
			o.applySubmission(item, nil, now)
		}
	})
}
