// Package minion sends requests to minions and relays their answers.
package minion

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	// idlePerMinion keeps the idle connections of ten entry hosts, plus the 8 slots in
	// use, below the 64 connections of a minion.
	idlePerMinion = 5
	idleTimeout   = 30 * time.Second
	dialTimeout   = time.Second
)

// Client sends requests to minions over pooled connections. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// New returns a client without open connections.
func New() *Client {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
	}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerMinion,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Do sends req to the minion at address and returns its response with an open body.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, req *http.Request) (*http.Response, error) {
	out := req.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = address.String()
	out.RequestURI = ""
	resp, err := c.transport.RoundTrip(out)
	if err != nil {
		return nil, &SendError{Address: address, Err: err}
	}
	return resp, nil
}

// Close drops the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
