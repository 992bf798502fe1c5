// Package httplimit limits the connections, request sizes and waiting times of HTTP callers.
package httplimit

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"egretdrum.example/callerlimit"
	"egretdrum.example/refusal"
)

// Limits holds the limits of one listener.
type Limits struct {
	// Conns is the maximum number of connections that are served at the same time. A tenth
	// more, and at least minRefusedConns, is accepted only to be refused with status 429.
	Conns int
	// HeaderTimeout bounds the time from the first byte of a request to the end of its
	// headers, and the TLS handshake.
	HeaderTimeout time.Duration
	// HeaderBytes bounds the request line and the headers; net/http allows 4 KB more and
	// answers larger ones with status 431.
	HeaderBytes int
	// BodyBytes bounds a request body.
	BodyBytes int64
	// BodyTimeout bounds the time spent waiting for a body. It is extended by one second for
	// each minBodyRate bytes received.
	BodyTimeout time.Duration
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout time.Duration
}

const (
	minRefusedConns = 16
	// minBodyRate keeps a caller that sends single bytes from holding a connection for long.
	minBodyRate = 1 << 10 // bytes per second
	// connRetryAfter is the retry delay in the refusal of a connection beyond the limit.
	connRetryAfter = time.Second
)

// Server returns a server for the handler with these limits. Its method Serve has to be called
// with a listener that Listen returned.
func (l Limits) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           l.handler(handler),
		ReadHeaderTimeout: l.HeaderTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
		IdleTimeout:       l.IdleTimeout,
		ConnContext:       markOverLimit,
	}
}

// Listen limits the connections of a listener. Some connections beyond Conns are accepted so that
// the server can refuse their first request with status 429; any others are closed at once.
func (l Limits) Listen(inner net.Listener) net.Listener {
	return &limitedListener{Listener: inner, maxServed: l.Conns, maxAccepted: l.Conns + max(l.Conns/10, minRefusedConns)}
}

func (l Limits) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			whole := r
			var body *limitedBody
			r, body = limitBody(w, r, l)
			defer func() {
				if !body.ended.Load() && !body.http2 {
					callerlimit.DrainBody(w, whole)
				}
			}()
		}
		switch {
		case r.Context().Value(overLimitKey{}) != nil || r.Context().Err() != nil:
			w.Header().Set("Connection", "close")
			refusal.QueueFull.Write(w, requestID(r), refusal.RunNo, "all connections are in use", connRetryAfter)
		case r.ContentLength > l.BodyBytes:
			refusal.BodyTooLarge.Write(w, requestID(r), refusal.RunNo, (&BodyTooLargeError{Limit: l.BodyBytes}).Error(), 0)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// overLimitKey is the context key of requests on connections beyond the limit.
type overLimitKey struct{}

func markOverLimit(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if l, ok := c.(*limitedConn); ok && l.overLimit {
		return context.WithValue(ctx, overLimitKey{}, true)
	}
	return ctx
}

// limitedListener limits the number of open connections.
type limitedListener struct {
	net.Listener
	maxServed, maxAccepted int

	mu   sync.Mutex
	open int
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		if l.open < l.maxAccepted {
			l.open++
			overLimit := l.open > l.maxServed
			l.mu.Unlock()
			return &limitedConn{Conn: c, listener: l, overLimit: overLimit}, nil
		}
		l.mu.Unlock()
		_ = c.Close()
	}
}

// limitedConn is a connection that its listener counts until it is closed.
type limitedConn struct {
	net.Conn
	listener  *limitedListener
	overLimit bool
	closeOnce sync.Once
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.open--
	})
	return err
}
