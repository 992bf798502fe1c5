package peer

import (
	"context"
	"errors"
	"time"

	"github.com/coder/websocket"
)

// session is one authenticated connection of a link.
type session struct {
	conn        *websocket.Conn
	peer        string
	incarnation uint64
	version     uint16
	queue       chan []byte
	cancel      context.CancelCauseFunc
	counters    *counters
	handlerLock chan struct{}
	tuning      tuning
	handle      func(Message) error
}

// run reads, writes and pings until the connection fails or is closed, and returns the
// reason.
func (s *session) run(ctx context.Context) error {
	ended := make(chan struct{}, 2)
	go s.runLoop(ctx, ended, s.writeLoop)
	go s.runLoop(ctx, ended, s.pingLoop)
	err := s.readLoop(ctx)
	if causedByPeer(err) {
		// The close frame has to be sent before cancel, which drops the connection if a write
		// is in progress.
		closeWithReason(s.conn, err)
	}
	s.cancel(err)
	_ = s.conn.CloseNow()
	<-ended
	<-ended
	if causedByPeer(err) {
		return err
	}
	return context.Cause(ctx)
}

func (s *session) runLoop(ctx context.Context, ended chan<- struct{}, loop func(context.Context) error) {
	s.cancel(loop(ctx))
	ended <- struct{}{}
}

func (s *session) readLoop(ctx context.Context) error {
	for {
		b, err := readMessage(ctx, s.conn, s.peer)
		if err != nil {
			return err
		}
		s.counters.messagesReceived.Add(1)
		s.counters.bytesReceived.Add(uint64(len(b)))
		if err := s.receive(ctx, b); err != nil {
			return err
		}
	}
}

func (s *session) receive(ctx context.Context, b []byte) error {
	msg, err := decode(s.peer, b)
	if err != nil {
		return err
	}
	if msg.Version != s.version {
		return &MalformedError{Peer: s.peer, Kind: msg.Kind, Place: "version", Err: errors.New("not the version chosen for this link")}
	}
	msg.Incarnation = s.incarnation
	err = s.deliver(ctx, msg)
	var unknown *UnknownKindError
	if errors.As(err, &unknown) {
		s.counters.unknownKinds.Add(1)
		return nil
	}
	var malformed *MalformedError
	if err == nil || errors.As(err, &malformed) {
		return err
	}
	return &LinkError{Peer: s.peer, Op: "handle " + msg.Kind, Err: err}
}

// deliver calls the handler for one message of the peer at a time. It keeps the order of
// messages when a connection is replaced: a connection that was replaced while it waited
// delivers nothing more.
func (s *session) deliver(ctx context.Context, msg Message) error {
	select {
	case s.handlerLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.handlerLock }()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return s.handle(msg)
}

func (s *session) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case b := <-s.queue:
			if err := s.writeMessage(ctx, b); err != nil {
				return err
			}
		}
	}
}

func (s *session) writeMessage(ctx context.Context, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.tuning.responseTimeout)
	defer cancel()
	if err := s.conn.Write(ctx, websocket.MessageBinary, b); err != nil {
		return s.connectionError(ctx, "write", err)
	}
	s.counters.messagesSent.Add(1)
	s.counters.bytesSent.Add(uint64(len(b)))
	return nil
}

// pingLoop pings the peer. A ping and its pong need both directions of the connection and
// the read loop of this host, so this also detects a connection that lost only one
// direction.
func (s *session) pingLoop(ctx context.Context) error {
	ticker := time.NewTicker(s.tuning.pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if err := s.ping(ctx); err != nil {
				return err
			}
		}
	}
}

func (s *session) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.tuning.responseTimeout)
	defer cancel()
	if err := s.conn.Ping(ctx); err != nil {
		return s.connectionError(ctx, "ping", err)
	}
	return nil
}

func (s *session) connectionError(ctx context.Context, op string, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &UnresponsiveError{Peer: s.peer, Err: err}
	}
	return &LinkError{Peer: s.peer, Op: op, Err: err}
}

func readMessage(ctx context.Context, conn *websocket.Conn, peer string) ([]byte, error) {
	kind, b, err := conn.Read(ctx)
	if errors.Is(err, websocket.ErrMessageTooBig) {
		return nil, &TooLargeError{Peer: peer}
	}
	if err != nil {
		return nil, &LinkError{Peer: peer, Op: "read", Err: err}
	}
	if kind != websocket.MessageBinary {
		return nil, &MalformedError{Peer: peer, Place: "frame", Err: errors.New("a text message")}
	}
	return b, nil
}

// maxCloseReason is the maximum length in bytes of the reason in a WebSocket close frame.
const maxCloseReason = 123

// closeWithReason sends the peer the error as the close reason if the peer caused it. In
// all other cases it drops the connection at once, because the peer may be unresponsive.
func closeWithReason(conn *websocket.Conn, err error) {
	if !causedByPeer(err) {
		_ = conn.CloseNow()
		return
	}
	reason := err.Error()
	_ = conn.Close(websocket.StatusPolicyViolation, reason[:min(len(reason), maxCloseReason)])
}

func causedByPeer(err error) bool {
	switch err.(type) {
	case *MalformedError, *VersionError, *AuthError, *IncarnationError:
		return true
	default:
		return false
	}
}
