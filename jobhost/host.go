// Package jobhost assembles the components of an entry host that accept and schedule jobs and
// return their state. What differs between platforms is passed in with Config.
package jobhost

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/answerlimit"
	"egretdrum.example/boottime"
	"egretdrum.example/dispatch"
	"egretdrum.example/election"
	"egretdrum.example/jobservice"
	"egretdrum.example/kv"
	"egretdrum.example/meter"
	"egretdrum.example/ownerlink"
	"egretdrum.example/relay"
	"egretdrum.example/scheduler"
	"egretdrum.example/storehealth"
	"egretdrum.example/subscription"
	"egretdrum.example/supervision"
)

// Config configures a host for its platform.
type Config struct {
	// Name is the name of the entry host.
	Name  string
	Store kv.Store
	// OperatorPrefix is the prefix of the keys that operators write, ConfigKey the key of the
	// configuration among them. DecodeOperator decodes the items.
	OperatorPrefix, ConfigKey string
	DecodeOperator            func(kv.Item) (subscription.OperatorItem, error)
	// EvacuationPrefix is followed by an availability zone in the key that evacuates the zone.
	EvacuationPrefix string
	Calls            dispatch.Calls
	// LinkAddress is the address at which the host accepts links of other hosts while it is the owner.
	LinkAddress netip.AddrPort
	// RevokeWithin, KeepResults, EvacuateWithin and Limits are called for each use, as settings may change.
	// EvacuateWithin is zero if the deployment evacuates no zones.
	RevokeWithin, KeepResults, EvacuateWithin func() time.Duration
	Limits                                    func() scheduler.Limits
	// ConfigWithin is the time after which a new configuration has to be in force. Zero, or nil, ends the
	// term of an owner whose lease the store does not confirm with the lease.
	ConfigWithin func() time.Duration
	// ElectionDelay is how long the host leaves the ownership to other hosts before it competes for it.
	ElectionDelay func() time.Duration
	// Answers limits the large answers of the store to callers' calls; nil stands for no limit.
	Answers *answerlimit.Limit
	// Relay reports whether submissions go through the owner while the store does not serve this host;
	// nil stands for a host that always does so.
	Relay func() bool
	// Refuse reports whether submissions are refused that would be of no use; nil stands for a host that
	// does so.
	Refuse func() bool
	// Now is the clock for leases and confirmations; nil stands for a clock that includes the
	// time for which the machine is suspended.
	Now   func() time.Duration
	Log   *zap.Logger
	Meter *meter.Meter
}

// Host is one entry host.
type Host struct {
	// JobService serves the calls for jobs.
	JobService *jobservice.Service
	// Links accepts the owner links of other hosts.
	Links http.Handler

	config     *subscription.Subscription
	link       *ownerlink.Link
	candidate  *election.Candidate
	committer  *relay.Committer
	supervisor *supervision.Supervisor
}

// New returns a host. It does nothing until Run is called.
func New(cfg *Config) *Host {
	now := cfg.Now
	if now == nil {
		now = boottime.Now
	}
	relays := cfg.Relay
	if relays == nil {
		relays = func() bool { return true }
	}
	health := new(storehealth.Health)
	store := health.Observe(cfg.Store)
	supervisor := &supervision.Supervisor{Log: cfg.Log, Count: func(task string) { cfg.Meter.Count("part_failures", "part", task) }}
	h := &Host{
		supervisor: supervisor,
		config:     subscription.New(store, cfg.OperatorPrefix, cfg.ConfigKey, cfg.DecodeOperator, cfg.Log),
		link:       ownerlink.New(cfg.Log, supervisor),
		committer:  relay.New(store, health.Serves, relays, cfg.Log, cfg.Meter, supervisor),
	}
	h.config.Now, h.config.EvacuationPrefix, h.config.Meter = now, cfg.EvacuationPrefix, cfg.Meter
	h.JobService = &jobservice.Service{
		Store: store, Subscription: h.config, RevokeWithin: cfg.RevokeWithin, Log: cfg.Log, Meter: cfg.Meter,
		Notify: h.link.Notify, QueryState: h.link.QueryState,
		Health: health, Relay: h.link.Commit, RelayEnabled: relays, Answers: cfg.Answers,
		Short: h.link.Short, Forecast: h.link.Forecast, RefuseEnabled: cfg.Refuse,
	}
	owner := &dispatch.Owner{
		Store: store, Config: h.config, Calls: cfg.Calls, Limits: cfg.Limits, KeepResults: cfg.KeepResults, EvacuateWithin: cfg.EvacuateWithin,
		ConfigWithin: cfg.ConfigWithin, Log: cfg.Log, Meter: cfg.Meter, Supervisor: supervisor,
	}
	h.Links = &ownerlink.Server{
		Token: owner.Token, Notify: owner.Notify, QueryState: owner.QueryState, Commit: h.committer.Commit,
		ShortPools: owner.ShortPools, Forecast: owner.Forecast, Log: cfg.Log, Supervisor: supervisor,
	}
	h.candidate = &election.Candidate{
		Store: store, Host: cfg.Name, RunOwner: owner.Run, Log: cfg.Log, Now: now, ElectionDelay: cfg.ElectionDelay,
		LinkAddress: cfg.LinkAddress, OwnerChanged: h.link.SetOwner, Supervisor: supervisor,
		Continuation: cfg.continuation,
	}
	return h
}

// continuation returns how long an owner without a confirmed lease may go on with polls, after the end of
// the lease, and with starts, after its last confirmation.
func (c *Config) continuation() (polls, starts time.Duration) {
	if c.ConfigWithin == nil {
		return 0, 0
	}
	within := c.ConfigWithin()
	if within <= 0 {
		return 0, 0
	}
	return c.Limits().PollsAfterLease(), dispatch.StartsAfterConfirmation(within)
}

// Run runs the background tasks of the host until ctx ends; one that fails unexpectedly is
// started again. When ownerCtx ends, which comes first in a planned stop, the host gives up the
// ownership and no longer competes for it.
func (h *Host) Run(ctx, ownerCtx context.Context) {
	tasks := []func(){
		func() { h.supervisor.RunWithRestart(ctx, "configuration", h.config.Run) },
		func() { h.supervisor.RunWithRestart(ctx, "owner-link", h.link.Run) },
		func() { h.supervisor.RunWithRestart(ctx, "relay", h.committer.Run) },
		func() { h.supervisor.RunWithRestart(ctx, "store-probe", h.JobService.Probe) },
		// Logs call the background task of the election tenure.
		func() { h.supervisor.RunWithRestart(ownerCtx, "tenure", h.candidate.Run) },
	}
	ended := make(chan struct{}, len(tasks))
	for _, task := range tasks {
		go func() { task(); ended <- struct{}{} }()
	}
	for range tasks {
		<-ended
	}
}
