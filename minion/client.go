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
	// maxIdlePerMinion keeps the idle connections of ten entry hosts and the connections
	// of the 8 slots in use below the 64 connections that a minion accepts.
	maxIdlePerMinion  = 5
	maxConnsPerMinion = 64
	// maxNonIdempotentIdle is the longest idle time after which a connection is still
	// used for a non-idempotent request.
	maxNonIdempotentIdle = 30 * time.Second
	idleTimeout          = 60 * time.Second
	dialTimeout          = time.Second

	// continueTimeout is how long a request with Expect: 100-continue waits for the
	// minion's 100 response before it sends the body; not every server sends one.
	continueTimeout        = time.Second
	maxResponseHeaderBytes = 256 << 10

	// The network path is checked when no byte was sent or received for quietLimitFactor
	// times the service's p99, and at least minQuietLimit; then after each pathCheckInterval.
	minQuietLimit     = time.Second
	quietLimitFactor  = 4
	pathCheckInterval = time.Second
)

// Client sends requests to minions over pooled connections. It is safe for concurrent use.
type Client struct {
	mu        sync.Mutex
	pools     map[netip.AddrPort]*pool
	latencies map[string]*latency
	closed    bool

	// Tests replace these functions by fakes or mutants.
	now            func() time.Time
	dial           func(ctx context.Context, network, address string) (net.Conn, error)
	redial         func(*conn) (net.Conn, error)
	stopWrites     func(*conn) bool
	onTruncated    func(*TruncatedError) error
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
		latencies:      make(map[string]*latency),
		now:            time.Now,
		dial:           dialer.DialContext,
		redial:         func(*conn) (net.Conn, error) { return nil, errNotReusable },
		stopWrites:     (*conn).stopWrites,
		onTruncated:    func(err *TruncatedError) error { return err },
		readable:       isReadable,
		unacknowledged: isUnacknowledged,
	}
}

// Do sends a request of an unnamed service.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, req *http.Request) (*http.Response, error) {
	return c.Send(ctx, "", address, req)
}

// Send sends req to the minion at address and returns its final response with an open
// body, which the caller must read to its end or close. Hop-by-hop headers are removed in
// both directions; trailers are passed on; informational responses are
// passed only to a Got1xxResponse hook in ctx. A request is never sent twice; it moves to
// another connection only if no byte of it was written and its body was not read.
//
// The error is a NotSentError, a MayHaveRunError or a LeavingError. The choice between
// the first two depends on whether the kernel accepted bytes of this request.
func (c *Client) Send(ctx context.Context, service string, address netip.AddrPort, req *http.Request) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Address: address, Err: err}
	}
	responseTimes := c.latencyOf(service)
	quietLimit := max(minQuietLimit, quietLimitFactor*responseTimes.p99())
	outReq := outgoingRequest(ctx, req, address.String())
	for {
		cn, fresh, err := c.acquire(ctx, address, isIdempotent(req.Method), quietLimit)
		if err != nil {
			return nil, &NotSentError{Address: address, Err: err}
		}
		start := c.now()
		body := newRequestBody(req)
		outReq.Body = http.NoBody
		if body != nil {
			outReq.Body = body
		}
		resp, err := cn.transport.RoundTrip(outReq)
		if err == nil {
			responseTimes.record(c.now().Sub(start))
			return c.accept(cn, body, resp)
		}
		mayHaveRun := c.stopWrites(cn)
		cause := body.err(cn.fail(err))
		if mayHaveRun {
			return nil, &MayHaveRunError{Address: address, Err: cause}
		}
		if fresh || ctx.Err() != nil || !body.revoke() {
			return nil, &NotSentError{Address: address, Err: cause}
		}
		// The previous transport may still access its request, so the next one gets a copy.
		outReq = outReq.WithContext(ctx)
	}
}

// accept checks the status and headers of a response. It rejects a body that is delimited
// only by the end of the connection, because a crash of the minion would look the same.
func (c *Client) accept(cn *conn, reqBody *requestBody, resp *http.Response) (*http.Response, error) {
	reason := ""
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		reason = "the minion switched protocols without being asked"
	case resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		reason = "the response has neither a length nor chunks"
	}
	if reason != "" {
		cause := cn.fail(&ProtocolError{Reason: reason})
		_ = resp.Body.Close()
		return nil, &MayHaveRunError{Address: cn.address, Err: cause}
	}
	removeHopHeaders(resp.Header)
	if resp.Body == http.NoBody {
		cn.endExchange(!resp.Close && reqBody.fullyRead())
	} else {
		resp.Body = &responseBody{ReadCloser: resp.Body, conn: cn, request: reqBody, reusable: !resp.Close}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && hasConnectionClose(resp) {
		return nil, &LeavingError{Address: cn.address, Response: resp}
	}
	return resp, nil
}

func (c *Client) latencyOf(name string) *latency {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.latencies[name]
	if l == nil {
		l = &latency{}
		c.latencies[name] = l
	}
	return l
}

// Close closes the idle connections; those in use are closed when their exchange ends.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	var idle []*conn
	for _, p := range c.pools {
		idle = append(idle, p.idle...)
	}
	c.mu.Unlock()
	for _, cn := range idle {
		if c.takeIdle(cn) {
			cn.fail(errNotReusable)
		}
	}
}
