package dispatch

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/storekeys"
	"egretdrum.example/wait"
)

const (
	// countInterval is how often the counts of the queues are written if they changed.
	countInterval = time.Second
	// countRetryDelay is the delay after counts that could not be written.
	countRetryDelay = 200 * time.Millisecond
)

// writeCounts stores the number of waiting jobs of each queue, at once and then when it changes, and updates
// the gauges. The counts are under the lease of the owner, so that hosts do not take those of an owner that
// has ended, or is suspended, for present ones.
func (o *Owner) writeCounts() {
	var stored map[string]int
	failed := false
	for pause := time.Duration(0); pause == 0 || wait.For(o.ctx, pause); {
		pause = countInterval
		counts, ok := o.count()
		if !ok {
			return
		}
		if stored != nil && maps.Equal(stored, counts) {
			continue
		}
		err := o.storeCounts(counts)
		if err != nil && !failed {
			o.Log.Info("counts-not-stored", zap.Error(err))
		}
		if failed = err != nil; failed {
			pause = countRetryDelay
			continue
		}
		stored = counts
	}
}

// count reads the counts from the loop. It reports false if the term is over.
func (o *Owner) count() (map[string]int, bool) {
	answer := make(chan map[string]int, 1)
	o.post(func(time.Time) {
		answer <- o.core.Pending()
		sum := o.core.Summary()
		o.Meter.Gauge("owner_delay_seconds", o.eventDelay.current.Seconds())
		o.Meter.Gauge("jobs", float64(sum.Jobs))
		o.Meter.Gauge("waiting_tasks", float64(sum.Waiting))
		o.Meter.Gauge("running_tasks", float64(sum.Running))
		o.Meter.Gauge("workers", float64(sum.Workers))
		o.Meter.Gauge("isolated_tasks", float64(sum.Isolated))
		o.Meter.Gauge("given_up_jobs", float64(sum.GivenUp))
		o.Meter.Gauge("delayed_jobs", float64(sum.Delayed))
		o.Meter.Gauge("held_jobs", float64(sum.Held))
		o.Meter.Gauge("run_time_error", sum.RunTimeError)
		o.Meter.Gauge("long_run_copies", float64(sum.LongRunCopies))
		o.Meter.Gauge("long_run_copies_helped", float64(sum.LongRunCopiesHelped))
		o.Meter.Gauge("unanswered_workers", float64(sum.Unanswered))
	})
	select {
	case counts := <-answer:
		return counts, true
	case <-o.ctx.Done():
		return nil, false
	}
}

func (o *Owner) storeCounts(counts map[string]int) error {
	waiting, err := cbor.Marshal(counts)
	older := maps.Clone(counts)
	older[storekeys.WaitingCounted] = 1
	value, err2 := cbor.Marshal(older)
	if err := errors.Join(err, err2); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(o.ctx, saveTimeout)
	defer cancel()
	return o.keys.commit(ctx, []kv.Put{
		{Key: storekeys.Waiting, Value: waiting, Lease: o.term.Lease},
		{Key: storekeys.Counts, Value: value},
	}, nil)
}
