package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/entry"
	"egretdrum.example/hostlist"
	"egretdrum.example/minionfake"
	"egretdrum.example/platformfake"
	"egretdrum.example/settings"
)

const (
	entryHosts     = 3
	minionsPerPool = 4
	slotsPerMinion = 8
	connections    = 64
	runTime        = 20 * time.Millisecond
	stopTimeout    = 10 * time.Second
	endTimeout     = 300 * time.Millisecond
	readyTimeout   = 10 * time.Second
)

// side is one of the two former fleets with the shape of its traffic.
type side struct {
	name  string
	zones []string
	pools []string // the last one is the spare pool
	// services[n] is served by pools[n].
	services []string
	teams    []team
}

type team struct {
	name  string
	share int64 // millionths
	limit int
}

var sides = []side{
	{
		name: "tengri", zones: []string{"almaty-1", "almaty-2", "almaty-3"},
		pools: []string{"rounds", "ratings", "portal"}, services: []string{"pairings", "standings"},
		teams: []team{{"federation", 300_000, 40}, {"arbiters", 150_000, 20}, {"guests", 50_000, 8}},
	},
	{
		name: "kessling", zones: []string{"cairns-1", "cairns-2", "mackay-1", "mackay-2"},
		pools: []string{"rounds", "loans", "depot"}, services: []string{"routes", "loans"},
		teams: []team{{"drivers", 300_000, 40}, {"librarians", 150_000, 20}, {"readers", 50_000, 8}},
	},
}

// stage is the running system with its stand-ins.
type stage struct {
	platform *platformfake.Platform
	store    *httpServer
	minions  map[string]*minionfake.Minion // by worker
	servers  []*httpServer
	hosts    []hostlist.Host

	mu      sync.Mutex
	entries map[string]*running
}

// running is one entry host in this process.
type running struct {
	host   *entry.Host
	set    *settings.Settings
	cancel context.CancelFunc
	done   chan error
}

// httpServer is a stand-in's server on loopback.
type httpServer struct {
	address netip.AddrPort
	http    *http.Server
	done    chan error
}

func newStage(ctx context.Context) (*stage, error) {
	s := &stage{platform: platformfake.New(), minions: make(map[string]*minionfake.Minion), entries: make(map[string]*running)}
	var err error
	if s.store, err = serve(ctx, s.platform.Handler()); err != nil {
		return nil, err
	}
	for _, side := range sides {
		if err := s.startMinions(ctx, side); err != nil {
			return nil, err
		}
	}
	s.platform.SetHosts(s.hosts)
	s.platform.PublishHosts()
	return s, nil
}

func serve(ctx context.Context, h http.Handler) (*httpServer, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &httpServer{
		address: netip.MustParseAddrPort(l.Addr().String()),
		http:    &http.Server{Handler: h, ReadHeaderTimeout: stopTimeout},
		done:    make(chan error, 1),
	}
	go func() { s.done <- s.http.Serve(l) }()
	return s, nil
}

func (s *stage) startMinions(ctx context.Context, side side) error {
	for _, pool := range side.pools {
		for n := range minionsPerPool {
			worker := workerName(side.name, pool, n)
			m := minionfake.New(worker)
			m.Set(minionfake.Behaviour{Delay: runTime})
			server, err := serve(ctx, m)
			if err != nil {
				return err
			}
			s.minions[worker] = m
			s.servers = append(s.servers, server)
			s.hosts = append(s.hosts, hostlist.Host{
				Worker: worker, Zone: side.zones[n%len(side.zones)], Rack: fmt.Sprintf("%s-rack-%d", side.name, n),
				Address: server.address, Slots: slotsPerMinion, Connections: connections,
			})
		}
	}
	return nil
}

func workerName(side, pool string, n int) string { return fmt.Sprintf("%s-%s-%d", side, pool, n+1) }

// startEntry starts an entry host and waits until it is ready.
func (s *stage) startEntry(ctx context.Context, name, zone string) error {
	any4 := netip.MustParseAddrPort("127.0.0.1:0")
	set := &settings.Settings{
		Name: name, Zone: zone, CallersAddress: any4, OperatorAddress: any4, PeerAddress: any4,
		StoreURL: "http://" + s.store.address.String(), StoreTimeout: time.Second,
		ClusterSecret: "demo-secret-demo-secret", MaxBodyBytes: 1 << 30, MaxConnections: 20_000,
		HeaderTimeout: 10 * time.Second, StopTimeout: stopTimeout,
	}
	h := entry.New(set, zap.NewNop())
	ctx, cancel := context.WithCancel(ctx)
	r := &running{host: h, set: set, cancel: cancel, done: make(chan error, 1)}
	if err := h.Listen(ctx); err != nil {
		cancel()
		return err
	}
	go func() { r.done <- h.Run(ctx) }()
	s.mu.Lock()
	s.entries[name] = r
	s.mu.Unlock()
	return s.waitReady(ctx, h)
}

func (s *stage) waitReady(ctx context.Context, h *entry.Host) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !h.Ready() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// stopEntry shuts an entry host down gracefully.
func (s *stage) stopEntry(name string) error {
	s.mu.Lock()
	r := s.entries[name]
	s.mu.Unlock()
	r.cancel()
	err := <-r.done
	s.mu.Lock()
	delete(s.entries, name)
	s.mu.Unlock()
	return err
}

// ready returns the hosts that the platform's balancer would send callers to.
func (s *stage) ready() []*entry.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []*entry.Host
	for n := range entryHosts + 1 {
		if r := s.entries[entryName(n)]; r != nil && r.host.Ready() {
			hosts = append(hosts, r.host)
		}
	}
	return hosts
}

func entryName(n int) string { return fmt.Sprintf("entry-%d", n+1) }

// stop ends everything. The run is over by then, so the entry hosts need not leave in
// good order, which would take some seconds for each of them.
func (s *stage) stop() error {
	var errs []error
	s.mu.Lock()
	for _, r := range s.entries {
		r.set.StopTimeout = endTimeout
		r.cancel()
	}
	for _, r := range s.entries {
		<-r.done
	}
	s.mu.Unlock()
	for _, server := range append(s.servers, s.store) {
		errs = append(errs, server.http.Close())
		if err := <-server.done; !errors.Is(err, http.ErrServerClosed) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
