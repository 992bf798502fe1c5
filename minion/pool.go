package minion

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"
)

// pool holds the connections to one minion. Client.mu guards it.
type pool struct {
	connCount int     // connections open or being opened, including probes
	idle      []*conn // sorted by last use, the most recent one last
	probe     *probe
}

func (c *Client) pool(address netip.AddrPort) *pool {
	p := c.pools[address]
	if p == nil {
		p = &pool{}
		c.pools[address] = p
	}
	return p
}

// acquire returns a connection on which an exchange was started. fresh reports whether it is
// the first one on this connection. Unless the method is idempotent, a connection that was idle
// for too long is closed, because the minion may be closing it and the request would be lost.
func (c *Client) acquire(ctx context.Context, address netip.AddrPort, idempotent bool, quietLimit time.Duration) (cn *conn, fresh bool, err error) {
	for {
		cn, err := c.takeIdleOrReserve(address)
		if err != nil {
			return nil, false, err
		}
		if cn == nil {
			break
		}
		if !idempotent && c.now().Sub(cn.lastUse()) > maxNonIdempotentIdle {
			cn.fail(errNotReusable)
			continue
		}
		if cn.beginExchange(quietLimit) {
			return cn, false, nil
		}
	}
	cn, err = c.openConn(ctx, address)
	if err != nil {
		return nil, true, err
	}
	cn.beginExchange(quietLimit)
	return cn, true, nil
}

// takeIdleOrReserve removes and returns the most recently used idle connection. If there is
// none, it returns nil and counts a connection that the caller opens.
func (c *Client) takeIdleOrReserve(address netip.AddrPort) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(address)
	if last := len(p.idle) - 1; last >= 0 {
		cn := p.idle[last]
		p.idle = p.idle[:last]
		return cn, nil
	}
	if p.connCount >= maxConnsPerMinion {
		return nil, &LimitError{Open: p.connCount}
	}
	p.connCount++
	return nil, nil
}

// openConn opens a connection that the pool already counts.
func (c *Client) openConn(ctx context.Context, address netip.AddrPort) (*conn, error) {
	socket, err := c.dial(ctx, "tcp", address.String())
	if err != nil {
		c.releaseConn(address)
		return nil, err
	}
	cn, err := newConn(c, address, socket.(*net.TCPConn))
	if err != nil {
		_ = socket.Close()
		c.releaseConn(address)
	}
	return cn, err
}

// putIdle keeps a connection for later requests. If there are too many, it closes the one that
// was idle for the longest time.
func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	p := c.pool(cn.address)
	p.idle = append(p.idle, cn)
	var surplus *conn
	if c.closed {
		surplus = cn
	} else if len(p.idle) > maxIdlePerMinion {
		surplus = p.idle[0]
	}
	c.mu.Unlock()
	if surplus != nil && c.takeIdle(surplus) {
		surplus.fail(errNotReusable)
	}
}

// takeIdle removes a connection from the idle connections and reports whether it was one.
func (c *Client) takeIdle(cn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[cn.address]
	if p == nil {
		return false
	}
	i := slices.Index(p.idle, cn)
	if i < 0 {
		return false
	}
	p.idle = slices.Delete(p.idle, i, i+1)
	return true
}

// remove removes a closed connection from its pool.
func (c *Client) remove(cn *conn) {
	c.takeIdle(cn)
	c.releaseConn(cn.address)
}

// releaseConn uncounts a connection, and deletes the pool if it was the last one.
func (c *Client) releaseConn(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(address).connCount--
	c.deleteIfEmpty(address)
}

// deleteIfEmpty deletes a pool without connections. The caller holds c.mu.
func (c *Client) deleteIfEmpty(address netip.AddrPort) {
	if p := c.pool(address); p.connCount == 0 && p.probe == nil {
		delete(c.pools, address)
	}
}

func (c *conn) lastUse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastProgress
}
