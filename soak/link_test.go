package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// direction is one of the two ways of a link.
type direction int

const (
	towardsTarget direction = iota
	towardsSource
	directions
)

// link is a TCP proxy on loopback between a source and a target. It delays, holds back, cuts
// or silences what passes. Bytes that are held back are delivered once the direction is open
// again, so orders may arrive after their sender has given up.
type link struct {
	name     string
	target   netip.AddrPort
	listener net.Listener
	ended    chan struct{}
	// sent, if set, is called with what goes to the target.
	sent func(target netip.AddrPort, b []byte)

	mu sync.Mutex
	// faults are those in force; they add up.
	faults  map[*linkFault]bool
	changed chan struct{}
	conns   map[*linkConn]struct{}
	pumps   sync.WaitGroup
	closed  bool
}

// linkFault is what a link does to its connections.
type linkFault struct {
	delay  time.Duration
	refuse bool
	held   [directions]bool
	// reset and silence are done once, to the connections that are open.
	reset, silence bool
}

// linkConn is one connection through a link.
type linkConn struct {
	ends   [directions]*net.TCPConn // by the direction that is written to them
	silent bool                     // under the lock of the link
	gone   chan struct{}
	once   sync.Once
}

func newLink(name string, target netip.AddrPort, sent func(netip.AddrPort, []byte)) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &link{
		name: name, target: target, listener: l, sent: sent, ended: make(chan struct{}), changed: make(chan struct{}),
		conns: make(map[*linkConn]struct{}), faults: make(map[*linkFault]bool),
	}
	go p.accept()
	return p, nil
}

func (l *link) address() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

func (l *link) accept() {
	defer close(l.ended)
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		refused := l.effect().refuse || l.closed
		if !refused {
			l.pumps.Add(1)
		}
		l.mu.Unlock()
		if refused {
			reset(conn.(*net.TCPConn))
			continue
		}
		go l.serve(conn.(*net.TCPConn))
	}
}

// serve connects to the target and carries bytes both ways until either side ends.
func (l *link) serve(source *net.TCPConn) {
	defer l.pumps.Done()
	conn, err := net.DialTimeout("tcp", l.target.String(), time.Second)
	if err != nil {
		reset(source)
		return
	}
	c := &linkConn{gone: make(chan struct{})}
	c.ends[towardsTarget], c.ends[towardsSource] = conn.(*net.TCPConn), source
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	done := make(chan struct{})
	go func() { defer close(done); l.pump(c, towardsTarget) }()
	l.pump(c, towardsSource)
	<-done
	c.end(false)
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// pump carries the bytes of one direction. At the end of the input, it closes both ends.
func (l *link) pump(c *linkConn, d direction) {
	defer c.end(false)
	buf := make([]byte, 64<<10)
	for {
		n, err := c.ends[1-d].Read(buf)
		if n > 0 && l.pass(c, d) {
			if d == towardsTarget && l.sent != nil {
				l.sent(l.target, buf[:n])
			}
			if _, err := c.ends[d].Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits until bytes may pass. It reports false if they are to be dropped.
func (l *link) pass(c *linkConn, d direction) bool {
	l.mu.Lock()
	delay, silent := l.effect().delay, c.silent
	l.mu.Unlock()
	if delay > 0 && !silent {
		sleep(context.Background(), delay)
	}
	for {
		l.mu.Lock()
		held, silent, changed := l.effect().held[d], c.silent, l.changed
		l.mu.Unlock()
		if silent {
			return false
		}
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-c.gone:
			return false
		}
	}
}

// set changes the state of the link under its lock and wakes what waits for a change.
func (l *link) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.changed)
	l.changed = make(chan struct{})
}

// effect returns the sum of the faults in force. The lock must be held.
func (l *link) effect() (sum linkFault) {
	for f := range l.faults {
		sum.delay += f.delay
		sum.refuse = sum.refuse || f.refuse
		for d := range sum.held {
			sum.held[d] = sum.held[d] || f.held[d]
		}
	}
	return sum
}

// add puts a fault in force until remove is called.
func (l *link) add(f *linkFault) {
	l.set(func() {
		l.faults[f] = true
		for c := range l.conns {
			c.silent = c.silent || f.silence
			if f.reset {
				c.end(true)
			}
		}
	})
}

func (l *link) remove(f *linkFault) { l.set(func() { delete(l.faults, f) }) }

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.listener.Close()
	<-l.ended
	l.add(&linkFault{reset: true})
	l.pumps.Wait()
}

// end closes both ends, with a reset if abrupt is set.
func (c *linkConn) end(abrupt bool) {
	c.once.Do(func() {
		close(c.gone)
		for _, conn := range c.ends {
			if abrupt {
				reset(conn)
			} else {
				_ = conn.Close()
			}
		}
	})
}

// reset closes a connection so that the other side gets a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// sleep waits for d; it reports false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// isEnd reports whether an error means that the other side closed or reset the connection.
func isEnd(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op) && op.Op != "dial"
}
