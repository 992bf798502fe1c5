package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/scheduler"
)

// While the store does not confirm the lease, the owner goes on with polls, stops, and starts of the
// tasks that it knew. docs/design/store-outage-owner.md says why that is safe.

const (
	// startMargin is the part of ConfigWithin that is left for starts in flight.
	startMargin = 300 * time.Millisecond
	// maxStartsWithin bounds how long tasks are started without news of cancellations: no task of a
	// job may start 4 s after its cancellation.
	maxStartsWithin = 3 * time.Second
	// releaseDelay is how long an owner that learns of new jobs still waits for its lease to be confirmed:
	// renewals are sent every 250 ms, and a slow store answers them in 330 ms.
	releaseDelay = 600 * time.Millisecond
	// configWatchWait is the age that a configuration reaches while each watch of it is answered.
	configWatchWait = time.Second
)

// mayPoll reports whether polls and stops may be sent: the lease is confirmed, or the scheduler plans
// only what is allowed without.
func (o *Owner) mayPoll() bool {
	return o.term.Valid() || (o.restricted.Load() && o.term.AllowsPolls())
}

// termAllowsStarts reports whether starts may be sent as far as the term is concerned.
func (o *Owner) termAllowsStarts() bool {
	return o.term.Valid() || (o.restricted.Load() && o.startsContinue())
}

// startsContinue reports whether tasks may be started without a confirmed lease: no limit of an account
// that was set since has to be obeyed yet.
func (o *Owner) startsContinue() bool {
	if o.ConfigWithin == nil || !o.term.AllowsStarts() {
		return false
	}
	_, _, age := o.Config.Current()
	return age <= StartsAfterConfirmation(o.ConfigWithin())+configWatchWait
}

// StartsAfterConfirmation returns how long after the last confirmation of its lease an owner may start
// tasks, given the time after which a new configuration has to be in force.
func StartsAfterConfirmation(configWithin time.Duration) time.Duration {
	return min(configWithin, maxStartsWithin) - startMargin
}

// checkTerm tells the scheduler whether the lease is confirmed.
func (o *Owner) checkTerm() {
	valid := o.term.Valid()
	if !valid && o.eventDelay.current >= lagThreshold {
		// The store may have answered in time, and a host that keeps up serves the fleet better.
		o.term.End("the owner lags")
		o.stop()
		return
	}
	o.core.SetRestricted(!valid, !valid && o.startsContinue(), time.Now())
	o.releaseIfOthersAreServed()
	if valid != o.restricted.Load() {
		return
	}
	if valid {
		o.restricted.Store(false)
		o.newJobSince = time.Time{}
		o.Log.Info("owner-restricted", zap.Bool("restricted", false), zap.Int64("term", o.term.Number), zap.String("reason", "the lease is confirmed"))
		o.Meter.Count("restricted_terms", "end", "confirmed")
		return
	}
	if polls, starts := o.term.Remaining(); polls > 0 {
		o.restricted.Store(true)
		o.Log.Warn("owner-restricted", zap.Bool("restricted", true), zap.Int64("term", o.term.Number), zap.Duration("polls-for", polls), zap.Duration("starts-for", starts))
	}
}

// noteNewJob notes that a job was stored which the owner did not know. While its own lease is not
// confirmed, this shows that the store serves other hosts.
func (o *Owner) noteNewJob(now time.Time) {
	if o.restricted.Load() && o.newJobSince.IsZero() {
		o.newJobSince = now
	}
}

// releaseIfOthersAreServed gives up the lease if the store serves other hosts and not this one: they
// can start the new jobs. The renewals of this host may extend the lease although it gets no answers.
func (o *Owner) releaseIfOthersAreServed() {
	if o.newJobSince.IsZero() || time.Since(o.newJobSince) < releaseDelay || !o.restricted.Load() || !o.term.Release() {
		return
	}
	o.newJobSince = time.Time{}
	o.Log.Warn("owner-gave-up-lease", zap.Int64("term", o.term.Number))
}

// endRestriction logs the end of a term that was restricted.
func (o *Owner) endRestriction() {
	if !o.restricted.Swap(false) {
		return
	}
	reason := o.term.EndReason()
	if reason == "" {
		reason = "the term has ended"
	}
	o.Log.Info("owner-restricted", zap.Bool("restricted", false), zap.Int64("term", o.term.Number), zap.String("reason", reason))
	o.Meter.Count("restricted_terms", "end", "term-over")
}

// fenced handles a call that a worker has refused because of a higher fencing token. While the lease
// is not confirmed, a token of another owner ends the term for good.
func (o *Owner) fenced(worker string, fence int64) {
	o.post(func(time.Time) {
		if o.term.Valid() || o.term.EndReason() != "" || !o.core.Outranked(worker, fence) {
			return
		}
		o.Log.Warn("owner-outranked", zap.Int64("term", o.term.Number), zap.String("worker", worker), zap.Int64("fence", fence))
		o.term.End("a worker has seen a later owner")
		o.stop()
	})
}

// reportNotSent reports that a start was not sent.
func (o *Owner) reportNotSent(a scheduler.Start) {
	o.post(func(now time.Time) {
		o.core.StartAnswered(a, scheduler.StartAnswer{Result: scheduler.StartNotSent}, now)
	})
}

// holdWrites returns the store with changes that wait while the lease is not confirmed.
func (o *Owner) holdWrites() kv.Store {
	store := o.Store
	commit := store.Commit
	wait, owner := o.writeWait, o.ctx
	store.Commit = func(ctx context.Context, c kv.Change) (int64, error) {
		for !o.term.Valid() {
			select {
			case <-o.allowedAgain(wait, o.term.Valid, "write", c.Conditions[0].Key):
			case <-ctx.Done():
				return 0, &kv.UnavailableError{NotApplied: true, Cause: ctx.Err()}
			case <-owner.Done():
				return 0, &kv.UnavailableError{NotApplied: true, Cause: owner.Err()}
			}
		}
		return commit(ctx, c)
	}
	return store
}
