// Package entry is one entry host: it serves callers, operators and the other entry
// hosts, and connects the decision logic to sockets and timers.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/hostlist"
	"egretdrum.example/minion"
	"egretdrum.example/operator"
	"egretdrum.example/rollout"
	"egretdrum.example/settings"
	"egretdrum.example/store"
)

const refreshInterval = time.Second

// Host is one entry host.
type Host struct {
	settings *settings.Settings
	log      *zap.Logger
	store    *store.Client
	keeper   *rollout.Keeper
	minions  *minion.Client
	api      *operator.API

	mu      sync.Mutex
	hosts   []hostlist.Host
	running map[string]int // by worker

	ready     atomic.Bool
	callers   net.Listener
	operators net.Listener
}

// New returns a host that is not listening yet.
func New(s *settings.Settings, log *zap.Logger) *Host {
	client := store.New(s.StoreURL, s.StoreTimeout)
	h := &Host{
		settings: s,
		log:      log,
		store:    client,
		keeper:   rollout.New(client),
		minions:  minion.New(),
		running:  make(map[string]int),
	}
	h.api = operator.New(h.keeper)
	return h
}

// CallersAddr returns the address for callers after Listen.
func (h *Host) CallersAddr() netip.AddrPort { return addrPort(h.callers) }

// OperatorAddr returns the address of the operator API after Listen.
func (h *Host) OperatorAddr() netip.AddrPort { return addrPort(h.operators) }

func addrPort(l net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(l.Addr().String())
}

// Ready reports whether the balancer may send callers here.
func (h *Host) Ready() bool { return h.ready.Load() }

// ConfigVersion returns the version of the configuration in force on this host.
func (h *Host) ConfigVersion() uint64 { return h.keeper.Config().Version }

// Run serves until ctx ends, then shuts down gracefully. Listen must have succeeded.
func (h *Host) Run(ctx context.Context) error {
	h.refresh(ctx)
	h.ready.Store(true)
	callers := h.serve(h.callers, http.HandlerFunc(h.serveCaller))
	operators := h.serve(h.operators, h.api.Handler())
	h.log.Info("entry-started", zap.String("name", h.settings.Name), zap.Stringer("callers", h.callers.Addr()))
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.refresh(ctx)
		case <-ctx.Done():
			h.ready.Store(false)
			return h.shutdown(callers, operators)
		}
	}
}

// Listen opens the addresses of the settings.
func (h *Host) Listen(ctx context.Context) error {
	var lc net.ListenConfig
	var err error
	if h.callers, err = lc.Listen(ctx, "tcp", h.settings.CallersAddress.String()); err != nil {
		return &StartError{Part: "callers", Err: err}
	}
	if h.operators, err = lc.Listen(ctx, "tcp", h.settings.OperatorAddress.String()); err != nil {
		return &StartError{Part: "operators", Err: err}
	}
	return nil
}

// server is a running HTTP server; done yields its end.
type server struct {
	http *http.Server
	done chan error
}

func (h *Host) serve(l net.Listener, handler http.Handler) *server {
	s := &server{
		http: &http.Server{Handler: handler, ReadHeaderTimeout: h.settings.HeaderTimeout},
		done: make(chan error, 1),
	}
	go func() { s.done <- s.http.Serve(l) }()
	return s
}

func (h *Host) shutdown(servers ...*server) error {
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.StopTimeout)
	defer cancel()
	var errs []error
	for _, s := range servers {
		errs = append(errs, s.http.Shutdown(ctx))
		if err := <-s.done; !errors.Is(err, http.ErrServerClosed) {
			errs = append(errs, err)
		}
	}
	h.minions.Close()
	h.log.Info("entry-stopped", zap.String("name", h.settings.Name))
	return errors.Join(errs...)
}

// refresh reads the configuration and the host list; on a failure the last good values
// stay in force.
func (h *Host) refresh(ctx context.Context) {
	if err := h.keeper.Refresh(ctx); err != nil {
		h.log.Warn("configuration-refresh-failed", zap.Error(err))
	}
	hosts, err := h.store.Hosts(ctx)
	if err != nil {
		h.log.Warn("host-list-refresh-failed", zap.Error(err))
		return
	}
	h.mu.Lock()
	h.hosts = hosts
	h.mu.Unlock()
}
