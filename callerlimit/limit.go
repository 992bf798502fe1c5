// Package callerlimit limits the connections of an HTTP server, so that file descriptors and
// memory remain for the work of the host. Connections that are idle or stalled give way to new
// ones.
package callerlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// minQuiet is how long a connection must have been quiet before it gives way.
	minQuiet = 200 * time.Millisecond
	// refusedRoom is how many connections over the limit are accepted to refuse their first
	// request; further ones are closed at once.
	refusedRoom = 16
	// maxFields is the largest number of fields of a request head. A field takes many times its
	// text in memory.
	maxFields = 100
	// answerTime bounds the time in which a caller has to take the end of an answer.
	answerTime = 5 * time.Second
	// drainTime and drainBytes bound what is read of a body that its handler has not read.
	drainTime  = 250 * time.Millisecond
	drainBytes = 256 << 10
)

// Limit limits the connections of one http.Server. It is safe for concurrent use.
type Limit struct {
	// Max is the largest number of open connections that are served. For a further one, the
	// connection that has been idle or stalled the longest is closed. If there is none, the
	// requests of the new one go to Refuse, and it is closed.
	Max    int64
	Refuse http.Handler
	// MaxHeads is the largest number of connections on which a head of more than smallHead bytes
	// arrives; for a further one, the oldest of them is closed. Zero stands for no limit.
	MaxHeads int
	// Closed, if set, is called with each connection that is closed to make room.
	Closed func(Closed)

	mu    sync.Mutex
	conns map[net.Conn]*state
	heads int
}

// Closed describes a connection that was closed to make room for others.
type Closed struct {
	From net.Addr
	// Phase is what the connection was doing.
	Phase Phase
	// Quiet is how long nothing had arrived.
	Quiet time.Duration
}

// Phase is what a connection is doing.
type Phase string

// Phases of a connection. While a request is being carried out, its connection is not closed.
const (
	Idle    Phase = "idle"
	Head    Phase = "head"
	Body    Phase = "body"
	working Phase = "working"
)

// state is the state of one connection, guarded by the mutex of the limit.
type state struct {
	conn  net.Conn
	phase Phase
	// since is when something last arrived.
	since time.Time
	// headBytes counts what has arrived of the current head; large is set beyond smallHead.
	headBytes int
	large     bool
}

// stateKey is the context key of the state of a connection, overLimit that of connections over
// the limit.
type (
	stateKey  struct{}
	overLimit struct{}
)

// Apply applies the limit to the server. MaxHeads only has an effect on connections of a listener
// that Listen has returned.
func (l *Limit) Apply(s *http.Server) {
	next := s.Handler
	s.ConnContext = l.accept
	s.ConnState = func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateClosed, http.StateHijacked:
			l.remove(c)
		case http.StateIdle:
			l.setPhase(c, Idle)
		case http.StateNew, http.StateActive:
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serve(next, w, r) })
}

// Open returns the number of open connections.
func (l *Limit) Open() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.conns))
}

// accept takes in a new connection.
func (l *Limit) accept(ctx context.Context, c net.Conn) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[net.Conn]*state)
	}
	over := int64(len(l.conns)) >= l.Max && !l.makeRoom()
	if over && int64(len(l.conns)) >= l.Max+refusedRoom {
		_ = c.Close()
		return ctx
	}
	s := &state{conn: c, phase: Idle, since: time.Now()}
	l.conns[c] = s
	ctx = context.WithValue(ctx, stateKey{}, s)
	if over {
		ctx = context.WithValue(ctx, overLimit{}, true)
	}
	return ctx
}

// makeRoom closes the connection that has been quiet the longest, and reports whether there was
// one. The lock must be held.
func (l *Limit) makeRoom() bool {
	var oldest *state
	for _, s := range l.conns {
		if s.phase != working && (oldest == nil || s.since.Before(oldest.since)) {
			oldest = s
		}
	}
	if oldest == nil || time.Since(oldest.since) < minQuiet {
		return false
	}
	l.close(oldest)
	return true
}

// close closes a connection. The lock must be held.
func (l *Limit) close(s *state) {
	l.forget(s)
	_ = s.conn.Close()
	if l.Closed != nil {
		l.Closed(Closed{From: s.conn.RemoteAddr(), Phase: s.phase, Quiet: time.Since(s.since)})
	}
}

// forget does not count a connection any more. The lock must be held.
func (l *Limit) forget(s *state) {
	delete(l.conns, s.conn)
	l.endHead(s)
}

func (l *Limit) endHead(s *state) {
	if s.large {
		l.heads--
	}
	s.headBytes, s.large = 0, false
}

func (l *Limit) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.conns[c]; s != nil {
		l.forget(s)
	}
}

func (l *Limit) setPhase(c net.Conn, phase Phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.conns[c]; s != nil {
		l.enter(s, phase)
	}
}

// enter changes the phase of a connection. The lock must be held.
func (l *Limit) enter(s *state, phase Phase) {
	l.endHead(s)
	s.phase, s.since = phase, time.Now()
}

// serve serves one request.
func (l *Limit) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	s, _ := r.Context().Value(stateKey{}).(*state)
	body := l.begin(s, r)
	limited := *r
	if body != nil {
		limited.Body = body
	}
	switch {
	case r.Context().Value(overLimit{}) != nil || r.Context().Err() != nil:
		// If a read of net/http has failed after the last request, the contexts of all further
		// requests are cancelled.
		w.Header().Set("Connection", "close")
		l.Refuse.ServeHTTP(w, &limited)
	case countFields(r.Header) > maxFields:
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
	default:
		next.ServeHTTP(w, &limited)
	}
	// Writers without deadlines have no connection that could stall.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTime))
	if body != nil && !body.ended {
		// What arrives now is not the next head.
		body.awaited()
		DrainBody(w, r)
	}
	if s != nil {
		l.setPhase(s.conn, Idle)
	}
}

func countFields(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// begin notes that the head of a request has arrived, and returns the body if one follows. A request
// whose body the handler does not read is being carried out.
func (l *Limit) begin(s *state, r *http.Request) *trackedBody {
	if s != nil {
		l.setPhase(s.conn, working)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	body := &trackedBody{ReadCloser: r.Body, awaited: func() {}, arrived: func(bool) {}}
	if s != nil {
		body.awaited = func() { l.setPhase(s.conn, Body) }
		body.arrived = func(ended bool) { l.arrived(s, ended) }
	}
	return body
}

func (l *Limit) arrived(s *state, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.since = time.Now()
	if ended && s.phase == Body {
		s.phase = working
	}
}

// DrainBody reads the rest of a body that its handler has not read, for a short time. Otherwise
// net/http waits for it without a bound before it sends an answer that fits its buffer. If the
// rest does not come, net/http closes the connection after the answer.
func DrainBody(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	if r.Header.Get("Expect") != "" {
		// A read would ask for the body; net/http closes the connection after the answer.
		_ = rc.SetReadDeadline(time.Now())
		return
	}
	deadline := time.Now().Add(drainTime)
	if rc.SetReadDeadline(deadline) != nil {
		return
	}
	n, err := io.CopyN(io.Discard, r.Body, drainBytes)
	if err == io.EOF && n < drainBytes && time.Now().Before(deadline) {
		// After the end of the body, net/http waits for the end of the connection. A deadline
		// that passes meanwhile would cancel the contexts of all later requests.
		_ = rc.SetReadDeadline(time.Time{})
	}
}
