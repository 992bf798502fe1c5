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
	handling    chan struct{}
	tuning      tuning
	handle      func(Message) error
}

// run reads until the connection ends or is ended and returns the reason.
func (s *session) run(ctx context.Context) error {
	ended := make(chan struct{}, 2)
	go s.part(ctx, ended, s.write)
	go s.part(ctx, ended, s.probe)
	err := s.read(ctx)
	if causedByPeer(err) {
		// Before cancel, which drops the connection under a write in progress.
		closeWith(s.conn, err)
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

func (s *session) part(ctx context.Context, ended chan<- struct{}, f func(context.Context) error) {
	s.cancel(f(ctx))
	ended <- struct{}{}
}

func (s *session) read(ctx context.Context) error {
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

// deliver keeps the order of messages over a replacement: a connection that was replaced
// while it waited delivers nothing more.
func (s *session) deliver(ctx context.Context, msg Message) error {
	select {
	case s.handling <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.handling }()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return s.handle(msg)
}

func (s *session) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case b := <-s.queue:
			if err := s.writeOne(ctx, b); err != nil {
				return err
			}
		}
	}
}

func (s *session) writeOne(ctx context.Context, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.tuning.silence)
	defer cancel()
	if err := s.conn.Write(ctx, websocket.MessageBinary, b); err != nil {
		return s.failed(ctx, "write", err)
	}
	s.counters.messagesSent.Add(1)
	s.counters.bytesSent.Add(uint64(len(b)))
	return nil
}

// probe pings the peer. The pong passes both directions and the reader of this side, so
// it also finds a connection that lost one direction only.
func (s *session) probe(ctx context.Context) error {
	ticker := time.NewTicker(s.tuning.probeInterval)
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
	ctx, cancel := context.WithTimeout(ctx, s.tuning.silence)
	defer cancel()
	if err := s.conn.Ping(ctx); err != nil {
		return s.failed(ctx, "ping", err)
	}
	return nil
}

func (s *session) failed(ctx context.Context, op string, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &SilentError{Peer: s.peer, Err: err}
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

// maxCloseReason is the longest reason that a WebSocket close frame can carry.
const maxCloseReason = 123

// closeWith tells the peer the reason if the peer caused it; in all other cases the
// connection is dropped at once, because it may be silent.
func closeWith(conn *websocket.Conn, err error) {
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
