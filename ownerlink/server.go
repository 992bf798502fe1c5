package ownerlink

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/supervision"
)

// Server accepts the links of other hosts while this host is the owner.
type Server struct {
	// Token returns the token of the current term, nil while this host is not the owner.
	Token func() []byte
	// Notify is called with each item that a host reports as stored.
	Notify func(kv.Item)
	// QueryState answers a query for the state of a job by calling reply, which does not block.
	QueryState func(job string, reply func(Answer))
	// Commit, if set, commits a change for a host within a time and calls reply with the result of
	// kv.Store.Commit; neither blocks.
	Commit func(c kv.Change, within time.Duration, reply func(revision int64, err error))
	// ShortPools, if set, returns the pools that are short of room. Forecast, if set, answers when an
	// encoded job would be done by calling reply, with nil if it is not known; neither blocks.
	ShortPools func() []string
	Forecast   func(job []byte, reply func(*Forecast))
	Log        *zap.Logger
	// Supervisor recovers panics; a panic ends the link.
	Supervisor *supervision.Supervisor
}

// ServeHTTP serves one link until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token := s.Token()
	if len(token) == 0 || subtle.ConstantTimeCompare(token, []byte(r.Header.Get(tokenHeader))) != 1 {
		http.Error(w, "not the owner of this term", http.StatusForbidden)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		s.Log.Info("link-not-accepted", zap.String("from", r.RemoteAddr), zap.Error(err))
		return
	}
	conn.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(r.Context())
	out := make(chan []byte, maxQueuedMessages)
	written := make(chan error, 1)
	go func() { written <- supervised(s.Supervisor, func() error { return send(ctx, conn, out) }); cancel() }()
	announced := make(chan error, 1)
	go func() {
		announced <- supervised(s.Supervisor, func() error { return s.announceShortage(ctx, out) })
		cancel()
	}()
	err = supervised(s.Supervisor, func() error { return s.receive(ctx, conn, out) })
	cancel()
	<-written
	<-announced
	// The connection has failed or the peer has closed it, so an error on closing it means
	// nothing.
	_ = conn.CloseNow()
	s.Log.Info("link-ended", zap.String("from", r.RemoteAddr), zap.Error(err))
}

func (s *Server) receive(ctx context.Context, conn *websocket.Conn, out chan<- []byte) error {
	var limit conflictLimit
	for {
		_, b, err := conn.Read(ctx)
		if err != nil {
			return err
		}
		var m message
		if err := cbor.Unmarshal(b, &m); err != nil {
			return err
		}
		if m.ID == 0 {
			s.Notify(m.item())
			continue
		}
		if m.Change != nil {
			s.commit(m.ID, m.Change, &limit, out)
			continue
		}
		if m.Forecast != nil {
			s.forecast(m.ID, m.Forecast, out)
			continue
		}
		s.QueryState(m.Job, func(a Answer) {
			b, err := cbor.Marshal(reply{ID: m.ID, Answer: a})
			if err != nil {
				s.Log.Error("answer-not-encoded", zap.String("request", m.Job), zap.Error(err))
				return
			}
			select {
			case out <- b:
			default:
				// The queue is full. The host reads the store after its timeout.
			}
		})
	}
}

// errLinkPanicked is the result of a function that panicked.
var errLinkPanicked = errors.New("the link has failed unexpectedly")

// supervised calls f and returns its error, or errLinkPanicked if it panics.
func supervised(supervisor *supervision.Supervisor, f func() error) error {
	err := errLinkPanicked
	supervisor.Run("owner-link", func() { err = f() })
	return err
}

// send writes messages until ctx ends or the connection fails.
func send(ctx context.Context, conn *websocket.Conn, out <-chan []byte) error {
	for {
		select {
		case b := <-out:
			if err := write(ctx, conn, b); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func write(ctx context.Context, conn *websocket.Conn, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, b)
}
