package ownerlink

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/supervision"
)

// Link is the link of one host to the current owner. It is safe for concurrent use. While it is
// not connected it drops notifications, and queries fail.
type Link struct {
	log        *zap.Logger
	supervisor *supervision.Supervisor
	// changed tells Run that the owner has changed.
	changed chan struct{}

	mu    sync.Mutex
	owner endpoint
	conn  *connection
}

// endpoint is where the current owner accepts links; the zero value means that there is no owner.
type endpoint struct {
	address netip.AddrPort
	token   string
}

// connection is an established link.
type connection struct {
	outgoing chan []byte
	stop     context.CancelCauseFunc

	mu         sync.Mutex
	lastID     uint64
	pending    map[uint64]chan Answer
	unanswered int
	relays     relays
	forecasts  forecasts
}

var (
	errOwnerChanged = errors.New("another host is the owner")
	errUnresponsive = errors.New("queries are not answered")
)

// New returns a link without an owner. Run must be called for it to connect. A panic while it
// sends ends the connection.
func New(log *zap.Logger, supervisor *supervision.Supervisor) *Link {
	return &Link{log: log, supervisor: supervisor, changed: make(chan struct{}, 1)}
}

// SetOwner sets the owner, which is found in the store; an invalid address means that there
// is none.
func (l *Link) SetOwner(at netip.AddrPort, token []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := endpoint{at, string(token)}
	if next == l.owner {
		return
	}
	l.owner = next
	if l.conn != nil {
		l.conn.stop(errOwnerChanged)
	}
	select {
	case l.changed <- struct{}{}:
	default:
		// Run has not yet handled the previous change, and will read this owner.
	}
}

// Run keeps the link connected until ctx ends.
func (l *Link) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		to := l.owner
		l.mu.Unlock()
		if !to.address.IsValid() {
			select {
			case <-l.changed:
			case <-ctx.Done():
			}
			continue
		}
		err := l.connect(ctx, to)
		if ctx.Err() != nil {
			return
		}
		l.log.Info("owner-link-lost", zap.Stringer("owner", to.address), zap.Error(err))
		pause, cancel := context.WithTimeout(ctx, redialDelay)
		select {
		case <-l.changed:
		case <-pause.Done():
		}
		cancel()
	}
}

// connect serves one connection until it ends.
func (l *Link) connect(ctx context.Context, to endpoint) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dial, done := context.WithTimeout(ctx, dialTimeout)
	conn, _, err := websocket.Dial(dial, "ws://"+to.address.String()+Path, &websocket.DialOptions{
		HTTPHeader: http.Header{tokenHeader: {to.token}},
	})
	done()
	if err != nil {
		return err
	}
	// The connection is unusable after an error, so an error on closing it means nothing.
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxMessageBytes)
	c := &connection{outgoing: make(chan []byte, maxQueuedMessages), stop: cancel, pending: make(map[uint64]chan Answer)}
	if !l.setConnection(c, to) {
		return nil
	}
	defer l.clearConnection(c)
	l.log.Info("owner-link-up", zap.Stringer("owner", to.address))
	written := make(chan error, 1)
	go func() {
		written <- supervised(l.supervisor, func() error { return send(ctx, conn, c.outgoing) })
		cancel(nil)
	}()
	err = c.receive(ctx, conn)
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	cancel(nil)
	<-written
	return err
}

// setConnection makes c the current connection, unless the owner has changed meanwhile.
func (l *Link) setConnection(c *connection, to endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.owner != to {
		return false
	}
	l.conn = c
	return true
}

func (l *Link) clearConnection(c *connection) {
	l.mu.Lock()
	if l.conn == c {
		l.conn = nil
	}
	l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays.end()
	c.forecasts.end()
	for id, answer := range c.pending {
		delete(c.pending, id)
		answer <- Answer{}
	}
}

func (c *connection) receive(ctx context.Context, conn *websocket.Conn) error {
	for {
		_, b, err := conn.Read(ctx)
		if err != nil {
			return err
		}
		var r reply
		if err := cbor.Unmarshal(b, &r); err != nil {
			return err
		}
		c.mu.Lock()
		if r.ID != 0 {
			c.unanswered = 0
		}
		answer := c.pending[r.ID]
		delete(c.pending, r.ID)
		c.relays.answer(&r)
		c.forecasts.answer(&r)
		c.mu.Unlock()
		if answer != nil {
			answer <- r.Answer
		}
	}
}

func (l *Link) current() *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// Notify sends an item that was stored to the owner. It does not block; the owner learns of items
// that the link drops by its watch.
func (l *Link) Notify(item kv.Item) {
	if c := l.current(); c != nil {
		c.enqueue(message{Key: item.Key, Value: item.Value, Revision: item.Revision}, l.log)
	}
}

// QueryState asks the owner for the durable state of a job. It returns false if the owner does not
// know the state or does not respond within 150 ms.
func (l *Link) QueryState(ctx context.Context, job string) (Answer, bool) {
	c := l.current()
	if c == nil {
		return Answer{}, false
	}
	answer := make(chan Answer, 1)
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.pending[id] = answer
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if !c.enqueue(message{ID: id, Job: job}, l.log) {
		c.abandonQuery(id, false)
		return Answer{}, false
	}
	select {
	case a := <-answer:
		return a, a.Known
	case <-ctx.Done():
		c.abandonQuery(id, true)
		return Answer{}, false
	}
}

// abandonQuery forgets a query, and ends the connection if several queries in a row timed out.
func (c *connection) abandonQuery(id uint64, timedOut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
	if timedOut {
		c.unanswered++
	}
	if c.unanswered >= maxUnanswered {
		c.stop(errUnresponsive)
	}
}

// enqueue queues a message. It returns false if the queue is full.
func (c *connection) enqueue(m message, log *zap.Logger) bool {
	b, err := cbor.Marshal(m)
	if err != nil {
		log.Error("message-not-encoded", zap.String("key", m.Key), zap.Error(err))
		return false
	}
	select {
	case c.outgoing <- b:
		return true
	default:
		return false
	}
}

// Connected reports whether the link is connected to the owner.
func (l *Link) Connected() bool { return l.current() != nil }
