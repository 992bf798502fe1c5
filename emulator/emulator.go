// Package emulator runs an emulated platform in one process: a store, workers, a service for
// machines, and an ingress for callers, each on loopback sockets. It connects the models with
// the calls of package emulated, and takes commands at a control address.
package emulator

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/catalog"
	"egretdrum.example/emulation"
	"egretdrum.example/fleetmodel"
	"egretdrum.example/kvfake"
	"egretdrum.example/platform"
	"egretdrum.example/platform/emulated"
	"egretdrum.example/promises"
)

const (
	// tick is the interval at which the models advance. Runs end up to this late.
	tick = 10 * time.Millisecond
	// readinessInterval is the interval at which the hosts are asked whether they are ready.
	readinessInterval = time.Second
	readinessTimeout  = 700 * time.Millisecond
	// missesNotReady is the number of misses after which a host gets no calls.
	missesNotReady = 2
	headerTimeout  = 10 * time.Second
)

// Config configures an emulated platform.
type Config struct {
	File     *emulation.File
	Settings *emulation.Settings
	// Hosts is the number of entry hosts for which listeners are opened.
	Hosts int
	// SettingsDir is the directory for their settings files; none are written if it is empty.
	SettingsDir string
	// Listeners receives one line for each listener.
	Listeners io.Writer
	Log       *zap.Logger
}

// Emulator is an emulated platform.
type Emulator struct {
	cfg   Config
	log   *zap.Logger
	store *kvfake.Fake
	gate  *emulated.Gate

	writes, reads, lists, orders *emulated.Bucket

	mu       sync.Mutex
	settings *emulation.Settings
	catalog  *catalog.Catalog
	// accounts has the account of each key that was ever valid.
	accounts  map[string]string
	recorder  *promises.Recorder
	fleet     *fleetmodel.Fleet
	faults    faultList
	jobs      jobList
	hosts     []*host
	nextHost  int
	lastWave  int64
	waves     map[int64]bool
	evacuated map[string]bool
	// news has a channel for each machine, which is closed when polls of its worker are to return.
	news map[string]chan struct{}
	// machineCounts is the number of machines ever added to each pool.
	machineCounts map[string]int

	// workers has the listener of each machine.
	workers map[string]*workerListener

	control, ingress string
	servers          []*http.Server
	failed           chan error
}

// host is an entry host as the ingress sees it.
type host struct {
	emulated.Host
	settingsFile string
	misses       int
}

// New returns an emulated platform. Its listeners are opened by Listen.
func New(cfg *Config) *Emulator {
	s := cfg.Settings
	e := &Emulator{
		cfg: *cfg, log: cfg.Log, store: kvfake.New(), settings: s, accounts: make(map[string]string),
		recorder: promises.New(), jobs: newJobList(), waves: make(map[int64]bool), evacuated: make(map[string]bool),
		news: make(map[string]chan struct{}), machineCounts: make(map[string]int), workers: make(map[string]*workerListener), failed: make(chan error, 1),
		writes: &emulated.Bucket{PerSecond: s.Store.WritesPerSecond}, reads: &emulated.Bucket{PerSecond: s.Store.ReadsPerSecond},
		lists: &emulated.Bucket{PerSecond: s.Machines.ListsPerSecond}, orders: &emulated.Bucket{PerSecond: s.Machines.OrdersPerSecond},
	}
	e.recorder.RevokeWithin, e.recorder.EvacuateWithin, e.recorder.StopTime = s.RevokeWithin, s.EvacuateWithin, s.Workers.StopTime
	e.store.SetRetention(s.Store.History)
	e.fleet = fleetmodel.New(s, e.recorder)
	e.faults = faultList{random: rand.New(rand.NewPCG(uint64(s.Seed), 1))}
	e.gate = &emulated.Gate{Choose: e.chooseFault}
	return e
}

// Run advances the models until ctx ends, after Listen. It then closes the listeners.
func (e *Emulator) Run(ctx context.Context) error {
	readiness := make(chan struct{})
	readinessCtx, stop := context.WithCancel(ctx)
	go func() { defer close(readiness); e.watchReadiness(readinessCtx) }()
	defer func() { stop(); <-readiness; e.close() }()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-e.failed:
			return err
		case <-ticker.C:
			e.mu.Lock()
			err := e.advance()
			e.mu.Unlock()
			if err != nil {
				return err
			}
		}
	}
}

// advance carries out what is due.
func (e *Emulator) advance() error {
	now := time.Now()
	if e.faults.expire(now) {
		e.cutRegistrations()
	}
	if e.faults.any() {
		e.recorder.Disturb(now)
	}
	for _, id := range e.fleet.Advance(now) {
		e.wake(id)
	}
	e.updateListeners()
	e.checkWaves(now)
	return e.writeRegistrations()
}

// wake lets the polls of a machine's worker return.
func (e *Emulator) wake(id string) {
	if c := e.news[id]; c != nil {
		close(c)
		delete(e.news, id)
	}
}

// writeRegistrations writes what workers have told the store about themselves.
func (e *Emulator) writeRegistrations() error {
	for _, r := range e.fleet.Registrations() {
		key := platform.WorkerPrefix + r.ID
		if r.Entry == nil {
			e.store.Delete(key)
			continue
		}
		value, err := emulated.EncodeWorker(r.Entry)
		if err != nil {
			return err
		}
		e.store.Put(key, value)
	}
	return nil
}

// configure writes a version of the configuration to the store.
func (e *Emulator) configure(s *emulation.Settings) error {
	version := int64(1)
	if e.catalog != nil {
		version = e.catalog.Version + 1
	}
	c := s.Catalog(version)
	record, err := emulated.EncodeCatalog(c)
	if err != nil {
		return err
	}
	e.store.Put(platform.ConfigKey, record)
	s.Seed = e.settings.Seed
	e.settings, e.catalog = s, c
	for _, a := range c.Accounts {
		for _, k := range a.Keys {
			e.accounts[k] = a.Name
		}
	}
	e.fleet.Configure(s)
	e.recorder.Configure(time.Now(), c)
	e.log.Info("configuration-written", zap.Int64("version", version))
	return nil
}

// watchReadiness asks the hosts whether they are ready, until ctx ends.
func (e *Emulator) watchReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readinessTimeout}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		for _, h := range e.hosts {
			ready := isReady(ctx, client, h)
			e.mu.Lock()
			if ready {
				h.misses = 0
			} else {
				h.misses = min(h.misses+1, missesNotReady)
			}
			e.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func isReady(ctx context.Context, client *http.Client, h *host) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Readiness().String()+"/-/ready", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// checkWaves tells the recorder of waves that are said to have succeeded.
func (e *Emulator) checkWaves(now time.Time) {
	for number, finished := range e.waves {
		status := e.store.Item(platform.WaveStatusPrefix + strconv.FormatInt(number, 10))
		if finished || status.Revision == 0 {
			continue
		}
		if done, err := emulated.WaveFinished(status.Value); err == nil && done {
			e.waves[number] = true
			e.recorder.FinishWave(now, number)
		}
	}
}
