package minion

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

var (
	errSpent  = &ProtocolError{Reason: "the connection of this transport is used up"}
	errSealed = &ProtocolError{Reason: "the outcome of the request was already reported"}
	errStale  = &ProtocolError{Reason: "the connection was closed or had unsolicited bytes before the request"}
)

// conn is one connection to a minion with an http.Transport of its own. The transport is
// given this connection once and never another, so it has no way to repeat a request.
//
// Outside an exchange, and until the first byte of a request is written, Read does not
// touch the socket. Bytes that arrive in that time stay in the kernel, where the first
// Write finds them and gives the connection up with nothing written. When Read is called
// after the end of a response, the transport's buffer is empty, so the connection carries
// no rest of an earlier response; only then is it used again.
type conn struct {
	net.Conn
	client    *Client
	address   netip.AddrPort
	raw       syscall.RawConn
	socket    socket
	transport *http.Transport
	timer     *time.Timer

	mu       sync.Mutex
	changed  *sync.Cond
	dialed   bool // the transport took the connection
	busy     bool // an exchange is going on
	exchange uint64
	gateOpen bool // Read may touch the socket
	gated    bool // a Read waits at the gate
	reading  bool // a Read is in the kernel
	recalled bool // a read deadline in the past is set
	writing  bool
	written  int64 // bytes of this exchange
	sealed   bool  // no further byte may be written
	deaf     bool  // a write failed; the rest of the request is discarded
	closed   bool
	cause    error
	limit    time.Duration // how long the exchange may be quiet before its path is checked
	progress time.Time     // last byte in or out, or the end of the last exchange
}

func newConn(c *Client, address netip.AddrPort, tcp *net.TCPConn) (*conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	n := &conn{Conn: tcp, client: c, address: address, raw: raw, progress: c.now()}
	n.changed = sync.NewCond(&n.mu)
	n.socket.init()
	n.transport = &http.Transport{
		DialContext:            func(context.Context, string, string) (net.Conn, error) { return n.handOver() },
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: responseHeaderBytes,
	}
	n.timer = time.AfterFunc(idleTimeout, n.check)
	return n, nil
}

func (c *conn) handOver() (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dialed {
		return c.client.redial(c)
	}
	c.dialed = true
	return c, nil
}

// begin starts an exchange. It waits until the transport has settled after the last one,
// which net/http limits to 50 ms.
func (c *conn) begin(limit time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.dialed && !c.gated && !c.closed {
		c.changed.Wait()
	}
	if c.closed {
		return false
	}
	c.busy, c.written, c.limit, c.progress = true, 0, limit, c.client.now()
	c.exchange++
	c.timer.Reset(limit)
	return true
}

// end finishes an exchange whose response was read completely.
func (c *conn) end(reuse bool) {
	c.mu.Lock()
	reuse = reuse && !c.deaf && !c.closed
	c.busy, c.gateOpen, c.progress = false, false, c.client.now()
	if c.reading {
		// The transport already waits for a next response: call it back to the gate.
		c.recalled = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if !reuse {
		c.fail(errSpent)
		return
	}
	c.timer.Reset(idleTimeout)
	c.client.putIdle(c)
}

// seal forbids further writes and tells whether any byte can have reached the minion. A
// write in progress counts as sent. Without the seal, the transport could still write the
// request after it was reported as not sent.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writing || c.written > 0
}

// fail closes the connection and returns the first cause of its failure.
func (c *conn) fail(cause error) error { return c.shut(cause, 0) }

// shut closes the socket once and frees its place in the pool afterwards. With a number
// other than 0, it does so only while the exchange of that number goes on, so that a late
// verdict on its path does not hit the next request.
func (c *conn) shut(cause error, exchange uint64) error {
	c.mu.Lock()
	if exchange != 0 && (!c.busy || c.exchange != exchange) {
		c.mu.Unlock()
		return nil
	}
	if c.cause == nil {
		c.cause = cause
	}
	cause = c.cause
	first := !c.closed
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	if first {
		c.timer.Stop()
		_ = c.Conn.Close()
		c.client.remove(c)
	}
	return cause
}

// Close leaves the cause open: the transport closes before it reports its error.
func (c *conn) Close() error { return c.shut(nil, 0) }

func (c *conn) Read(p []byte) (int, error) {
	for {
		if !c.passGate() {
			return 0, net.ErrClosed
		}
		n, err := c.Conn.Read(p)
		if errors.Is(err, syscall.ETIMEDOUT) {
			// The kernel gave the path up before the check did.
			return 0, c.fail(&SilentError{MinionFailed: !c.client.probe(c.address)})
		}
		c.mu.Lock()
		c.reading = false
		if c.gateOpen {
			c.progress = c.client.now()
			c.mu.Unlock()
			return n, err
		}
		stray := n > 0 || !isTimeout(err)
		c.mu.Unlock()
		if stray {
			return 0, c.fail(errStale)
		}
	}
}

func (c *conn) passGate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.gateOpen && !c.closed {
		c.gated = true
		c.changed.Broadcast()
		c.changed.Wait()
	}
	c.gated = false
	c.reading = !c.closed
	return !c.closed
}

// Write counts what the kernel accepted. After a failed write the rest of the request is
// discarded without an error, so that an early response that the minion sent before it
// closed the connection is still read; without one, the read fails.
func (c *conn) Write(p []byte) (int, error) {
	first, discard, err := c.startWrite()
	if err != nil || discard {
		return len(p), err
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.written += int64(n)
	c.progress = c.client.now()
	if first {
		c.openGate()
	}
	if err != nil && c.written > 0 && !c.closed {
		c.deaf = true
		return len(p), nil
	}
	return n, err
}

// openGate lets Read touch the socket. c.mu is held.
func (c *conn) openGate() {
	if c.recalled {
		c.recalled = false
		_ = c.SetReadDeadline(time.Time{})
	}
	c.gateOpen = true
	c.changed.Broadcast()
}

func (c *conn) startWrite() (first, discard bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.sealed || !c.busy:
		return false, false, errSealed
	case c.deaf:
		return false, true, nil
	}
	first = c.written == 0
	if first && c.client.readable(c) {
		return false, false, errStale
	}
	c.writing = true
	return first, false, nil
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}
