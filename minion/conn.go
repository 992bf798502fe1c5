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
	errNotReusable     = &ProtocolError{Reason: "the connection of this transport is used up"}
	errOutcomeReported = &ProtocolError{Reason: "the outcome of the request was already reported"}
	errStale           = &ProtocolError{Reason: "the connection was closed or had unsolicited bytes before the request"}
)

// conn is one connection to a minion with its own http.Transport. The transport gets this
// connection once and never another one, so it cannot repeat a request.
//
// Outside an exchange, and until the first byte of a request is written, Read does not read
// the socket. Bytes that arrive in that time stay in the kernel, where the first Write
// detects them and fails without writing anything. When the transport calls Read after the
// end of a response, its buffer is empty, so no bytes of an earlier response are left; the
// connection is reused only then.
type conn struct {
	net.Conn
	client    *Client
	address   netip.AddrPort
	raw       syscall.RawConn
	socket    socket
	transport *http.Transport
	timer     *time.Timer

	mu              sync.Mutex
	stateChanged    *sync.Cond
	dialed          bool // the transport has obtained this connection
	inExchange      bool // a request is being sent or its response read
	exchangeID      uint64
	readsAllowed    bool // Read may read the socket
	readBlocked     bool // a Read waits for readsAllowed
	readInKernel    bool // a Read of the socket is in progress
	readInterrupted bool // a read deadline in the past is set to interrupt Read
	writing         bool
	written         int64 // bytes written in this exchange
	writesStopped   bool  // no more bytes may be written
	discardWrites   bool  // a write failed; the rest of the request is discarded
	closed          bool
	cause           error
	quietLimit      time.Duration // time without a byte in or out after which the path is checked
	lastProgress    time.Time     // last byte in or out, or the end of the last exchange
}

func newConn(c *Client, address netip.AddrPort, tcp *net.TCPConn) (*conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: tcp, client: c, address: address, raw: raw, lastProgress: c.now()}
	cn.stateChanged = sync.NewCond(&cn.mu)
	cn.socket.init()
	cn.transport = &http.Transport{
		DialContext:            func(context.Context, string, string) (net.Conn, error) { return cn.dialOnce() },
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	cn.timer = time.AfterFunc(idleTimeout, cn.onTimer)
	return cn, nil
}

func (c *conn) dialOnce() (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dialed {
		return c.client.redial(c)
	}
	c.dialed = true
	return c, nil
}

// beginExchange starts an exchange. It first waits until the transport has finished the
// previous one, for which net/http needs at most 50 ms.
func (c *conn) beginExchange(quietLimit time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.dialed && !c.readBlocked && !c.closed {
		c.stateChanged.Wait()
	}
	if c.closed {
		return false
	}
	c.inExchange, c.written, c.quietLimit, c.lastProgress = true, 0, quietLimit, c.client.now()
	c.exchangeID++
	c.timer.Reset(quietLimit)
	return true
}

// endExchange ends an exchange whose response was read completely.
func (c *conn) endExchange(reusable bool) {
	c.mu.Lock()
	reusable = reusable && !c.discardWrites && !c.closed
	c.inExchange, c.readsAllowed, c.lastProgress = false, false, c.client.now()
	if c.readInKernel {
		// The transport already reads the socket for the next response: interrupt this read.
		c.readInterrupted = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if !reusable {
		c.fail(errNotReusable)
		return
	}
	c.timer.Reset(idleTimeout)
	c.client.putIdle(c)
}

// stopWrites forbids further writes and reports whether any byte may have reached the minion.
// A write in progress counts as sent. If writes were still allowed, the transport could write
// the request after it was reported as not sent.
func (c *conn) stopWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesStopped = true
	return c.writing || c.written > 0
}

// fail closes the connection and returns the first cause of its failure.
func (c *conn) fail(cause error) error { return c.closeWith(cause, 0) }

// closeWith closes the socket once, and then removes the connection from the pool. If
// exchangeID is not 0, it does so only while that exchange is in progress, so that a late
// result of a path check does not interrupt the next request.
func (c *conn) closeWith(cause error, exchangeID uint64) error {
	c.mu.Lock()
	if exchangeID != 0 && (!c.inExchange || c.exchangeID != exchangeID) {
		c.mu.Unlock()
		return nil
	}
	if c.cause == nil {
		c.cause = cause
	}
	cause = c.cause
	first := !c.closed
	c.closed = true
	c.stateChanged.Broadcast()
	c.mu.Unlock()
	if first {
		c.timer.Stop()
		_ = c.Conn.Close()
		c.client.remove(c)
	}
	return cause
}

// Close sets no cause: the transport closes the connection before it reports its error.
func (c *conn) Close() error { return c.closeWith(nil, 0) }

func (c *conn) Read(p []byte) (int, error) {
	for {
		if !c.awaitReadsAllowed() {
			return 0, net.ErrClosed
		}
		n, err := c.Conn.Read(p)
		if errors.Is(err, syscall.ETIMEDOUT) {
			// The kernel timed out before the path check closed the connection.
			return 0, c.fail(&UnresponsiveError{MinionFailed: !c.client.probe(c.address)})
		}
		c.mu.Lock()
		c.readInKernel = false
		if c.readsAllowed {
			c.lastProgress = c.client.now()
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

func (c *conn) awaitReadsAllowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.readsAllowed && !c.closed {
		c.readBlocked = true
		c.stateChanged.Broadcast()
		c.stateChanged.Wait()
	}
	c.readBlocked = false
	c.readInKernel = !c.closed
	return !c.closed
}

// Write counts the bytes that the kernel accepted. After a failed write the rest of the request
// is discarded without an error, so that a response that the minion sent before it closed the
// connection can still be read; if there is none, the read fails.
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
	c.lastProgress = c.client.now()
	if first {
		c.allowReads()
	}
	if err != nil && c.written > 0 && !c.closed {
		c.discardWrites = true
		return len(p), nil
	}
	return n, err
}

// allowReads lets Read read the socket. The caller holds c.mu.
func (c *conn) allowReads() {
	if c.readInterrupted {
		c.readInterrupted = false
		_ = c.SetReadDeadline(time.Time{})
	}
	c.readsAllowed = true
	c.stateChanged.Broadcast()
}

func (c *conn) startWrite() (first, discard bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.writesStopped || !c.inExchange:
		return false, false, errOutcomeReported
	case c.discardWrites:
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
