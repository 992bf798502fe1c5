package ownerlink_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/ownerlink"
	"egretdrum.example/progress"
	"egretdrum.example/supervision"
)

// host is an entry host that accepts links.
type host struct {
	at       netip.AddrPort
	token    []byte
	notified chan kv.Item
	server   *ownerlink.Server
	// closeConnections ends all links without notice.
	closeConnections func()

	mu           sync.Mutex
	unresponsive bool
	queries      int
}

func (h *host) notify(i kv.Item) {
	if i.Key == panicKey {
		panic("unexpected item")
	}
	h.notified <- i
}

// panicKey is the key of an item on which the host panics.
const panicKey = "failing"

func newHost(t *testing.T, token string) *host {
	h := &host{token: []byte(token), notified: make(chan kv.Item, 10)}
	h.server = &ownerlink.Server{
		Token: func() []byte { return h.token }, Notify: h.notify, QueryState: h.state, Log: zap.NewNop(), Supervisor: &supervision.Supervisor{Log: zap.NewNop()},
	}
	ctx, end := context.WithCancel(t.Context())
	h.closeConnections = end
	s := httptest.NewUnstartedServer(h.server)
	s.Config.BaseContext = func(net.Listener) context.Context { return ctx }
	s.Start()
	t.Cleanup(s.Close)
	u, err := url.Parse(s.URL)
	qt.Assert(t, err, qt.IsNil)
	h.at = netip.MustParseAddrPort(u.Host)
	return h
}

func (h *host) state(id string, reply func(ownerlink.Answer)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queries++
	if h.unresponsive {
		return
	}
	reply(ownerlink.Answer{Known: id == "known", State: progress.Running, Queue: "rounds", Account: "arbiters"})
}

func newLink(t *testing.T) *ownerlink.Link {
	l := ownerlink.New(zap.NewNop(), &supervision.Supervisor{Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); l.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return l
}

// waitConnected waits until the link is connected, or not connected.
func waitConnected(t *testing.T, l *ownerlink.Link, want bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); l.Connected() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("Connected() did not become %t", want)
		}
	}
}

// Guards against items that reach the owner only by a watch of the store although the link is
// connected.
func TestNotificationReachesTheOwner(t *testing.T) {
	h, l := newHost(t, "term 7"), newLink(t)
	l.SetOwner(h.at, h.token)
	waitConnected(t, l, true)
	item := kv.Item{Key: "in/1", Value: []byte("job"), Revision: 12}
	l.Notify(item)
	qt.Assert(t, <-h.notified, qt.DeepEquals, item)
}

// Guards against states that are read from the store although the owner knows them, and against
// an unknown job whose zero state is taken for an answer.
func TestOwnerAnswersQueries(t *testing.T) {
	h, l := newHost(t, "term 7"), newLink(t)
	l.SetOwner(h.at, h.token)
	waitConnected(t, l, true)
	a, ok := l.QueryState(t.Context(), "known")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, a, qt.DeepEquals, ownerlink.Answer{Known: true, State: progress.Running, Queue: "rounds", Account: "arbiters"})
	_, ok = l.QueryState(t.Context(), "unknown")
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against an owner that accepts a link from a process that cannot read the store, or from a
// host that knows only the token of an earlier term.
func TestWrongTokenIsRefused(t *testing.T) {
	h, l := newHost(t, "term 8"), newLink(t)
	l.SetOwner(h.at, []byte("term 7"))
	_, ok := l.QueryState(t.Context(), "known")
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, l.Connected(), qt.IsFalse)
	l.SetOwner(h.at, h.token)
	waitConnected(t, l, true)
}

// Guards against callers that each wait for the timeout because a connection no longer delivers
// responses: after several unanswered queries the link has to reconnect.
func TestUnresponsiveOwnerEndsTheLink(t *testing.T) {
	h, l := newHost(t, "term 7"), newLink(t)
	l.SetOwner(h.at, h.token)
	waitConnected(t, l, true)
	h.mu.Lock()
	h.unresponsive = true
	h.mu.Unlock()
	var queries sync.WaitGroup
	for range 5 {
		queries.Go(func() {
			_, ok := l.QueryState(t.Context(), "known")
			qt.Check(t, ok, qt.IsFalse)
		})
	}
	queries.Wait()
	h.mu.Lock()
	h.unresponsive = false
	h.mu.Unlock()
	// The link reconnects, and queries are answered again.
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, ok := l.QueryState(t.Context(), "known"); ok {
			break
		}
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
}

// Guards against a link that stays connected to an owner that has been replaced.
func TestLinkConnectsToTheNextOwner(t *testing.T) {
	l := newLink(t)
	for n := range 3 {
		h := newHost(t, fmt.Sprintf("term %d", n))
		l.SetOwner(h.at, h.token)
		l.Notify(kv.Item{Key: "lost", Revision: 1})
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
			l.Notify(kv.Item{Key: "in/1", Revision: int64(n)})
			if len(h.notified) > 0 {
				break
			}
			qt.Assert(t, time.Now().Before(end), qt.IsTrue)
		}
	}
	l.SetOwner(netip.AddrPort{}, nil)
	waitConnected(t, l, false)
}
