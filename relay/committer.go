// Package relay commits changes of submissions for hosts that the store does not serve, with the
// connection of the owner.
package relay

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/latency"
	"egretdrum.example/meter"
	"egretdrum.example/storekeys"
	"egretdrum.example/supervision"
)

const (
	// maxInFlight is the number of changes that the store has to answer at the same time, maxQueued
	// that of changes that wait for one of them; a store that needs a third of a second answers a
	// hundred each second.
	maxInFlight = 32
	maxQueued   = 32
	// maxBytes bounds the memory of these changes.
	maxBytes = 4 << 20
	// minTimeout and maxTimeout bound the wait for an answer of the store, as for the host's own changes.
	minTimeout = 150 * time.Millisecond
	maxTimeout = 900 * time.Millisecond
	// refusedPause leaves the calls that the store still accepts to the owner's own work, above all the
	// renewal of its lease, when the hosts of a fleet have all reached their rate limits.
	refusedPause = time.Second
)

var (
	errBusy       = errors.New("the owner commits too many changes for other hosts")
	errPaused     = errors.New("the store has refused a change of the owner a moment ago")
	errNotServed  = errors.New("the store does not serve the owner")
	errForeignKey = errors.New("a relayed change may only write submissions")
	errOff        = errors.New("the owner is set to commit no changes for other hosts")
	errLate       = errors.New("the owner had no time for the change")
)

// Committer commits changes for other hosts. It is safe for concurrent use.
type Committer struct {
	Store kv.Store
	// Serves reports whether the store serves this host, Enabled whether the settings allow relays.
	Serves, Enabled func() bool
	Log             *zap.Logger
	Meter           *meter.Meter
	Supervisor      *supervision.Supervisor

	queue chan task
	bytes atomic.Int64
	usual latency.Estimate
	// refused is the time of the last change that the store has turned away.
	refused atomic.Pointer[time.Time]
}

// task is a change that waits to be committed.
type task struct {
	change   kv.Change
	size     int64
	deadline time.Time
	reply    func(revision int64, err error)
}

// New returns a committer without work; Run carries it out. A panic leaves the outcome of its change
// unknown.
func New(store kv.Store, serves, enabled func() bool, log *zap.Logger, m *meter.Meter, supervisor *supervision.Supervisor) *Committer {
	return &Committer{Store: store, Serves: serves, Enabled: enabled, Log: log, Meter: m, Supervisor: supervisor, queue: make(chan task, maxQueued)}
}

// Commit queues a change and returns at once; reply gets the result of kv.Store.Commit. A change that
// is not sent to the store within the given time is not applied.
func (c *Committer) Commit(change kv.Change, within time.Duration, reply func(revision int64, err error)) {
	t := task{change: change, size: size(change), deadline: time.Now().Add(within), reply: reply}
	if err := c.check(change); err != nil {
		c.finish(t, 0, notApplied(err))
		return
	}
	if c.bytes.Add(t.size) > maxBytes {
		c.bytes.Add(-t.size)
		c.finish(t, 0, notApplied(errBusy))
		return
	}
	select {
	case c.queue <- t:
	default:
		c.bytes.Add(-t.size)
		c.finish(t, 0, notApplied(errBusy))
	}
}

func (c *Committer) check(change kv.Change) error {
	if !c.Enabled() {
		return errOff
	}
	foreign := len(change.Puts)+len(change.Deletes) == 0
	for _, p := range change.Puts {
		foreign = foreign || !strings.HasPrefix(p.Key, storekeys.Submissions)
	}
	for _, key := range change.Deletes {
		foreign = foreign || !strings.HasPrefix(key, storekeys.Submissions)
	}
	if foreign {
		return errForeignKey
	}
	return c.checkStore()
}

// checkStore returns why no change may be sent to the store at present.
func (c *Committer) checkStore() error {
	if at := c.refused.Load(); at != nil && time.Since(*at) < refusedPause {
		return errPaused
	}
	if !c.Serves() {
		return errNotServed
	}
	return nil
}

// Run commits the queued changes until ctx ends.
func (c *Committer) Run(ctx context.Context) {
	ended := make(chan struct{}, maxInFlight)
	for range maxInFlight {
		go func() { c.Supervisor.RunWithRestart(ctx, "relay", c.work); ended <- struct{}{} }()
	}
	for range maxInFlight {
		<-ended
	}
}

func (c *Committer) work(ctx context.Context) {
	for {
		select {
		case t := <-c.queue:
			c.serve(ctx, t)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Committer) serve(ctx context.Context, t task) {
	revision, err := c.commit(ctx, t)
	c.finish(t, revision, err)
}

// commit sends a change to the store unless it is too late for that, and releases its memory.
func (c *Committer) commit(ctx context.Context, t task) (int64, error) {
	defer c.bytes.Add(-t.size)
	left := time.Until(t.deadline)
	if left <= 0 {
		return 0, notApplied(errLate)
	}
	// The store may have stopped answering while the change was queued.
	if err := c.checkStore(); err != nil {
		return 0, notApplied(err)
	}
	ctx, cancel := context.WithTimeout(ctx, min(left, c.usual.Timeout(minTimeout, maxTimeout, 0)))
	defer cancel()
	sent := time.Now()
	revision, err := c.Store.Commit(ctx, t.change)
	var conflict *kv.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict), kv.Rejected(err):
		c.usual.RecordAnswer(time.Since(sent))
	case ctx.Err() != nil:
		c.usual.RecordMiss()
	case kv.NotApplied(err):
		now := time.Now()
		c.refused.Store(&now)
	}
	return revision, err
}

// finish replies to the host and logs the outcome.
func (c *Committer) finish(t task, revision int64, err error) {
	t.reply(revision, err)
	var conflict *kv.ConflictError
	outcome := "unknown"
	switch {
	case err == nil:
		outcome = "applied"
	case errors.As(err, &conflict):
		outcome = "conflict"
	case kv.NotApplied(err):
		outcome = "not-applied"
	}
	c.Meter.Count("relayed_changes", "outcome", outcome)
	fields := []zap.Field{zap.String("outcome", outcome), zap.Int64("revision", revision), zap.Error(err)}
	if len(t.change.Puts) > 0 {
		id, _ := storekeys.ParseSubmission(t.change.Puts[0].Key)
		fields = append(fields, zap.String("request", id))
	}
	c.Log.Info("change-relayed", fields...)
}

func notApplied(cause error) error { return &kv.UnavailableError{NotApplied: true, Cause: cause} }

// size returns the bytes of the values and keys of a change.
func size(c kv.Change) int64 {
	n := 0
	for _, p := range c.Puts {
		n += len(p.Key) + len(p.Value)
	}
	for _, cond := range c.Conditions {
		n += len(cond.Key)
	}
	return int64(n)
}
