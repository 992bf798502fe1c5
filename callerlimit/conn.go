package callerlimit

import (
	"bytes"
	"io"
	"net"
	"time"
)

// smallHead is the size, in bytes, up to which heads that arrive are not limited. The fields of
// a head take up to 17 times their text.
const smallHead = 1 << 10

// Listen returns a listener whose connections are watched while request heads arrive.
func (l *Limit) Listen(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limit *Limit
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: c, limit: l.limit}, nil
}

type watchedConn struct {
	net.Conn
	limit *Limit
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.limit.read(c, p[:n])
	}
	return n, err
}

// headEnd ends a head. What follows it in the same read does not belong to the head.
var headEnd = []byte("\r\n\r\n")

// read notes what has arrived.
func (l *Limit) read(c net.Conn, part []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.conns[c]
	if s == nil || s.phase == working {
		return
	}
	s.since = time.Now()
	if s.phase == Body {
		return
	}
	s.phase = Head
	s.headBytes += len(part)
	if s.large || s.headBytes <= smallHead || l.MaxHeads == 0 || bytes.Contains(part, headEnd) {
		return
	}
	if l.heads >= l.MaxHeads {
		l.closeOldestHead()
	}
	s.large = true
	l.heads++
}

// closeOldestHead closes the connection with the large head that has been quiet the longest. The
// lock must be held.
func (l *Limit) closeOldestHead() {
	var oldest *state
	for _, s := range l.conns {
		if s.large && (oldest == nil || s.since.Before(oldest.since)) {
			oldest = s
		}
	}
	if oldest != nil {
		l.close(oldest)
	}
}

// trackedBody tells when a body is awaited and when parts of it arrive.
type trackedBody struct {
	io.ReadCloser
	awaited func()
	arrived func(ended bool)
	// begun is set by the first read.
	begun, ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		b.awaited()
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	if n > 0 || b.ended {
		b.arrived(b.ended)
	}
	return n, err
}
