// Package entry implements an entry host. It serves callers, operators and the other entry
// hosts, and connects the decision logic of package node to sockets and timers.
package entry

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/certificate"
	"egretdrum.example/epoch"
	"egretdrum.example/maintenance"
	"egretdrum.example/membership"
	"egretdrum.example/minion"
	"egretdrum.example/node"
	"egretdrum.example/operator"
	"egretdrum.example/peer"
	"egretdrum.example/rollout"
	"egretdrum.example/settings"
	"egretdrum.example/store"
)

const refreshInterval = time.Second

// Host is one entry host.
type Host struct {
	settings       *settings.Settings
	log            *zap.Logger
	store          *store.Client
	configManager  *rollout.ConfigManager
	agent          *membership.Agent
	minions        *minion.Client
	api            *operator.API
	retryBudgets   retryBudgets
	acks           *acks
	metrics        *metrics
	recentRefusals *recentRefusals

	node  *node.Node
	mesh  *peer.Mesh
	self  epoch.Member
	ready atomic.Bool
	// stopping is set at the start of a shutdown; from then on new requests are refused.
	stopping atomic.Bool
	// bufferedBytes is the size of the bodies that are buffered.
	bufferedBytes atomic.Int64
	listeners     listeners
	// keyPair holds the certificate and its key; it is nil without TLS.
	keyPair *certificate.Pair
}

// New returns a host that is not listening yet.
func New(s *settings.Settings, log *zap.Logger) *Host {
	client := store.New(s.StoreURL, s.StoreTimeout)
	h := &Host{
		settings:       s,
		log:            log.With(zap.String("host", s.Name)),
		store:          client,
		configManager:  rollout.New(client),
		minions:        minion.New(),
		retryBudgets:   newRetryBudgets(),
		acks:           newAcks(),
		metrics:        newMetrics(),
		recentRefusals: newRecentRefusals(),
	}
	h.agent = membership.New(client, h.log)
	h.configManager.Check = maintenance.BudgetCheck(client.Hosts)
	h.api = operator.New(h.configManager)
	h.api.Push = h.push
	h.api.Hosts = client.Hosts
	h.api.Admitting = func() error {
		if h.node.MayAdmit(time.Now()) {
			return nil
		}
		return errNotAdmitting
	}
	h.api.LaggingHosts = func(_ context.Context, version uint64) ([]string, error) { return h.laggingHosts(version), nil }
	h.api.Status = func(context.Context) (operator.Status, error) { return h.status(), nil }
	h.api.Explain = func(_ context.Context, kind, name string) (operator.Explanation, error) { return h.explain(kind, name) }
	return h
}

// CallersAddr returns the address for callers after Listen.
func (h *Host) CallersAddr() netip.AddrPort { return addrPort(h.listeners.callers) }

// OperatorAddr returns the address of the operator API after Listen.
func (h *Host) OperatorAddr() netip.AddrPort { return addrPort(h.listeners.operators) }

// Ready reports whether load balancers may send callers to this host.
func (h *Host) Ready() bool { return h.ready.Load() && h.node.MayAdmit(time.Now()) }

// ConfigVersion returns the version of the configuration in force on this host.
func (h *Host) ConfigVersion() uint64 { return h.configManager.Config().Version }

// Run serves until ctx ends, then shuts down gracefully. Listen must have succeeded.
func (h *Host) Run(ctx context.Context) error {
	h.self = epoch.Member{
		Name: h.settings.Name, Zone: h.settings.Zone,
		Peer: addrPort(h.listeners.peers), Operator: h.OperatorAddr(),
	}
	if err := h.join(ctx); err != nil {
		return err
	}
	// The background tasks outlive ctx: a graceful shutdown still needs the links and the ticks.
	tasksCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	tasks := h.startBackgroundTasks(tasksCtx)
	membershipEnded := make(chan error, 1)
	membershipCtx, stopMembership := context.WithCancel(tasksCtx)
	defer stopMembership()
	go func() { membershipEnded <- h.agent.Run(membershipCtx) }()
	servers := h.startServers()
	h.ready.Store(true)
	h.log.Info("entry-started", zap.Stringer("callers", h.CallersAddr()))

	var removed error
	select {
	case <-ctx.Done():
		stopMembership()
		<-membershipEnded
	case removed = <-membershipEnded:
		h.log.Error("entry-removed", zap.Error(removed))
	}
	err := h.shutdown(servers, removed == nil)
	stopTasks()
	for range tasks.count {
		<-tasks.done
	}
	h.log.Info("entry-stopped")
	return errors.Join(removed, err)
}

// join makes the host a member, starts the peer links and reads the configuration. The host
// is not ready before it returns.
func (h *Host) join(ctx context.Context) error {
	n, err := h.agent.Join(ctx, h.self)
	if err != nil {
		return err
	}
	h.node = n
	h.self.Incarnation = h.agent.Incarnation()
	h.startMesh()
	h.configManager.Changed = h.configChanged
	h.refresh(ctx)
	return nil
}

// backgroundTasks counts the goroutines of the host. Each sends on done when it ends.
type backgroundTasks struct {
	count int
	done  chan struct{}
}

func (h *Host) startBackgroundTasks(ctx context.Context) backgroundTasks {
	tasks := backgroundTasks{done: make(chan struct{})}
	start := func(run func(context.Context)) {
		tasks.count++
		go func() { run(ctx); tasks.done <- struct{}{} }()
	}
	start(h.mesh.Run)
	start(func(ctx context.Context) {
		every(ctx, node.TickInterval, func() { h.node.Tick(time.Now()) })
	})
	start(func(ctx context.Context) {
		every(ctx, refreshInterval, func() {
			h.refresh(ctx)
			h.updateGauges()
		})
	})
	driver := h.newMaintenanceDriver()
	start(func(ctx context.Context) {
		every(ctx, maintenance.Interval, func() { driver.Tick(ctx, time.Now()) })
	})
	if h.keyPair != nil {
		start(h.watchCertificate)
	}
	return tasks
}

// every calls f at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// refresh reads the configuration and the host list. If a read fails, the last value that
// was read stays in force.
func (h *Host) refresh(ctx context.Context) {
	if err := h.configManager.Refresh(ctx); err != nil {
		h.log.Warn("configuration-refresh-failed", zap.Error(err))
	}
	hosts, err := h.store.Hosts(ctx)
	if err != nil {
		h.log.Warn("host-list-refresh-failed", zap.Error(err))
		return
	}
	h.node.SetHosts(time.Now(), hosts)
}

// Running returns the number of requests of this host that occupy a minion's slot.
func (h *Host) Running() int { return h.node.Running() }

// Owns reports whether this host grants the slots of a worker now.
func (h *Host) Owns(worker string) bool { return h.node.Owns(time.Now(), worker) }
