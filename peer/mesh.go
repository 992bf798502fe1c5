// Package peer maintains the links between entry hosts: one WebSocket connection for each
// pair of hosts, mutually authenticated, that carries CBOR messages. Of two hosts, the one
// whose name sorts first dials the other.
package peer

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"
)

// Config configures a Mesh.
type Config struct {
	Name string
	// Incarnation increases with each start of a host of this name.
	Incarnation uint64
	Zone        string
	// Secret is the cluster secret, the same on all entry hosts.
	Secret []byte
	// TLS, if not nil, is the configuration for dialing. The server that serves the Mesh
	// configures TLS for accepted links.
	TLS *tls.Config
	// Handle is called for each message, one at a time for each peer and concurrently for
	// different peers. It must return well within the response timeout of a link (2 s),
	// because no pongs are read or sent while it runs. An UnknownKindError is counted; any
	// other error closes the link.
	Handle func(Message) error
	// Up, if set, is called when a link is established, Down, if set, when a link ends or an
	// attempt fails. The Down of a replaced connection may follow the Up of its successor;
	// Status returns the current state.
	Up   func(peer string, incarnation uint64)
	Down func(peer string, err error)
}

// Peer is one other entry host.
type Peer struct {
	Name        string
	Incarnation uint64
	Address     netip.AddrPort
}

const (
	// Version 1 used names as the keys of a heartbeat. A host that decoded it as version 2
	// would get an empty heartbeat, so hosts of versions 1 and 2 do not link.
	lowestVersion  = 2
	highestVersion = 2

	handshakeTimeout = 2 * time.Second
	// An unresponsive connection is detected within pingInterval + responseTimeout, before
	// the 3 s after which the layer above regards a host as lost.
	pingInterval    = 500 * time.Millisecond
	responseTimeout = 2 * time.Second

	// maxBackoff stays below the 3 s after which a host is regarded as lost, so that a host
	// that returns is reached in time.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second

	// sendQueueLength is enough for the grants and demands of one burst. At 4 heartbeats a
	// second, a link is replaced as unresponsive long before heartbeats fill its queue.
	sendQueueLength = 1024
)

// tuning holds the constants above, so that tests can use other versions and limits.
type tuning struct {
	lowest, highest                                 uint16
	handshakeTimeout, pingInterval, responseTimeout time.Duration
	minBackoff, maxBackoff                          time.Duration
	queueLength                                     int
}

// Mesh maintains the links of one entry host to all others. It is safe for concurrent use.
// It is the http.Handler for the links that other hosts dial.
type Mesh struct {
	cfg    Config
	tuning tuning
	client *http.Client

	peersChanged  chan struct{}
	dialerEnded   chan struct{}
	acceptedLinks sync.WaitGroup

	mu      sync.Mutex
	links   map[string]*link
	stopped bool
}

// New returns a Mesh without peers. It dials only while Run runs.
func New(cfg Config) *Mesh {
	return &Mesh{
		cfg: cfg,
		tuning: tuning{
			lowestVersion, highestVersion, handshakeTimeout, pingInterval, responseTimeout,
			minBackoff, maxBackoff, sendQueueLength,
		},
		client:       &http.Client{Transport: &http.Transport{TLSClientConfig: cfg.TLS}},
		peersChanged: make(chan struct{}, 1),
		dialerEnded:  make(chan struct{}),
		links:        make(map[string]*link),
	}
}

// Run dials peers until ctx ends, then closes all links and returns when their goroutines
// have ended.
func (m *Mesh) Run(ctx context.Context) {
	dialers := 0
	for {
		dialers += m.startDialers(ctx)
		select {
		case <-m.peersChanged:
		case <-m.dialerEnded:
			dialers--
		case <-ctx.Done():
			m.stop()
			for ; dialers > 0; dialers-- {
				<-m.dialerEnded
			}
			m.acceptedLinks.Wait()
			m.client.CloseIdleConnections()
			return
		}
	}
}

// SetPeers replaces the list of peers. Links to peers that are not on it are closed; a link
// to a peer with a changed address or a newer incarnation is replaced.
func (m *Mesh) SetPeers(peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[string]bool, len(peers))
	for _, p := range peers {
		if p.Name == m.cfg.Name {
			continue
		}
		listed[p.Name] = true
		m.setPeer(p)
	}
	for name, l := range m.links {
		if !listed[name] {
			l.close(&ClosedError{Peer: name, Reason: "dropped from the list of peers"})
			delete(m.links, name)
		}
	}
	select {
	case m.peersChanged <- struct{}{}:
	default:
	}
}

func (m *Mesh) setPeer(p Peer) {
	l := m.links[p.Name]
	if l == nil {
		m.links[p.Name] = newLink(p)
		return
	}
	if l.peer.Address != p.Address {
		l.close(&ClosedError{Peer: p.Name, Reason: "address changed"})
		replacement := newLink(p)
		replacement.counters, replacement.handlerLock = l.counters, l.handlerLock
		m.links[p.Name] = replacement
		return
	}
	// A list that arrives out of order must not restore a replaced incarnation.
	l.peer.Incarnation = max(l.peer.Incarnation, p.Incarnation)
	if s := l.session; s != nil && s.incarnation < l.peer.Incarnation {
		s.cancel(&IncarnationError{p.Name, s.incarnation, l.peer.Incarnation})
	}
}

// startDialers starts a dialing goroutine for each link that this host dials and that has
// none. It returns their number.
func (m *Mesh) startDialers(ctx context.Context) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	started := 0
	for name, l := range m.links {
		if l.stopDialing != nil || name < m.cfg.Name {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		l.stopDialing = cancel
		started++
		go func() {
			m.dialLoop(ctx, l)
			cancel()
			m.dialerEnded <- struct{}{}
		}()
	}
	return started
}

func (m *Mesh) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	for name, l := range m.links {
		l.close(&ClosedError{Peer: name, Reason: "stopped"})
	}
}

// Send encodes a message and queues it without blocking. If the message is not queued, the
// error is a NotConnectedError, a QueueFullError, a TooLargeError or an EncodeError. A
// queued message is lost if the connection ends before it is written; for this reason the
// messages of the layers above are cumulative or repeated.
func (m *Mesh) Send(peer, kind string, body any) error {
	s := m.currentSession(peer)
	if s == nil {
		return &NotConnectedError{Peer: peer}
	}
	b, err := encode(s.version, kind, body)
	if err != nil {
		return err
	}
	if len(b) > MaxMessageBytes {
		return &TooLargeError{Peer: peer, Kind: kind, Bytes: len(b)}
	}
	select {
	case s.queue <- b:
		return nil
	default:
		s.counters.queueFull.Add(1)
		return &QueueFullError{Peer: peer, Kind: kind}
	}
}

func (m *Mesh) currentSession(peer string) *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[peer]; l != nil {
		return l.session
	}
	return nil
}

// Status returns the state and the counters of all links by peer name.
func (m *Mesh) Status() map[string]Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	statuses := make(map[string]Status, len(m.links))
	for name, l := range m.links {
		statuses[name] = l.status()
	}
	return statuses
}

// ServeHTTP accepts a link that another host dials and serves it until it ends.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !m.registerAccept() {
		http.Error(w, "stopped", http.StatusServiceUnavailable)
		return
	}
	defer m.acceptedLinks.Done()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.reportDown(r.RemoteAddr, &ConnectError{Peer: r.RemoteAddr, Err: err})
		return
	}
	h := &handshake{mesh: m, conn: conn, role: accepting, peer: r.RemoteAddr}
	// The Mesh decides when the connection ends, so the request's cancellation must not end
	// it.
	m.reportDown(h.peer, m.serve(context.WithoutCancel(r.Context()), h))
}

func (m *Mesh) registerAccept() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.stopped {
		m.acceptedLinks.Add(1)
	}
	return !m.stopped
}

// serve authenticates a new connection and runs it as the link's session.
func (m *Mesh) serve(ctx context.Context, h *handshake) error {
	h.conn.SetReadLimit(maxEnvelopeBytes)
	peerHello, version, err := h.run(ctx)
	if err != nil {
		closeWithReason(h.conn, err)
		return err
	}
	h.conn.SetReadLimit(MaxMessageBytes)
	ctx, cancel := context.WithCancelCause(ctx)
	s := &session{
		conn: h.conn, peer: h.peer, incarnation: peerHello.Incarnation, version: version,
		queue: make(chan []byte, m.tuning.queueLength), cancel: cancel, tuning: m.tuning, handle: m.cfg.Handle,
	}
	l, err := m.attach(s)
	if err != nil {
		cancel(err)
		closeWithReason(h.conn, err)
		return err
	}
	if m.cfg.Up != nil {
		m.cfg.Up(s.peer, s.incarnation)
	}
	err = s.run(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.session == s {
		l.session = nil
	}
	return err
}

// attach makes s the session of its link. It replaces an older connection, which may be
// dead without this host having detected it.
func (m *Mesh) attach(s *session) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[s.peer]
	if l == nil {
		return nil, &AuthError{Peer: s.peer, Reason: "not on the list of peers"}
	}
	if m.stopped {
		return nil, &ClosedError{Peer: s.peer, Reason: "stopped"}
	}
	if s.incarnation < l.peer.Incarnation {
		return nil, &IncarnationError{s.peer, s.incarnation, l.peer.Incarnation}
	}
	// A restarted host may connect before the list of peers has its new incarnation. From
	// here on connections of its previous incarnation are refused.
	l.peer.Incarnation = s.incarnation
	if l.session != nil {
		l.session.cancel(&ClosedError{Peer: s.peer, Reason: "replaced by a newer connection"})
	}
	l.session = s
	s.counters, s.handlerLock = l.counters, l.handlerLock
	s.counters.established.Add(1)
	return l, nil
}

func (m *Mesh) reportDown(peer string, err error) {
	if m.cfg.Down != nil {
		m.cfg.Down(peer, err)
	}
}
