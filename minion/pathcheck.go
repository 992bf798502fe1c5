package minion

import (
	"context"
	"net/netip"
	"time"
)

// onTimer runs when the connection's timer fires. It closes a connection that was idle for too
// long. If no byte was sent or received for quietLimit during an exchange, it asks the kernel
// whether the peer still acknowledges. If not, it closes the connection, and a single probe
// connection shows whether only this connection or the minion failed. Other connections are
// not affected: each has its own timer and its own TCP state.
func (c *conn) onTimer() {
	c.mu.Lock()
	inExchange, quietLimit, lastProgress, closed, exchangeID := c.inExchange, c.quietLimit, c.lastProgress, c.closed, c.exchangeID
	c.mu.Unlock()
	if closed {
		return
	}
	if !inExchange {
		c.closeIfIdle(lastProgress)
		return
	}
	if remaining := quietLimit - c.client.now().Sub(lastProgress); remaining > 0 {
		c.timer.Reset(remaining)
		return
	}
	if !c.client.unacknowledged(c, quietLimit) {
		c.timer.Reset(pathCheckInterval)
		return
	}
	succeeded := c.client.probe(c.address)
	if c.progressedSince(lastProgress) {
		c.timer.Reset(pathCheckInterval)
		return
	}
	_ = c.closeWith(&UnresponsiveError{MinionFailed: !succeeded}, exchangeID)
}

func (c *conn) progressedSince(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastProgress != since
}

func (c *conn) closeIfIdle(since time.Time) {
	if remaining := idleTimeout - c.client.now().Sub(since); remaining > 0 {
		c.timer.Reset(remaining)
	} else if c.client.takeIdle(c) {
		c.fail(errNotReusable)
	}
}

// probe is an attempt to connect to a minion, shared by all connections that wait for its result.
type probe struct {
	done      chan struct{}
	succeeded bool
}

// probe reports whether a new connection to the minion can be opened. At the connection limit no
// probe is possible, and the minion is assumed to work.
func (c *Client) probe(address netip.AddrPort) bool {
	c.mu.Lock()
	p := c.pool(address)
	if running := p.probe; running != nil {
		c.mu.Unlock()
		<-running.done
		return running.succeeded
	}
	if p.connCount >= maxConnsPerMinion {
		c.mu.Unlock()
		return true
	}
	newProbe := &probe{done: make(chan struct{})}
	p.probe = newProbe
	p.connCount++
	c.mu.Unlock()
	cn, err := c.openConn(context.Background(), address)
	newProbe.succeeded = err == nil
	c.mu.Lock()
	p.probe = nil
	c.deleteIfEmpty(address)
	c.mu.Unlock()
	if err == nil {
		c.putIdle(cn)
	}
	close(newProbe.done)
	return newProbe.succeeded
}
