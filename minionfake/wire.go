package minionfake

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// strayResponse is a complete response that answers no request.
const strayResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"

// Listen adds the connection faults to a listener: half-open, cut and crossed answers,
// and those that Stray and Silence cause at a moment of the test's choice.
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

// Open returns the number of accepted connections that the minion did not close and, as
// far as its server noticed, the other side did not either.
func (m *Minion) Open() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.conns)
}

// Stray sends a response that nobody asked for on each open connection.
func (m *Minion) Stray() error {
	return m.each(func(c net.Conn) error {
		_, err := c.Write([]byte(strayResponse))
		return err
	})
}

// Silence makes the paths of all open connections silent: the kernel drops what arrives
// on them, and so acknowledges nothing. New connections still work.
func (m *Minion) Silence() error { return m.each(func(c net.Conn) error { return dropAll(c) }) }

// SilenceNew makes new connections fail without an answer.
func (m *Minion) SilenceNew() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return dropAll(m.listener)
}

func (m *Minion) each(do func(net.Conn) error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		if err := do(c.Conn); err != nil {
			return err
		}
	}
	return nil
}

// dropAll attaches a socket filter that accepts 0 bytes of each segment. The kernel runs
// it before TCP sees the segment.
func dropAll(socket any) error {
	raw, err := socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		reject := [1]unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		failure = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: 1, Filter: &reject[0]})
	})
	if err != nil {
		return err
	}
	return failure
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

// add registers a connection and tells whether it stays half-open: accepted, not served.
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

// Write sends the server's bytes with the connection faults of the current behaviour.
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
