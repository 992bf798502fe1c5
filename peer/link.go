package peer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

// link is the pairing with one peer over all its connections. The mutex of the mesh
// guards session, stopDialing and peer.Incarnation; the other fields do not change.
type link struct {
	peer        Peer
	session     *session           // nil while not connected
	stopDialing context.CancelFunc // nil if no goroutine of this side dials
	counters    *counters
	handling    chan struct{} // holds one value while a message of this peer is handled
}

type counters struct {
	messagesSent, messagesReceived atomic.Uint64
	bytesSent, bytesReceived       atomic.Uint64
	unknownKinds, queueFull        atomic.Uint64
	established                    atomic.Uint64
}

// Status is the state of one link with its counters since the peer was listed. Bytes are
// those of the messages, without the framing and the pings of WebSocket.
type Status struct {
	Connected                      bool
	Incarnation                    uint64
	Version                        uint16
	MessagesSent, MessagesReceived uint64
	BytesSent, BytesReceived       uint64
	// UnknownKinds counts ignored messages, QueueFull refused ones.
	UnknownKinds, QueueFull uint64
	// Established counts the connections.
	Established uint64
}

func newLink(p Peer) *link {
	return &link{peer: p, counters: &counters{}, handling: make(chan struct{}, 1)}
}

// end ends the session before the dialing, so that the reason is not lost.
func (l *link) end(reason error) {
	if l.session != nil {
		l.session.cancel(reason)
	}
	if l.stopDialing != nil {
		l.stopDialing()
	}
}

func (l *link) status() Status {
	c := l.counters
	st := Status{
		Incarnation:      l.peer.Incarnation,
		MessagesSent:     c.messagesSent.Load(),
		MessagesReceived: c.messagesReceived.Load(),
		BytesSent:        c.bytesSent.Load(),
		BytesReceived:    c.bytesReceived.Load(),
		UnknownKinds:     c.unknownKinds.Load(),
		QueueFull:        c.queueFull.Load(),
		Established:      c.established.Load(),
	}
	if l.session != nil {
		st.Connected = true
		st.Version = l.session.version
	}
	return st
}

// dialLoop keeps one connection to the peer until the link or ctx ends.
func (m *Mesh) dialLoop(ctx context.Context, l *link) {
	backoff := m.tuning.shortestBackoff
	for ctx.Err() == nil {
		started := time.Now()
		m.down(l.peer.Name, m.dial(ctx, l))
		// A link that a peer ends right after the handshake counts as a failed attempt.
		if time.Since(started) > m.tuning.longestBackoff {
			backoff = m.tuning.shortestBackoff
		}
		pause(ctx, jitter(backoff))
		backoff = min(2*backoff, m.tuning.longestBackoff)
	}
}

// dial makes one connection and serves it until it ends.
func (m *Mesh) dial(ctx context.Context, l *link) error {
	scheme := "ws://"
	if m.cfg.TLS != nil {
		scheme = "wss://"
	}
	dialCtx, cancel := context.WithTimeout(ctx, m.tuning.handshakeTimeout)
	conn, _, err := websocket.Dial(dialCtx, scheme+l.peer.Address.String(), &websocket.DialOptions{HTTPClient: m.client})
	cancel()
	if err != nil {
		return &ConnectError{Peer: l.peer.Name, Err: err}
	}
	return m.serve(ctx, &handshake{mesh: m, conn: conn, role: dialing, peer: l.peer.Name})
}

// jitter spreads the attempts of hosts that lost the same peer at the same time.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
