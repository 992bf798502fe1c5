// Package election elects the owner, the entry host that schedules: the one that holds a key in
// the store under a lease.
package election

import (
	"context"
	"crypto/rand"
	"errors"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"egretdrum.example/boottime"
	"egretdrum.example/kv"
	"egretdrum.example/storekeys"
	"egretdrum.example/supervision"
	"egretdrum.example/wait"
)

const (
	// LeaseTTL is how long an owner that stops renewing keeps its lease if the store responds
	// fast. It bounds the time without an owner after a crash, and has to outlast two lost
	// renewals.
	LeaseTTL = time.Second
	// ttlResponses times the store's last response time is added to LeaseTTL: the grant, the
	// creation of the owner's key and the first renewal each need one. maxLeaseTTL bounds the
	// time without an owner after a crash.
	ttlResponses = 3
	maxLeaseTTL  = 2500 * time.Millisecond
	// renewInterval allows for two lost renewals. renewalsInFlight is how many renewals can
	// overlap within callTimeout.
	renewInterval    = 250 * time.Millisecond
	renewalsInFlight = 3
	// callTimeout covers a store that responds 80 times slower than usual, in 330 ms.
	callTimeout = 600 * time.Millisecond
	// watchWait is how long one watch waits for a change of the owner's key.
	watchWait  = 5 * time.Second
	retryDelay = 150 * time.Millisecond
	// failureDelay lets other hosts become the owner after RunOwner has returned by itself,
	// because the load of the state or a background task failed. An election needs less time.
	failureDelay = 300 * time.Millisecond
)

// Candidate competes for ownership and calls RunOwner while it is the owner.
type Candidate struct {
	Store kv.Store
	// Host is the name of this entry host.
	Host string
	// ElectionDelay returns how long to wait before competing, so that hosts that are better
	// suited come first.
	ElectionDelay func() time.Duration
	// LinkAddress is where this host accepts links of other hosts while it is the owner.
	LinkAddress netip.AddrPort
	// OwnerChanged, if set, is called with the address at which the owner accepts links and
	// the token that it requires; an invalid address means that there is no owner.
	OwnerChanged func(at netip.AddrPort, token []byte)
	// RunOwner runs while this host is the owner; its context ends with ownership.
	RunOwner func(ctx context.Context, term *Term)
	// Continuation, if set, returns how long an owner whose lease can't be confirmed may go on with
	// polls, after the end of the lease, and with starts, after the last confirmation. Zero for polls
	// ends the term with its lease.
	Continuation func() (polls, starts time.Duration)
	Log          *zap.Logger
	Now          func() time.Duration
	// Supervisor recovers panics of renewals.
	Supervisor *supervision.Supervisor

	// responseTime is how long the last read of the store took.
	responseTime time.Duration
}

// ownerRecord is the value of the owner's key.
type ownerRecord struct {
	Host string `cbor:"1,keyasint"`
	// Nonce tells attempts of the same host apart.
	Nonce int64 `cbor:"2,keyasint"`
	// Link is the address and port at which the owner accepts links, as text.
	Link  string `cbor:"3,keyasint,omitempty"`
	Token []byte `cbor:"4,keyasint,omitempty"`
}

// Holder returns the name of the host in the owner's key, empty if the item does not exist.
func Holder(item kv.Item) (string, error) {
	var record ownerRecord
	if item.Revision == 0 {
		return "", nil
	}
	err := cbor.Unmarshal(item.Value, &record)
	return record.Host, err
}

// Run competes until ctx ends. A host that stops revokes its lease at once.
func (c *Candidate) Run(ctx context.Context) {
	if c.Now == nil {
		c.Now = boottime.Now
	}
	for ctx.Err() == nil {
		item, revision, err := c.read(ctx)
		switch {
		case err != nil:
			wait.For(ctx, retryDelay)
		case item.Revision == 0:
			c.notifyOwnerChanged(ownerRecord{})
			c.compete(ctx)
		default:
			c.follow(ctx, item, revision)
		}
	}
}

// notifyOwnerChanged calls OwnerChanged with the link address and token of an owner.
func (c *Candidate) notifyOwnerChanged(record ownerRecord) {
	if c.OwnerChanged == nil {
		return
	}
	at, err := netip.ParseAddrPort(record.Link)
	if err != nil && record.Link != "" {
		c.Log.Warn("owner-link-not-decoded", zap.String("owner", record.Host), zap.Error(err))
	}
	c.OwnerChanged(at, record.Token)
}

// read returns the owner's key, whose revision is zero if it does not exist, and the revision
// of the store. Watches start from the latter, since the key may be older than the history
// that the store keeps.
func (c *Candidate) read(ctx context.Context) (kv.Item, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := c.Now()
	items, revision, err := c.Store.Range(ctx, storekeys.Owner)
	c.responseTime = c.Now() - sent
	if err != nil {
		return kv.Item{}, 0, err
	}
	for _, item := range items {
		if item.Key == storekeys.Owner {
			return item, revision, nil
		}
	}
	return kv.Item{}, revision, nil
}

// follow waits until the owner's key changes.
func (c *Candidate) follow(ctx context.Context, item kv.Item, after int64) {
	var record ownerRecord
	if err := cbor.Unmarshal(item.Value, &record); err != nil {
		c.Log.Warn("owner-not-decoded", zap.Error(err), zap.Int64("revision", item.Revision))
	}
	if record.Host == c.Host {
		// The key is that of an earlier process of this host, which has ended.
		c.Log.Info("own-lease-ended", zap.Int64("term", item.Revision))
		c.revoke(item.Lease)
		return
	}
	c.notifyOwnerChanged(record)
	c.Log.Info("owner-followed", zap.String("owner", record.Host), zap.Int64("term", item.Revision))
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
		events, revision, err := c.Store.Watch(call, storekeys.Owner, after, watchWait)
		cancel()
		if err != nil {
			wait.For(ctx, retryDelay)
			return
		}
		if len(events) > 0 {
			return
		}
		after = revision
	}
}

// compete tries once to become the owner, and runs the term if it succeeds.
func (c *Candidate) compete(ctx context.Context) {
	if !wait.For(ctx, c.ElectionDelay()) {
		return
	}
	sent := c.Now()
	lease, ttl, err := c.grant(ctx)
	if err != nil {
		c.Log.Warn("lease-not-granted", zap.Error(err))
		wait.For(ctx, retryDelay)
		return
	}
	record := ownerRecord{Host: c.Host, Nonce: int64(sent), Token: []byte(rand.Text())}
	if c.LinkAddress.IsValid() {
		record.Link = c.LinkAddress.String()
	}
	value, err := cbor.Marshal(record)
	if err != nil {
		c.Log.Error("owner-not-encoded", zap.Error(err))
		return
	}
	number, err := c.createOwnerKey(ctx, kv.Put{Key: storekeys.Owner, Value: value, Lease: lease})
	if err != nil {
		// If the outcome is unknown, the key may exist. It disappears with the lease, which is
		// revoked here and not renewed.
		c.Log.Info("ownership-not-taken", zap.Error(err))
		c.revoke(lease)
		wait.For(ctx, retryDelay)
		return
	}
	term := &Term{Number: number, Token: record.Token, Lease: lease, now: c.Now, confirmed: sent, until: sent + ttl}
	if c.Continuation != nil {
		term.SetContinuation(c.Continuation())
	}
	c.notifyOwnerChanged(record)
	c.runTerm(ctx, lease, term)
}

func (c *Candidate) grant(ctx context.Context) (int64, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.Store.Grant(ctx, min(LeaseTTL+ttlResponses*c.responseTime, maxLeaseTTL))
}

// createOwnerKey creates the owner's key. It fails if the key exists.
func (c *Candidate) createOwnerKey(ctx context.Context, key kv.Put) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.Store.Commit(ctx, kv.Change{Conditions: []kv.Condition{{Key: storekeys.Owner}}, Puts: []kv.Put{key}})
}

// runTerm runs RunOwner and renews the lease.
func (c *Candidate) runTerm(ctx context.Context, lease int64, term *Term) {
	c.Log.Info("ownership-taken", zap.Int64("term", term.Number))
	work, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.RunOwner(work, term)
	}()
	c.renew(work, lease, term, done)
	failed := work.Err() == nil && term.Valid()
	stop()
	<-done
	c.Log.Info("ownership-ended", zap.Int64("term", term.Number), zap.Bool("valid", term.Valid()))
	term.End("the owner has stopped")
	c.revoke(lease)
	if failed {
		wait.For(ctx, failureDelay)
	}
}

// renew returns when the term has expired or RunOwner has returned. A renewal does not wait for
// the response to the previous one, as the store may be slow or lose single responses. The first
// one is sent at once, because an election with a slow store uses up part of the lease. Renewals go on
// while the term has less than full rights: the store may have kept the lease.
func (c *Candidate) renew(ctx context.Context, lease int64, term *Term, done <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan error, renewalsInFlight)
	inFlight := 0
	defer func() {
		cancel()
		for ; inFlight > 0; inFlight-- {
			<-results
		}
	}()
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-done:
			return
		case err := <-results:
			inFlight--
			switch {
			case errors.Is(err, kv.ErrNotFound):
				c.Log.Warn("lease-lost", zap.Int64("term", term.Number), zap.Bool("given-up", term.isReleased()))
				term.End("the store has ended the lease")
				return
			case err != nil && ctx.Err() == nil:
				c.Log.Warn("lease-not-renewed", zap.Int64("term", term.Number), zap.Error(err))
			}
		case <-next.C:
			next.Reset(renewInterval)
			if inFlight < renewalsInFlight {
				inFlight++
				go func() { results <- c.renewOnce(ctx, lease, term) }()
			}
		}
		if !term.AllowsPolls() {
			c.Log.Warn("lease-expired", zap.Int64("term", term.Number))
			term.End("the time is over")
			return
		}
	}
}

// errRenewalPanicked is the result of a renewal that panicked.
var errRenewalPanicked = errors.New("the renewal has failed unexpectedly")

// renewOnce renews the lease, or ends it if the term has given it up. The error is kv.ErrNotFound if there
// is no such lease any more.
func (c *Candidate) renewOnce(ctx context.Context, lease int64, term *Term) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := errRenewalPanicked
	c.Supervisor.Run("renewal", func() {
		if term.isReleased() {
			if err = c.Store.Revoke(ctx, lease); err == nil {
				err = kv.ErrNotFound
			}
			return
		}
		sent := c.Now()
		var ttl time.Duration
		if ttl, err = c.Store.Renew(ctx, lease); err == nil {
			term.extend(sent, ttl)
		}
	})
	return err
}

func (c *Candidate) revoke(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.Store.Revoke(ctx, lease); err != nil && !errors.Is(err, kv.ErrNotFound) {
		c.Log.Info("lease-not-revoked", zap.Error(err))
	}
}
