package capacity

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"egretdrum.example/entry"
	"egretdrum.example/operator"
	"egretdrum.example/platformfake"
	"egretdrum.example/settings"
)

const (
	// settle is the time after the last host has started in which the coordinators mint
	// the credits of all teams.
	settle = 1500 * time.Millisecond
	// counted is the time in which store calls are counted.
	counted      = 2 * time.Second
	readyTimeout = 10 * time.Second
	stopTimeout  = 5 * time.Second
	// changesPerSize are submitted for each number of hosts.
	changesPerSize = 5
)

// stage runs whole entry hosts on a platform stand-in, all in this process.
type stage struct {
	platform *platformfake.Platform
	url      string
	hosts    []*entry.Host
	ended    []chan error
	cancel   context.CancelFunc
	server   *http.Server
}

// running is what the hosts cost while they serve no caller.
type running struct {
	writes, reads float64 // store calls per second
	cpu           float64 // milliseconds per second of the whole process
	rollout       float64 // milliseconds until every host has acknowledged, the smallest
	behind        int     // hosts that were behind when the operator's call returned
}

func newStage(ctx context.Context, hosts int) (*stage, error) {
	s := &stage{platform: platformfake.New()}
	b, err := document(documentSize{regionWorkers, teams, pools}).Encode()
	if err != nil {
		return nil, err
	}
	s.platform.SetValue("config", b)
	s.platform.SetHosts(hostList(regionWorkers))
	s.platform.PublishHosts()
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.url = "http://" + l.Addr().String()
	s.server = &http.Server{Handler: s.platform.Handler(), ReadHeaderTimeout: stopTimeout}
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(l) }()
	s.ended = append(s.ended, served)
	ctx, s.cancel = context.WithCancel(ctx)
	for n := range hosts {
		if err := s.startHost(ctx, n); err != nil {
			return nil, errors.Join(err, s.stop())
		}
	}
	return s, nil
}

func (s *stage) startHost(ctx context.Context, n int) error {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	h := entry.New(&settings.Settings{
		Name: memberName(n), Zone: zoneName(n), CallersAddress: anyPort, OperatorAddress: anyPort, PeerAddress: anyPort,
		StoreURL: s.url, StoreTimeout: time.Second, ClusterSecret: "measure-secret-measure-secret",
		MaxBodyBytes: 1 << 20, MaxConnections: 100, HeaderTimeout: time.Second, StopTimeout: time.Millisecond,
	}, zap.NewNop())
	if err := h.Listen(ctx); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	s.hosts, s.ended = append(s.hosts, h), append(s.ended, ended)
	return waitUntil(ctx, h.Ready)
}

func waitUntil(ctx context.Context, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !done() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// stop ends the hosts. How a host leaves is not measured, so its error is ignored: the
// stage gives it no time to leave the epoch.
func (s *stage) stop() error {
	s.cancel()
	for _, ended := range s.ended[1:] {
		<-ended
	}
	err := s.server.Close()
	<-s.ended[0]
	return err
}

func (s *stage) observe(ctx context.Context) (running, error) {
	if err := pause(ctx, settle); err != nil {
		return running{}, err
	}
	calls, cpu := s.platform.Calls(), processTime()
	if err := pause(ctx, counted); err != nil {
		return running{}, err
	}
	var r running
	for op, n := range s.platform.Calls() {
		rate := float64(n-calls[op]) / counted.Seconds()
		if isWrite(op) {
			r.writes += rate
		} else {
			r.reads += rate
		}
	}
	r.cpu = float64(processTime()-cpu) / float64(time.Millisecond) / counted.Seconds()
	return r, s.rollOut(ctx, &r)
}

func isWrite(op string) bool {
	switch op {
	case "put", "delete", "grant-lease", "renew-lease", "end-lease":
		return true
	}
	return false
}

// rollOut submits changes at the first host and waits until all have the new version.
func (s *stage) rollOut(ctx context.Context, r *running) error {
	address := "http://" + s.hosts[0].OperatorAddr().String()
	for n := range changesPerSize {
		cfg, err := operator.Fetch(ctx, address)
		if err != nil {
			return err
		}
		c, err := workerChange(cfg, n, cfg.Version)
		if err != nil {
			return err
		}
		started := time.Now()
		version, behind, err := operator.Submit(ctx, address, c)
		if err != nil {
			return err
		}
		err = waitUntil(ctx, func() bool {
			for _, h := range s.hosts {
				if h.ConfigVersion() < version {
					return false
				}
			}
			return true
		})
		if err != nil {
			return err
		}
		took := float64(time.Since(started)) / float64(time.Millisecond)
		if n == 0 || took < r.rollout {
			r.rollout = took
		}
		r.behind += len(behind)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// processTime is the processor time of this process, its system calls included.
func processTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
