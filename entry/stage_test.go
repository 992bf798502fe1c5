package entry_test

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"egretdrum.example/change"
	"egretdrum.example/contract"
	"egretdrum.example/entry"
	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
	"egretdrum.example/minionfake"
	"egretdrum.example/operator"
	"egretdrum.example/platformfake"
	"egretdrum.example/settings"
	"egretdrum.example/teamkey"
)

const service = "/tengri/pairings/rounds"

// stage is a small system in this process: entry hosts, minions and a platform.
type stage struct {
	t        testing.TB
	platform *platformfake.Platform
	minions  []*minionfake.Minion
	listed   []hostlist.Host
	hosts    []*entry.Host
	stops    []func() error
	key      string
	store    string
	edit     func(*settings.Settings)
	scheme   string // of the operator API
}

func newStage(t testing.TB, hosts, minions int) *stage {
	return newStageWith(t, hosts, minions, func(*settings.Settings) {})
}

// newStageWith changes the settings of its hosts.
func newStageWith(t testing.TB, hosts, minions int, edit func(*settings.Settings)) *stage {
	s := &stage{t: t, platform: platformfake.New(), edit: edit, scheme: "http"}
	server := httptest.NewServer(s.platform.Handler())
	t.Cleanup(server.Close)
	s.store = server.URL
	for n := range minions {
		s.addMinion(fmt.Sprintf("w%d", n+1))
	}
	s.platform.SetHosts(s.listed)
	s.platform.PublishHosts()
	for n := range hosts {
		s.startHost(fmt.Sprintf("entry-%d", n+1))
	}
	t.Cleanup(func() {
		var ended sync.WaitGroup
		for _, stop := range s.stops {
			ended.Go(func() { _ = stop() })
		}
		ended.Wait()
	})
	s.configure()
	return s
}

func (s *stage) addMinion(name string) {
	m := minionfake.New(name)
	server := httptest.NewUnstartedServer(m)
	server.Listener = m.Listen(server.Listener)
	server.Start()
	s.t.Cleanup(server.Close)
	s.minions = append(s.minions, m)
	s.listed = append(s.listed, hostlist.Host{
		Worker: name, Zone: "a", Rack: "r", Slots: 8, Connections: 64,
		Address: netip.MustParseAddrPort(server.Listener.Addr().(*net.TCPAddr).String()),
	})
}

func (s *stage) startHost(name string) {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	// The stop timeout is short, because in most tests hosts need not leave in good order.
	set := &settings.Settings{
		Name: name, Zone: "a", CallersAddress: local, OperatorAddress: local, PeerAddress: local,
		StoreURL: s.store, StoreTimeout: time.Second, ClusterSecret: "test-secret-test-secret",
		MaxBodyBytes: 1 << 20, MaxConnections: 1000, HeaderTimeout: 10 * time.Second, StopTimeout: 100 * time.Millisecond,
	}
	s.edit(set)
	if set.CertificateFile != "" {
		s.scheme = "https"
	}
	h := entry.New(set, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	qt.Assert(s.t, h.Listen(ctx), qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	s.hosts = append(s.hosts, h)
	s.stops = append(s.stops, func() error {
		cancel()
		err := <-done
		done <- err
		return err
	})
	s.eventually(h.Ready)
}

// eventually polls until a condition holds; the bound only ends a test that hangs.
func (s *stage) eventually(done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(30 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("the condition never held")
		}
	}
}

func (s *stage) configure() {
	secret, key, err := teamkey.Generate(rand.Reader, time.Now())
	qt.Assert(s.t, err, qt.IsNil)
	s.key = secret
	s.change(change.KindPool, "tengri/rounds", fleet.Pool{})
	s.change(change.KindService, "tengri/pairings", fleet.Service{Pool: "tengri/rounds"})
	for _, h := range s.listed {
		s.change(change.KindWorker, h.Worker, fleet.Worker{Pool: "tengri/rounds"})
	}
	s.change(change.KindContract, "tengri/arbiters", contract.Contract{Team: "tengri/arbiters", Share: 500_000, Limit: 16, Keys: []teamkey.Key{key}})
}

// change sets one object through the first host and waits until all hosts have it.
func (s *stage) change(kind, name string, after any) {
	s.t.Helper()
	api := s.scheme + "://" + s.hosts[0].OperatorAddr().String()
	cfg, err := operator.Fetch(context.Background(), api)
	qt.Assert(s.t, err, qt.IsNil)
	before, err := cfg.Object(kind, name)
	qt.Assert(s.t, err, qt.IsNil)
	b, err := json.Marshal(after)
	qt.Assert(s.t, err, qt.IsNil)
	version, _, err := operator.Submit(context.Background(), api, change.Change{
		ID: rand.Text(), Operator: "test", Kind: kind, Name: name, Before: before, After: b,
	})
	qt.Assert(s.t, err, qt.IsNil)
	s.eventually(func() bool {
		for _, h := range s.hosts {
			if h.ConfigVersion() < version {
				return false
			}
		}
		return true
	})
}

func (s *stage) request(host int, method, id, body string) *http.Request {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", s.hosts[host].CallersAddr(), service), strings.NewReader(body))
	qt.Assert(s.t, err, qt.IsNil)
	r.Header.Set("Egretdrum-Key", s.key)
	if id != "" {
		r.Header.Set("Egretdrum-Request-Id", id)
	}
	return r
}

// do sends a request and returns the response with its whole body.
func (s *stage) do(r *http.Request) (*http.Response, string) {
	s.t.Helper()
	resp, err := http.DefaultClient.Do(r)
	qt.Assert(s.t, err, qt.IsNil)
	b, err := io.ReadAll(resp.Body)
	qt.Assert(s.t, err, qt.IsNil)
	qt.Assert(s.t, resp.Body.Close(), qt.IsNil)
	return resp, string(b)
}

// runs counts the runs of a request id in the minions' records.
func (s *stage) runs(id string) (n int) {
	for _, m := range s.minions {
		for _, r := range m.Runs() {
			if r.RequestID == id {
				n++
			}
		}
	}
	return n
}

// checkRefusal checks an answer in place of a minion's.
func checkRefusal(t testing.TB, resp *http.Response, status int, reason, run string) {
	t.Helper()
	qt.Check(t, resp.StatusCode, qt.Equals, status)
	qt.Check(t, resp.Header.Get("Egretdrum-Refusal"), qt.Equals, reason)
	qt.Check(t, resp.Header.Get("Egretdrum-Run"), qt.Equals, run)
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
}
