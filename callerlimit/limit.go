// Package callerlimit bounds the connections of callers, so that they leave descriptors and
// memory to the work of the host.
package callerlimit

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Limit bounds the connections of one http.Server. It is safe for concurrent use.
type Limit struct {
	// Most is the number of connections that are served. Requests on those beyond it go to
	// Refuse, and their connections are closed.
	Most   int64
	Refuse http.Handler

	open atomic.Int64
}

// beyond marks the context of a connection that came when all places were taken.
type beyond struct{}

// Set makes the server use the limit.
func (l *Limit) Set(s *http.Server) {
	next := s.Handler
	s.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		if l.open.Add(1) > l.Most {
			return context.WithValue(ctx, beyond{}, true)
		}
		return ctx
	}
	s.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed || state == http.StateHijacked {
			l.open.Add(-1)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(beyond{}) == nil {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		l.Refuse.ServeHTTP(w, r)
	})
}

// Open returns the number of open connections.
func (l *Limit) Open() int64 { return l.open.Load() }
