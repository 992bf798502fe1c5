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
	open  int     // connections that are open or being opened, probes included
	idle  []*conn // the last used one at the end
	probe *probe
}

func (c *Client) pool(address netip.AddrPort) *pool {
	p := c.pools[address]
	if p == nil {
		p = &pool{}
		c.pools[address] = p
	}
	return p
}

// acquire returns a connection with a started exchange. fresh tells that it carried none
// before. An idle connection that is too old is closed unless the method is idempotent,
// because the request would be lost when the minion closes the connection at this moment.
func (c *Client) acquire(ctx context.Context, address netip.AddrPort, idempotent bool, limit time.Duration) (n *conn, fresh bool, err error) {
	for {
		n, err := c.popOrReserve(address)
		if err != nil {
			return nil, false, err
		}
		if n == nil {
			break
		}
		if !idempotent && c.now().Sub(n.lastUse()) > reuseAge {
			n.fail(errSpent)
			continue
		}
		if n.begin(limit) {
			return n, false, nil
		}
	}
	n, err = c.open(ctx, address)
	if err != nil {
		return nil, true, err
	}
	n.begin(limit)
	return n, true, nil
}

// popOrReserve returns the idle connection used last, or reserves a place for a new one.
func (c *Client) popOrReserve(address netip.AddrPort) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(address)
	if last := len(p.idle) - 1; last >= 0 {
		n := p.idle[last]
		p.idle = p.idle[:last]
		return n, nil
	}
	if p.open >= connsPerMinion {
		return nil, &LimitError{Open: p.open}
	}
	p.open++
	return nil, nil
}

// open connects within a place that is reserved in the pool.
func (c *Client) open(ctx context.Context, address netip.AddrPort) (*conn, error) {
	socket, err := c.dial(ctx, "tcp", address.String())
	if err != nil {
		c.leave(address)
		return nil, err
	}
	n, err := newConn(c, address, socket.(*net.TCPConn))
	if err != nil {
		_ = socket.Close()
		c.leave(address)
	}
	return n, err
}

// putIdle keeps a connection for later requests, in place of the one that was idle for
// the longest time if there are too many.
func (c *Client) putIdle(n *conn) {
	c.mu.Lock()
	p := c.pool(n.address)
	p.idle = append(p.idle, n)
	var surplus *conn
	if c.stopped {
		surplus = n
	} else if len(p.idle) > idlePerMinion {
		surplus = p.idle[0]
	}
	c.mu.Unlock()
	if surplus != nil && c.takeIdle(surplus) {
		surplus.fail(errSpent)
	}
}

// takeIdle removes a connection from the idle ones and tells whether it was there.
func (c *Client) takeIdle(n *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[n.address]
	if p == nil {
		return false
	}
	i := slices.Index(p.idle, n)
	if i < 0 {
		return false
	}
	p.idle = slices.Delete(p.idle, i, i+1)
	return true
}

// remove frees the place of a closed connection.
func (c *Client) remove(n *conn) {
	c.takeIdle(n)
	c.leave(n.address)
}

// leave frees a place, and forgets the pool with its last connection.
func (c *Client) leave(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(address).open--
	c.forgetEmpty(address)
}

// forgetEmpty drops a pool without connections. c.mu is held.
func (c *Client) forgetEmpty(address netip.AddrPort) {
	if p := c.pool(address); p.open == 0 && p.probe == nil {
		delete(c.pools, address)
	}
}

func (c *conn) lastUse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress
}
