package peer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

// link is the state kept for one peer across successive connections. Mesh.mu guards
// session, stopDialing and peer.Incarnation; the other fields do not change.
type link struct {
	peer        Peer
	session     *session           // nil while not connected
	stopDialing context.CancelFunc // nil if no goroutine of this host dials the peer
	counters    *counters
	handlerLock chan struct{} // holds one value while a message from this peer is handled
}

type counters struct {
	messagesSent, messagesReceived atomic.Uint64
	bytesSent, bytesReceived       atomic.Uint64
	unknownKinds, queueFull        atomic.Uint64
	established                    atomic.Uint64
}

// Status is the state of one link and its counters since the peer was added to the list.
// The byte counts are those of the messages, without WebSocket framing and pings.
type Status struct {
	Connected                      bool
	Incarnation                    uint64
	Version                        uint16
	MessagesSent, MessagesReceived uint64
	BytesSent, BytesReceived       uint64
	// UnknownKinds counts received messages that were ignored, QueueFull messages that Send
	// did not queue.
	UnknownKinds, QueueFull uint64
	// Established counts the connections that completed the handshake and were accepted.
	Established uint64
}

func newLink(p Peer) *link {
	return &link{peer: p, counters: &counters{}, handlerLock: make(chan struct{}, 1)}
}

// close cancels the session before the dialing: the dialing context is the parent of the
// session's, and its cancellation would replace the reason.
func (l *link) close(reason error) {
	if l.session != nil {
		l.session.cancel(reason)
	}
	if l.stopDialing != nil {
		l.stopDialing()
	}
}

func (l *link) status() Status {
	counters := l.counters
	status := Status{
		Incarnation:      l.peer.Incarnation,
		MessagesSent:     counters.messagesSent.Load(),
		MessagesReceived: counters.messagesReceived.Load(),
		BytesSent:        counters.bytesSent.Load(),
		BytesReceived:    counters.bytesReceived.Load(),
		UnknownKinds:     counters.unknownKinds.Load(),
		QueueFull:        counters.queueFull.Load(),
		Established:      counters.established.Load(),
	}
	if l.session != nil {
		status.Connected = true
		status.Version = l.session.version
	}
	return status
}

// dialLoop keeps a connection to the peer open, with backoff between attempts, until the
// link is closed or ctx ends.
func (m *Mesh) dialLoop(ctx context.Context, l *link) {
	delay := m.tuning.minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		m.reportDown(l.peer.Name, m.dial(ctx, l))
		// A connection that ends soon after the handshake counts as a failed attempt and does
		// not reset the delay.
		if time.Since(started) > m.tuning.maxBackoff {
			delay = m.tuning.minBackoff
		}
		sleep(ctx, jitter(delay))
		delay = min(2*delay, m.tuning.maxBackoff)
	}
}

// dial opens one connection to the peer and serves it until it ends.
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

// jitter returns a random duration between d/2 and d. It spreads the attempts of hosts
// that lost the same peer at the same time.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
