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
	entryHosts      = 3
	minionsPerPool  = 4
	slotsPerMinion  = 8
	connections     = 64
	runTime         = 20 * time.Millisecond
	stopTimeout     = 10 * time.Second
	fastStopTimeout = 300 * time.Millisecond
	readyTimeout    = 10 * time.Second
)

// account is a client account (one of the two former fleets) with its pools, services and teams.
type account struct {
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

var accounts = []account{
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

// cluster is the running system with its fakes.
type cluster struct {
	platform *platformfake.Platform
	store    *httpServer
	minions  map[string]*minionfake.Minion // by worker
	servers  []*httpServer
	hosts    []hostlist.Host

	mu      sync.Mutex
	entries map[string]*runningEntry
}

// runningEntry is an entry host in this process.
type runningEntry struct {
	host     *entry.Host
	settings *settings.Settings
	cancel   context.CancelFunc
	done     chan error
}

// httpServer serves a handler on a loopback address.
type httpServer struct {
	address netip.AddrPort
	http    *http.Server
	done    chan error
}

func newCluster(ctx context.Context) (*cluster, error) {
	c := &cluster{platform: platformfake.New(), minions: make(map[string]*minionfake.Minion), entries: make(map[string]*runningEntry)}
	var err error
	if c.store, err = serve(ctx, c.platform.Handler()); err != nil {
		return nil, err
	}
	for _, account := range accounts {
		if err := c.startMinions(ctx, account); err != nil {
			return nil, err
		}
	}
	c.platform.SetHosts(c.hosts)
	c.platform.PublishHosts()
	return c, nil
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

func (c *cluster) startMinions(ctx context.Context, account account) error {
	for _, pool := range account.pools {
		for n := range minionsPerPool {
			worker := workerName(account.name, pool, n)
			m := minionfake.New(worker)
			m.Set(minionfake.Behaviour{Delay: runTime})
			server, err := serve(ctx, m)
			if err != nil {
				return err
			}
			c.minions[worker] = m
			c.servers = append(c.servers, server)
			c.hosts = append(c.hosts, hostlist.Host{
				Worker: worker, Zone: account.zones[n%len(account.zones)], Rack: fmt.Sprintf("%s-rack-%d", account.name, n),
				Address: server.address, Slots: slotsPerMinion, Connections: connections,
			})
		}
	}
	return nil
}

func workerName(account, pool string, n int) string {
	return fmt.Sprintf("%s-%s-%d", account, pool, n+1)
}

// startEntry starts an entry host and waits until it is ready.
func (c *cluster) startEntry(ctx context.Context, name, zone string) error {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	set := &settings.Settings{
		Name: name, Zone: zone, CallersAddress: loopback, OperatorAddress: loopback, PeerAddress: loopback,
		StoreURL: "http://" + c.store.address.String(), StoreTimeout: time.Second,
		ClusterSecret: "demo-secret-demo-secret", MaxBodyBytes: 1 << 30, MaxConnections: 20_000,
		HeaderTimeout: 10 * time.Second, StopTimeout: stopTimeout,
	}
	h := entry.New(set, zap.NewNop())
	ctx, cancel := context.WithCancel(ctx)
	r := &runningEntry{host: h, settings: set, cancel: cancel, done: make(chan error, 1)}
	if err := h.Listen(ctx); err != nil {
		cancel()
		return err
	}
	go func() { r.done <- h.Run(ctx) }()
	c.mu.Lock()
	c.entries[name] = r
	c.mu.Unlock()
	return c.waitReady(ctx, h)
}

func (c *cluster) waitReady(ctx context.Context, h *entry.Host) error {
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
func (c *cluster) stopEntry(name string) error {
	c.mu.Lock()
	r := c.entries[name]
	c.mu.Unlock()
	r.cancel()
	err := <-r.done
	c.mu.Lock()
	delete(c.entries, name)
	c.mu.Unlock()
	return err
}

// ready returns the entry hosts to which the platform's load balancer would send callers.
func (c *cluster) ready() []*entry.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []*entry.Host
	for n := range entryHosts + 1 {
		if r := c.entries[entryName(n)]; r != nil && r.host.Ready() {
			hosts = append(hosts, r.host)
		}
	}
	return hosts
}

func entryName(n int) string { return fmt.Sprintf("entry-%d", n+1) }

// stop stops all entry hosts and fakes. The entry hosts get a short stop timeout, because a
// graceful shutdown would take some seconds for each of them and the run is already over.
func (c *cluster) stop() error {
	var errs []error
	c.mu.Lock()
	for _, r := range c.entries {
		r.settings.StopTimeout = fastStopTimeout
		r.cancel()
	}
	for _, r := range c.entries {
		<-r.done
	}
	c.mu.Unlock()
	for _, server := range append(c.servers, c.store) {
		errs = append(errs, server.http.Close())
		if err := <-server.done; !errors.Is(err, http.ErrServerClosed) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
