// Package peer holds the links between entry hosts: one WebSocket for each pair of hosts,
// authenticated in both directions, with CBOR messages.
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

// Config is what a Mesh needs to know about its host.
type Config struct {
	Name string
	// Incarnation grows with each start of a host of this name.
	Incarnation uint64
	Zone        string
	// Secret is the cluster secret, the same on all entry hosts.
	Secret []byte
	// TLS is used for dialing when it is not nil. The listener's TLS belongs to the
	// server that serves the Mesh.
	TLS *tls.Config
	// Handle receives all messages, one at a time for each peer and concurrently for
	// different peers. It must return well within the silence bound of a link (2 s),
	// because pongs wait behind it. An UnknownKindError is counted; any other error
	// closes the link.
	Handle func(Message) error
	// Up and Down, if set, report links that were established, and links and attempts
	// that failed. The Down of a replaced connection may follow the Up of its successor;
	// Status tells which state holds.
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
	// Version 1 had names as the keys of a heartbeat. A host that reads it as version 2 would
	// see an empty heartbeat, so the two have no link.
	lowestVersion  = 2
	highestVersion = 2

	handshakeTimeout = 2 * time.Second
	// A silent connection is found within probeInterval + silence, before the 3 s after
	// which the layer above regards a host as lost.
	probeInterval = 500 * time.Millisecond
	silence       = 2 * time.Second

	// The longest backoff stays below the 3 s of a lost host, so that a host that is back
	// is reached in time.
	shortestBackoff = 50 * time.Millisecond
	longestBackoff  = 2 * time.Second

	// queueMessages holds the grants and demands of one burst. At 4 heartbeats a second a
	// link that is this far behind is replaced as silent long before.
	queueMessages = 1024
)

// tuning holds the constants above, so that tests can use other versions and bounds.
type tuning struct {
	lowest, highest                          uint16
	handshakeTimeout, probeInterval, silence time.Duration
	shortestBackoff, longestBackoff          time.Duration
	queue                                    int
}

// Mesh holds the links of one entry host to all others. It is safe for concurrent use. It
// is the http.Handler for the links that other hosts dial.
type Mesh struct {
	cfg    Config
	tuning tuning
	client *http.Client

	changed chan struct{}
	ended   chan struct{}
	accepts sync.WaitGroup

	mu      sync.Mutex
	links   map[string]*link
	stopped bool
}

// New returns a mesh without peers. Run must be called for it to dial.
func New(cfg Config) *Mesh {
	return &Mesh{
		cfg: cfg,
		tuning: tuning{
			lowestVersion, highestVersion, handshakeTimeout, probeInterval, silence,
			shortestBackoff, longestBackoff, queueMessages,
		},
		client:  &http.Client{Transport: &http.Transport{TLSClientConfig: cfg.TLS}},
		changed: make(chan struct{}, 1),
		ended:   make(chan struct{}),
		links:   make(map[string]*link),
	}
}

// Run dials peers until ctx ends, then ends all links and returns when their goroutines
// have ended.
func (m *Mesh) Run(ctx context.Context) {
	dialers := 0
	for {
		dialers += m.startDialers(ctx)
		select {
		case <-m.changed:
		case <-m.ended:
			dialers--
		case <-ctx.Done():
			m.stop()
			for ; dialers > 0; dialers-- {
				<-m.ended
			}
			m.accepts.Wait()
			m.client.CloseIdleConnections()
			return
		}
	}
}

// SetPeers replaces the list of peers. Links to peers that are not on it end; a link to a
// peer with a changed address or a newer incarnation is replaced.
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
			l.end(&ClosedError{Peer: name, Reason: "dropped from the list of peers"})
			delete(m.links, name)
		}
	}
	select {
	case m.changed <- struct{}{}:
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
		l.end(&ClosedError{Peer: p.Name, Reason: "address changed"})
		moved := newLink(p)
		moved.counters, moved.handling = l.counters, l.handling
		m.links[p.Name] = moved
		return
	}
	// An older list that arrives late does not bring a replaced incarnation back.
	l.peer.Incarnation = max(l.peer.Incarnation, p.Incarnation)
	if s := l.session; s != nil && s.incarnation < l.peer.Incarnation {
		s.cancel(&IncarnationError{p.Name, s.incarnation, l.peer.Incarnation})
	}
}

// startDialers starts a goroutine for each link that this side dials and that has none.
func (m *Mesh) startDialers(ctx context.Context) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for name, l := range m.links {
		if l.stopDialing != nil || name < m.cfg.Name {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		l.stopDialing = cancel
		n++
		go func() {
			m.dialLoop(ctx, l)
			cancel()
			m.ended <- struct{}{}
		}()
	}
	return n
}

func (m *Mesh) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	for name, l := range m.links {
		l.end(&ClosedError{Peer: name, Reason: "stopped"})
	}
}

// Send encodes a message and queues it without waiting. It returns a NotConnectedError, a
// QueueFullError, a TooLargeError or an EncodeError when it is not queued. A queued
// message is lost if the connection ends first; the messages of the layers above are
// cumulative or repeated for this reason.
func (m *Mesh) Send(peer, kind string, body any) error {
	s := m.established(peer)
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

func (m *Mesh) established(peer string) *session {
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
	all := make(map[string]Status, len(m.links))
	for name, l := range m.links {
		all[name] = l.status()
	}
	return all
}

// ServeHTTP accepts a link that another host dials and serves it until it ends.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !m.beginAccept() {
		http.Error(w, "stopped", http.StatusServiceUnavailable)
		return
	}
	defer m.accepts.Done()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.down(r.RemoteAddr, &ConnectError{Peer: r.RemoteAddr, Err: err})
		return
	}
	h := &handshake{mesh: m, conn: conn, role: accepting, peer: r.RemoteAddr}
	// The connection outlives the request: its end is the mesh's to decide.
	m.down(h.peer, m.serve(context.WithoutCancel(r.Context()), h))
}

func (m *Mesh) beginAccept() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.stopped {
		m.accepts.Add(1)
	}
	return !m.stopped
}

// serve authenticates a new connection and runs it as the link's session.
func (m *Mesh) serve(ctx context.Context, h *handshake) error {
	h.conn.SetReadLimit(envelopeBytes)
	theirs, version, err := h.run(ctx)
	if err != nil {
		closeWith(h.conn, err)
		return err
	}
	h.conn.SetReadLimit(MaxMessageBytes)
	ctx, cancel := context.WithCancelCause(ctx)
	s := &session{
		conn: h.conn, peer: h.peer, incarnation: theirs.Incarnation, version: version,
		queue: make(chan []byte, m.tuning.queue), cancel: cancel, tuning: m.tuning, handle: m.cfg.Handle,
	}
	l, err := m.attach(s)
	if err != nil {
		cancel(err)
		closeWith(h.conn, err)
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
// silent without this side having noticed.
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
	// A host that restarted connects before the list names its new incarnation; its
	// predecessor is refused from here on.
	l.peer.Incarnation = s.incarnation
	if l.session != nil {
		l.session.cancel(&ClosedError{Peer: s.peer, Reason: "replaced by a newer connection"})
	}
	l.session = s
	s.counters, s.handling = l.counters, l.handling
	s.counters.established.Add(1)
	return l, nil
}

func (m *Mesh) down(peer string, err error) {
	if m.cfg.Down != nil {
		m.cfg.Down(peer, err)
	}
}
