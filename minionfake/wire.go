package minionfake

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// strayResponse is a complete response that answers no request.
const strayResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"

// Listen wraps a listener to inject connection faults: those of the behaviour, and those that
// SendStrayResponse, DropTraffic and DropNewTraffic cause when a test calls them.
func (m *Minion) Listen(l net.Listener) net.Listener {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listener = l
	return &listener{Listener: l, minion: m}
}

// Accepted returns the number of connections that the minion accepted.
func (m *Minion) Accepted() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepted
}

// OpenConnections returns the number of accepted connections that the minion has not closed. A
// connection that the peer closed counts until the server notices it.
func (m *Minion) OpenConnections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.conns)
}

// SendStrayResponse sends an unsolicited response on each open connection.
func (m *Minion) SendStrayResponse() error {
	return m.forEachConn(func(c net.Conn) error {
		_, err := c.Write([]byte(strayResponse))
		return err
	})
}

// DropTraffic makes the kernel drop all segments that arrive on the open connections, so that it
// acknowledges nothing. New connections still work.
func (m *Minion) DropTraffic() error {
	return m.forEachConn(func(c net.Conn) error { return dropIncoming(c) })
}

// DropNewTraffic makes new connection attempts time out without an answer.
func (m *Minion) DropNewTraffic() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return dropIncoming(m.listener)
}

func (m *Minion) forEachConn(do func(net.Conn) error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		if err := do(c.Conn); err != nil {
			return err
		}
	}
	return nil
}

// dropIncoming attaches a socket filter that accepts 0 bytes of each segment. The kernel applies
// it before TCP processes the segment.
func dropIncoming(socket any) error {
	raw, err := socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var sockoptErr error
	err = raw.Control(func(fd uintptr) {
		dropFilter := [1]unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		sockoptErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: 1, Filter: &dropFilter[0]})
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

type listener struct {
	net.Listener
	minion *Minion
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		wrapped := &conn{Conn: c, minion: l.minion}
		if !l.minion.add(wrapped) {
			return wrapped, nil
		}
	}
}

// add registers a connection and reports whether it stays half-open: accepted but not served.
func (m *Minion) add(c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted++
	m.conns[c] = struct{}{}
	return m.behaviour.HalfOpen
}

type conn struct {
	net.Conn
	minion *Minion
}

// Write applies the connection faults of the current behaviour to the server's responses.
func (c *conn) Write(p []byte) (int, error) {
	c.minion.mu.Lock()
	b := c.minion.behaviour
	c.minion.mu.Unlock()
	switch {
	case b.Cut:
		_, _ = c.Conn.Write(p[:min(b.CutAfter, len(p))])
		_ = c.Close()
		return 0, net.ErrClosed
	case b.Crossed:
		_, err := c.Conn.Write(append(append([]byte(nil), p...), strayResponse...))
		return len(p), err
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.minion.mu.Lock()
	delete(c.minion.conns, c)
	c.minion.mu.Unlock()
	return c.Conn.Close()
}
