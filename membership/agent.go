// Package membership keeps one entry host in the epoch: it joins, renews the host's store
// lease, removes lost members, mints credits and leaves at a planned stop. Each change of
// the epoch document is one compare-and-swap.
package membership

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/epoch"
	"egretdrum.example/lease"
	"egretdrum.example/node"
	"egretdrum.example/store"
)

const (
	epochKey   = "epoch"
	hostPrefix = "host/"
	// stepInterval is how often the agent checks which steps are due, so that credits of a
	// raised limit are minted soon. A store lease of 4 s is renewed every renewInterval, four
	// times before it can expire.
	stepInterval  = 50 * time.Millisecond
	renewInterval = time.Second
	// reclaimInterval limits how often the host keys of lost members are read.
	reclaimInterval   = 250 * time.Millisecond
	joinRetryInterval = 200 * time.Millisecond
)

// Agent keeps one entry host in the epoch. It is not safe for concurrent use.
type Agent struct {
	store *store.Client
	log   *zap.Logger
	node  *node.Node
	self  epoch.Member

	leaseID string
	// leaseConfirmed reports whether the epoch step that must follow a new store lease was
	// made.
	leaseConfirmed   bool
	lastRenewal      time.Time
	lastRead         time.Time
	lastReclaimCheck time.Time
	revision         uint64 // of the epoch document that the node has adopted
}

// New returns an agent that has not joined.
func New(s *store.Client, log *zap.Logger) *Agent { return &Agent{store: s, log: log} }

// Join adds the host to the epoch and returns its node. The incarnation is the number of
// the new epoch, which no other process can have.
func (a *Agent) Join(ctx context.Context, self epoch.Member) (*node.Node, error) {
	for {
		n, err := a.tryJoin(ctx, self)
		if err == nil {
			return n, nil
		}
		a.log.Warn("join-failed", zap.Error(err))
		select {
		case <-time.After(joinRetryInterval):
		case <-ctx.Done():
			return nil, &JoinError{Err: errors.Join(ctx.Err(), err)}
		}
	}
}

func (a *Agent) tryJoin(ctx context.Context, self epoch.Member) (*node.Node, error) {
	started := time.Now()
	if err := a.createLease(ctx, self.Name); err != nil {
		return nil, err
	}
	e, revision, err := a.load(ctx)
	if err != nil {
		return nil, err
	}
	self.Incarnation = e.Number + 1
	next, err := e.Join(self)
	if err != nil {
		return nil, &StepError{Step: "join", Err: err}
	}
	if err := a.compareAndSwap(ctx, next, revision); err != nil {
		return nil, err
	}
	a.self = self
	a.node = node.New(started, self)
	a.node.StoreCreated(started)
	a.node.AdoptEpoch(time.Now(), next)
	a.node.StoreConfirmed()
	a.leaseConfirmed = true
	a.lastRenewal = started
	return a.node, nil
}

// createLease creates a store lease and attaches the host key to it. The key is written
// before the epoch step, so that no other host takes the new member for a lost one.
func (a *Agent) createLease(ctx context.Context, name string) error {
	id, err := a.store.GrantLease(ctx, lease.StoreTTL)
	if err != nil {
		return &StepError{Step: "grant store lease", Err: err}
	}
	a.leaseID = id
	_, revision, err := a.store.Get(ctx, hostPrefix+name)
	var missing *store.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return &StepError{Step: "read host key", Err: err}
	}
	if _, err := a.store.Put(ctx, hostPrefix+name, []byte(id), revision, id); err != nil {
		return &StepError{Step: "write host key", Err: err}
	}
	return nil
}

// load reads the epoch document; an absent one is epoch 0.
func (a *Agent) load(ctx context.Context) (*epoch.Epoch, uint64, error) {
	b, revision, err := a.store.Get(ctx, epochKey)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return &epoch.Epoch{}, 0, nil
	}
	if err != nil {
		return nil, 0, &StepError{Step: "read epoch", Err: err}
	}
	e, err := epoch.Decode(b)
	if err != nil {
		return nil, 0, &StepError{Step: "decode epoch", Err: err}
	}
	return e, revision, nil
}

// compareAndSwap writes the next epoch. If the response is lost, it reads the document back:
// the write took effect if the document is the one that was written.
func (a *Agent) compareAndSwap(ctx context.Context, next *epoch.Epoch, revision uint64) error {
	b, err := next.Encode()
	if err != nil {
		return &StepError{Step: "encode epoch", Err: err}
	}
	newRevision, err := a.store.Put(ctx, epochKey, b, revision, "")
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) {
		found, foundRevision, getErr := a.store.Get(ctx, epochKey)
		if getErr == nil && slices.Equal(found, b) {
			newRevision, err = foundRevision, nil
		}
	}
	if err != nil {
		return &StepError{Step: "write epoch", Err: err}
	}
	a.revision = newRevision
	return nil
}

// Incarnation returns the incarnation of this host after Join.
func (a *Agent) Incarnation() uint64 { return a.self.Incarnation }

// Run runs the membership steps until ctx ends or the host is removed from the epoch.
func (a *Agent) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if a.node.Removed() {
				return &RemovedError{Member: string(a.self.ID())}
			}
			a.runSteps(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// runSteps runs the steps that are due. A failed step is logged and retried at a later tick.
func (a *Agent) runSteps(ctx context.Context) {
	for _, step := range []func(context.Context) error{a.renew, a.refresh, a.contestReclaim, a.mint, a.reclaim} {
		if err := step(ctx); err != nil {
			a.log.Warn("membership-step-failed", zap.Error(err))
		}
	}
}

func (a *Agent) renew(ctx context.Context) error {
	now := time.Now()
	if now.Sub(a.lastRenewal) < renewInterval {
		return nil
	}
	a.lastRenewal = now
	if !a.leaseConfirmed {
		return a.replaceLease(ctx)
	}
	err := a.store.RenewLease(ctx, a.leaseID)
	var missing *store.NotFoundError
	switch {
	case err == nil:
		a.node.StoreRenewed(now)
		return nil
	case errors.As(err, &missing):
		return a.replaceLease(ctx)
	default:
		return &StepError{Step: "renew store lease", Err: err}
	}
}

// replaceLease creates a new store lease after the old one has expired. The epoch is touched
// before the lease counts, so that a reclaim that saw the expiry loses its compare-and-swap.
func (a *Agent) replaceLease(ctx context.Context) error {
	a.node.StoreExpired()
	a.leaseConfirmed = false
	sent := time.Now()
	if err := a.createLease(ctx, a.self.Name); err != nil {
		return err
	}
	a.node.StoreCreated(sent)
	err := a.updateEpoch(ctx, func(e *epoch.Epoch) (*epoch.Epoch, error) { return e.Touch(a.self.ID()) })
	if err != nil {
		return err
	}
	a.node.StoreConfirmed()
	a.leaseConfirmed = true
	a.log.Info("store-lease-replaced")
	return nil
}

// updateEpoch applies one step to the newest epoch and adopts the result.
func (a *Agent) updateEpoch(ctx context.Context, step func(*epoch.Epoch) (*epoch.Epoch, error)) error {
	e, revision, err := a.load(ctx)
	if err != nil {
		return err
	}
	next, err := step(e)
	if err != nil {
		return &StepError{Step: "change epoch", Err: err}
	}
	if err := a.compareAndSwap(ctx, next, revision); err != nil {
		return err
	}
	a.node.AdoptEpoch(time.Now(), next)
	a.node.ShareEpoch()
	return nil
}

// refresh reads the epoch every second, and at once if a peer has reported a newer one.
func (a *Agent) refresh(ctx context.Context) error {
	now := time.Now()
	if now.Sub(a.lastRead) < renewInterval && !a.node.PeerHasNewerEpoch() {
		return nil
	}
	a.lastRead = now
	e, _, err := a.load(ctx)
	if err != nil {
		return err
	}
	a.node.AdoptEpoch(now, e)
	return nil
}

// contestReclaim touches the epoch if a peer has confirmed a reclaim of this host. That
// makes the compare-and-swap of the reclaim fail, because this host is alive.
func (a *Agent) contestReclaim(ctx context.Context) error {
	if !a.node.Reclaiming() {
		return nil
	}
	return a.updateEpoch(ctx, func(e *epoch.Epoch) (*epoch.Epoch, error) { return e.Touch(a.self.ID()) })
}

func (a *Agent) mint(ctx context.Context) error {
	amounts := a.node.Mint()
	if len(amounts) == 0 {
		return nil
	}
	adopted := a.node.Epoch().Number
	err := a.updateEpoch(ctx, func(e *epoch.Epoch) (*epoch.Epoch, error) {
		if e.Number != adopted {
			return nil, &StaleError{Adopted: adopted, Found: e.Number}
		}
		return e.Mint(a.self.ID(), amounts)
	})
	var stale *StaleError
	if errors.As(err, &stale) {
		return a.adoptNewest(ctx)
	}
	if err == nil {
		a.log.Info("credits-minted", zap.Int("teams", len(amounts)))
	}
	return err
}

func (a *Agent) adoptNewest(ctx context.Context) error {
	e, _, err := a.load(ctx)
	if err != nil {
		return err
	}
	a.node.AdoptEpoch(time.Now(), e)
	return nil
}
