package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
)

// network connects hosts by net.Pipe, so that tests run on the clock of synctest.
type network struct {
	c     *qt.C
	mu    sync.Mutex
	ports map[string]chan net.Conn
	conns []*faultConn
	hosts []*host
}

// faultConn buffers writes, as TCP does, and loses everything in one direction or both
// from the moment a flag is set.
type faultConn struct {
	net.Conn
	out                   chan []byte
	closed                chan struct{}
	once                  sync.Once
	loseWrites, loseReads atomic.Bool
}

func wrap(conn net.Conn) *faultConn {
	f := &faultConn{Conn: conn, out: make(chan []byte, 64), closed: make(chan struct{})}
	go f.pump()
	return f
}

// pump writes what was buffered before Close, then closes.
func (f *faultConn) pump() {
	for {
		select {
		case b := <-f.out:
			_, _ = f.Conn.Write(b)
		case <-f.closed:
			for len(f.out) > 0 {
				_, _ = f.Conn.Write(<-f.out)
			}
			_ = f.Conn.Close()
			return
		}
	}
}

func (f *faultConn) Write(b []byte) (int, error) {
	if f.loseWrites.Load() {
		return len(b), nil
	}
	select {
	case f.out <- bytes.Clone(b):
		return len(b), nil
	case <-f.closed:
		return 0, net.ErrClosed
	}
}

func (f *faultConn) Close() error {
	f.once.Do(func() {
		close(f.closed)
		_ = f.Conn.SetReadDeadline(time.Unix(0, 0))
		time.AfterFunc(time.Second, func() { _ = f.Conn.Close() })
	})
	return nil
}

func (f *faultConn) Read(b []byte) (int, error) {
	for {
		n, err := f.Conn.Read(b)
		if err != nil || !f.loseReads.Load() {
			return n, err
		}
	}
}

func (n *network) dial(_ context.Context, _, address string) (net.Conn, error) {
	var port chan net.Conn
	n.locked(func() { port = n.ports[address] })
	if port == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	conn := wrap(near)
	n.locked(func() { n.conns = append(n.conns, conn) })
	port <- wrap(far)
	return conn, nil
}

func (n *network) locked(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// settle lets d pass; what the hosts did until then is visible to the test.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

type listener struct {
	net.Conn
	port chan net.Conn
}

func (l *listener) Accept() (net.Conn, error) {
	if conn, ok := <-l.port; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}
func (l *listener) Close() error   { close(l.port); return nil }
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

type host struct {
	*Mesh
	peer     Peer
	received []Message
	downs    []error
	stop     func()
}

// start runs a host until stop is called; change may alter it before.
func (n *network) start(name string, incarnation uint64, change func(*Mesh)) *host {
	h := &host{peer: Peer{name, incarnation, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 1)}}
	h.Mesh = New(Config{Name: name, Incarnation: incarnation, Secret: []byte("cluster secret")})
	h.cfg.Handle = func(msg Message) error { n.locked(func() { h.received = append(h.received, msg) }); return nil }
	h.cfg.Down = func(_ string, err error) { n.locked(func() { h.downs = append(h.downs, err) }) }
	h.client.Transport = &http.Transport{DialContext: n.dial}
	if change != nil {
		change(h.Mesh)
	}
	address := h.peer.Address.String()
	n.locked(func() { n.ports[address] = make(chan net.Conn) })
	server := &http.Server{Handler: h}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	go func() { h.Run(ctx); ended <- struct{}{} }()
	l := &listener{port: n.ports[address]}
	go func() { _ = server.Serve(l); ended <- struct{}{} }()
	h.stop = func() {
		h.stop = func() {}
		n.locked(func() { delete(n.ports, address) })
		cancel()
		_ = server.Close()
		<-ended
		<-ended
		settle(time.Minute)
	}
	n.hosts = append(n.hosts, h)
	return h
}

// run starts hosts a and b in a bubble, links them and calls f when they had time to connect.
func run(t *testing.T, changeA, changeB func(*Mesh), f func(n *network, a, b *host)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{c: qt.New(t), ports: make(map[string]chan net.Conn)}
		defer func() {
			for _, h := range n.hosts {
				h.stop()
			}
		}()
		a, b := n.start("a", 1, changeA), n.start("b", 1, changeB)
		b.SetPeers([]Peer{a.peer, b.peer})
		a.SetPeers([]Peer{a.peer, b.peer})
		settle(time.Second)
		f(n, a, b)
	})
}

// assertPasses checks that messages pass in both directions.
func (n *network) assertPasses(a, b *host) {
	n.c.Helper()
	for _, pair := range [][2]*host{{a, b}, {b, a}} {
		before := len(pair[1].received)
		n.c.Assert(pair[0].Send(pair[1].peer.Name, "heartbeat", 7), qt.IsNil)
		settle(100 * time.Millisecond)
		n.c.Assert(pair[1].received, qt.HasLen, before+1)
		msg := pair[1].received[before]
		var body int
		n.c.Assert(msg.Decode(&body), qt.IsNil)
		n.c.Assert(fmt.Sprint(msg.Peer, msg.Incarnation, msg.Kind, body), qt.Equals,
			fmt.Sprint(pair[0].peer.Name, pair[0].peer.Incarnation, "heartbeat", 7))
	}
}

// assertRefused checks that no link exists and that all these hosts give the reason.
func assertRefused[E error](n *network, a, b *host, gives ...*host) {
	n.c.Helper()
	var missing *NotConnectedError
	n.c.Assert(errors.As(a.Send("b", "x", 1), &missing), qt.IsTrue)
	n.c.Assert(errors.As(b.Send("a", "x", 1), &missing), qt.IsTrue)
	for _, h := range gives {
		assertDown[E](n, h)
	}
}

// assertDown checks that one of the hosts gave the reason.
func assertDown[E error](n *network, hosts ...*host) E {
	n.c.Helper()
	for _, h := range hosts {
		for _, err := range h.downs {
			var e E
			if errors.As(err, &e) {
				return e
			}
		}
	}
	n.c.Fatalf("no %T reported", *new(E))
	panic("unreachable")
}

func TestMessagesPassAndAreCounted(t *testing.T) {
	run(t, nil, nil, func(n *network, a, b *host) {
		n.assertPasses(a, b)
		sent, got := a.Status()["b"], b.Status()["a"]
		n.c.Check(sent.MessagesSent, qt.Equals, uint64(1))
		n.c.Check(sent.BytesSent, qt.Equals, got.BytesReceived)
		n.c.Check(got.Version, qt.Equals, uint16(highestVersion))
		n.c.Check(len(n.conns), qt.Equals, 1, qt.Commentf("more than one link for the pair"))
	})
}

func TestWrongSecretIsRefusedByBothSides(t *testing.T) {
	run(t, func(m *Mesh) { m.cfg.Secret = []byte("another secret") }, nil, func(n *network, a, b *host) {
		assertRefused[*AuthError](n, a, b, a)
		n.c.Check(b.received, qt.HasLen, 0)
	})
}

// TestReflectedProofIsRefused guards against a host without the secret that sends the
// messages of the other side back to it.
func TestReflectedProofIsRefused(t *testing.T) {
	run(t, nil, nil, func(n *network, a, b *host) {
		a.stop()
		conn, _, err := websocket.Dial(context.Background(), "ws://"+b.peer.Address.String(), &websocket.DialOptions{HTTPClient: a.client})
		n.c.Assert(err, qt.IsNil)
		raw, _ := encode(0, kindHello, hello{lowestVersion, highestVersion, "a", 2, "", make([]byte, nonceBytes)})
		n.c.Assert(conn.Write(context.Background(), websocket.MessageBinary, raw), qt.IsNil)
		for range 2 { // b's hello and proof
			_, raw, err = conn.Read(context.Background())
			n.c.Assert(err, qt.IsNil)
		}
		_ = conn.Write(context.Background(), websocket.MessageBinary, raw)
		_ = conn.CloseNow()
		settle(10 * time.Second)
		n.c.Check(assertDown[*AuthError](n, b).Reason, qt.Equals, "wrong proof of the cluster secret")
	})
}

func TestNoCommonVersionNamesBothRanges(t *testing.T) {
	run(t, func(m *Mesh) { m.tuning.lowest, m.tuning.highest = 3, 4 }, nil, func(n *network, a, b *host) {
		assertRefused[*VersionError](n, a, b, a, b)
		n.c.Check(assertDown[*VersionError](n, a), qt.ErrorMatches, ".*own 3 to 4, peer's 2 to 2")
	})
}

func TestHighestCommonVersionIsChosen(t *testing.T) {
	run(t, func(m *Mesh) { m.tuning.highest = 4 }, func(m *Mesh) { m.tuning.highest = 3 }, func(n *network, a, b *host) {
		n.assertPasses(a, b)
		n.c.Check(a.Status()["b"].Version, qt.Equals, uint16(3))
	})
}

// TestMalformedMessageClosesLink guards against a fault without its place, and against a
// link that stays closed afterwards.
func TestMalformedMessageClosesLink(t *testing.T) {
	type body struct {
		Count int `cbor:"count"`
	}
	checked := func(m *Mesh) {
		keep := m.cfg.Handle
		m.cfg.Handle = func(msg Message) error {
			if msg.Kind == "count" {
				return msg.Decode(&body{})
			}
			return keep(msg)
		}
	}
	wrongType, _ := encode(highestVersion, "count", map[string]string{"count": "x"})
	wrongVersion, _ := encode(9, "count", 1)
	for place, raw := range map[string][]byte{
		"peer.body.count": wrongType, "version": wrongVersion, "envelope": {0xff}, "kind": {0x83, 1, 0x60, 1},
	} {
		t.Run(place, func(t *testing.T) {
			run(t, nil, checked, func(n *network, a, b *host) {
				a.established("b").queue <- raw
				settle(3 * time.Second)
				n.c.Check(assertDown[*MalformedError](n, b).Place, qt.Equals, place)
				n.assertPasses(a, b)
			})
		})
	}
}

func TestOversizedMessage(t *testing.T) {
	run(t, nil, nil, func(n *network, a, b *host) {
		var large *TooLargeError
		n.c.Assert(errors.As(a.Send("b", "x", make([]byte, MaxMessageBytes)), &large), qt.IsTrue)
		n.c.Assert(a.Send("b", "x", make([]byte, 1<<20)), qt.IsNil)
		a.established("b").queue <- make([]byte, MaxMessageBytes+1)
		settle(3 * time.Second)
		n.c.Check(b.received, qt.HasLen, 1)
		assertDown[*TooLargeError](n, b)
		n.assertPasses(a, b)
	})
}

func TestUnknownKindIsCountedAndIgnored(t *testing.T) {
	run(t, nil, func(m *Mesh) { m.cfg.Handle = func(msg Message) error { return &UnknownKindError{msg.Kind} } }, func(n *network, a, b *host) {
		n.c.Assert(a.Send("b", "future", 1), qt.IsNil)
		settle(time.Second)
		n.c.Check(b.Status()["a"].UnknownKinds, qt.Equals, uint64(1))
		n.c.Check(b.Status()["a"].Established, qt.Equals, uint64(1))
	})
}

// TestSilentConnectionIsReplaced guards against a connection that stays open but lost one
// direction or both.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, lose := range map[string]func(*faultConn){
		"both directions": func(f *faultConn) { f.loseWrites.Store(true); f.loseReads.Store(true) },
		"to the acceptor": func(f *faultConn) { f.loseWrites.Store(true) },
		"to the dialer":   func(f *faultConn) { f.loseReads.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, nil, nil, func(n *network, a, b *host) {
				lose(n.conns[0])
				settle(10 * time.Second)
				assertDown[*SilentError](n, a, b)
				n.assertPasses(a, b)
			})
		})
	}
}

// TestFullQueueDoesNotBlock guards against a caller that waits for a slow peer.
func TestFullQueueDoesNotBlock(t *testing.T) {
	var release chan struct{}
	slow := func(m *Mesh) {
		release = make(chan struct{})
		m.cfg.Handle = func(Message) error { <-release; return nil }
	}
	run(t, nil, slow, func(n *network, a, _ *host) {
		var err error
		var full *QueueFullError
		for i := 0; err == nil && i < 2*queueMessages; i++ {
			err = a.Send("b", "x", i)
		}
		n.c.Check(errors.As(err, &full), qt.IsTrue)
		n.c.Check(a.Status()["b"].QueueFull, qt.Equals, uint64(1))
		close(release)
	})
}

// TestReplacedConnectionKeepsOrder guards against two handlers at once for one peer.
func TestReplacedConnectionKeepsOrder(t *testing.T) {
	var running, peak atomic.Int32
	run(t, nil, func(m *Mesh) {
		m.cfg.Handle = func(Message) error {
			peak.Store(max(peak.Load(), running.Add(1)))
			time.Sleep(10 * time.Second)
			running.Add(-1)
			return nil
		}
	}, func(n *network, a, _ *host) {
		for range 2 {
			n.c.Check(a.Send("b", "x", 1), qt.IsNil)
			settle(time.Second)
			a.established("b").cancel(&ClosedError{"b", "test"})
			settle(500 * time.Millisecond)
		}
		n.c.Check(peak.Load(), qt.Equals, int32(1))
	})
}

// TestRestartedPeerIsReached guards against a link that is not dialed again, and against
// a predecessor that is accepted after its successor.
func TestRestartedPeerIsReached(t *testing.T) {
	for _, name := range []string{"a", "b"} {
		t.Run(name, func(t *testing.T) {
			run(t, nil, nil, func(n *network, a, b *host) {
				hosts := map[string]*host{"a": a, "b": b}
				for _, incarnation := range []uint64{2, 1} {
					hosts[name].stop()
					hosts[name] = n.start(name, incarnation, nil)
					hosts[name].SetPeers([]Peer{a.peer, b.peer})
					settle(10 * time.Second)
					if incarnation == 2 {
						n.assertPasses(hosts["a"], hosts["b"])
					}
				}
				assertRefused[*IncarnationError](n, hosts["a"], hosts["b"], map[string]*host{"a": b, "b": a}[name])
			})
		})
	}
}

func TestDroppedPeerIsRefused(t *testing.T) {
	run(t, nil, nil, func(n *network, a, b *host) {
		b.SetPeers(nil)
		settle(10 * time.Second)
		assertRefused[*ClosedError](n, a, b, b)
		assertDown[*AuthError](n, b)
		b.SetPeers([]Peer{a.peer})
		settle(10 * time.Second)
		n.assertPasses(a, b)
	})
}
