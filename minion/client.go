// Package minion sends requests to minions and relays their responses.
package minion

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// idlePerMinion keeps the idle connections of ten entry hosts, plus the 8 slots in
	// use, below the 64 connections of a minion.
	idlePerMinion  = 5
	connsPerMinion = 64
	// reuseAge is the longest idle time after which a connection still takes a
	// non-idempotent request.
	reuseAge    = 30 * time.Second
	idleTimeout = 60 * time.Second
	dialTimeout = time.Second

	// continueTimeout is how long a body with Expect: 100-continue waits for the
	// minion's word; not every server sends one.
	continueTimeout     = time.Second
	responseHeaderBytes = 256 << 10

	// A path is checked when nothing came for silentFactor times the service's p99, and
	// for at least silentMinimum; then again after each checkInterval.
	silentMinimum = time.Second
	silentFactor  = 4
	checkInterval = time.Second
)

// Client sends requests to minions over pooled connections. It is safe for concurrent use.
type Client struct {
	mu       sync.Mutex
	pools    map[netip.AddrPort]*pool
	services map[string]*latency
	probes   int
	stopped  bool

	// Seams: tests replace them by recorded or deliberately broken variants.
	now            func() time.Time
	dial           func(ctx context.Context, network, address string) (net.Conn, error)
	redial         func(*conn) (net.Conn, error)
	sent           func(*conn) bool
	brokenOff      func(*TruncatedError) error
	readable       func(*conn) bool
	unacknowledged func(*conn, time.Duration) bool
}

// New returns a client without open connections.
func New() *Client {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
	}
	return &Client{
		pools:          make(map[netip.AddrPort]*pool),
		services:       make(map[string]*latency),
		now:            time.Now,
		dial:           dialer.DialContext,
		redial:         func(*conn) (net.Conn, error) { return nil, errSpent },
		sent:           (*conn).seal,
		brokenOff:      func(err *TruncatedError) error { return err },
		readable:       isReadable,
		unacknowledged: isUnacknowledged,
	}
}

// Do sends a request of an unnamed service.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, req *http.Request) (*http.Response, error) {
	return c.Send(ctx, "", address, req)
}

// Send sends req to the minion at address and returns its final response with an open
// body, which the caller reads to its end or closes. Hop-by-hop headers are removed in
// both directions; trailers are passed on; informational responses reach only a
// Got1xxResponse hook in ctx. The request is never repeated; it moves to another
// connection only while not one byte of it was written and its body was not read.
//
// The error is a NotSentError, a MayHaveRunError or a LeavingError. The decision between
// the first two rests on the bytes that the kernel accepted for this request.
func (c *Client) Send(ctx context.Context, service string, address netip.AddrPort, req *http.Request) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Address: address, Err: err}
	}
	times := c.service(service)
	limit := max(silentMinimum, silentFactor*times.p99())
	out := outgoing(ctx, req, address.String())
	for {
		n, fresh, err := c.acquire(ctx, address, isIdempotent(req.Method), limit)
		if err != nil {
			return nil, &NotSentError{Address: address, Err: err}
		}
		start := c.now()
		body := newRequestBody(req)
		out.Body = http.NoBody
		if body != nil {
			out.Body = body
		}
		resp, err := n.transport.RoundTrip(out)
		if err == nil {
			times.record(c.now().Sub(start))
			return c.accept(n, body, resp)
		}
		sent := c.sent(n)
		cause := body.err(n.fail(err))
		if sent {
			return nil, &MayHaveRunError{Address: address, Err: cause}
		}
		if fresh || ctx.Err() != nil || !body.revoke() {
			return nil, &NotSentError{Address: address, Err: cause}
		}
		// The last transport may still look at its request.
		out = out.WithContext(ctx)
	}
}

// accept checks the head of a response. A body that only the end of the connection
// delimits is not accepted, because a crash of the minion would look the same.
func (c *Client) accept(n *conn, sent *requestBody, resp *http.Response) (*http.Response, error) {
	reason := ""
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		reason = "the minion switched protocols without being asked"
	case resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		reason = "the response has neither a length nor chunks"
	}
	if reason != "" {
		cause := n.fail(&ProtocolError{Reason: reason})
		_ = resp.Body.Close()
		return nil, &MayHaveRunError{Address: n.address, Err: cause}
	}
	removeHopHeaders(resp.Header)
	if resp.Body == http.NoBody {
		n.end(!resp.Close && sent.whole())
	} else {
		resp.Body = &responseBody{ReadCloser: resp.Body, conn: n, sent: sent, reuse: !resp.Close}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && saysClose(resp) {
		return nil, &LeavingError{Address: n.address, Response: resp}
	}
	return resp, nil
}

func (c *Client) service(name string) *latency {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.services[name]
	if l == nil {
		l = &latency{}
		c.services[name] = l
	}
	return l
}

// Close drops the idle connections; those in use are dropped when their exchange ends.
func (c *Client) Close() {
	c.mu.Lock()
	c.stopped = true
	var idle []*conn
	for _, p := range c.pools {
		idle = append(idle, p.idle...)
	}
	c.mu.Unlock()
	for _, n := range idle {
		if c.takeIdle(n) {
			n.fail(errSpent)
		}
	}
}
