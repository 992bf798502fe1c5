package minion

import (
	"context"
	"net/netip"
	"time"
)

// check runs on the connection's timer. It closes a connection that was idle for too
// long. In an exchange without a byte in or out for the limit it asks the kernel for the
// path; on a silent path one probe connection decides whether only this connection or
// the minion failed. No other connection is touched: each has its own timer and sign.
func (c *conn) check() {
	c.mu.Lock()
	busy, limit, progress, closed, number := c.busy, c.limit, c.progress, c.closed, c.exchange
	c.mu.Unlock()
	if closed {
		return
	}
	if !busy {
		c.closeIdle(progress)
		return
	}
	if rest := limit - c.client.now().Sub(progress); rest > 0 {
		c.timer.Reset(rest)
		return
	}
	if !c.client.unacknowledged(c, limit) {
		c.timer.Reset(checkInterval)
		return
	}
	alive := c.client.probe(c.address)
	if c.advanced(progress) {
		c.timer.Reset(checkInterval)
		return
	}
	_ = c.shut(&SilentError{MinionFailed: !alive}, number)
}

func (c *conn) advanced(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress != since
}

func (c *conn) closeIdle(since time.Time) {
	if rest := idleTimeout - c.client.now().Sub(since); rest > 0 {
		c.timer.Reset(rest)
	} else if c.client.takeIdle(c) {
		c.fail(errSpent)
	}
}

// probe is one trial connection to a minion, shared by all connections that wait for it.
type probe struct {
	done  chan struct{}
	alive bool
}

// probe tells whether a new connection to the minion works. At the connection limit no
// probe is possible and the minion is not blamed.
func (c *Client) probe(address netip.AddrPort) bool {
	c.mu.Lock()
	p := c.pool(address)
	if running := p.probe; running != nil {
		c.mu.Unlock()
		<-running.done
		return running.alive
	}
	if p.open >= connsPerMinion {
		c.mu.Unlock()
		return true
	}
	trial := &probe{done: make(chan struct{})}
	p.probe = trial
	p.open++
	c.probes++
	c.mu.Unlock()
	n, err := c.open(context.Background(), address)
	trial.alive = err == nil
	c.mu.Lock()
	p.probe = nil
	c.forgetEmpty(address)
	c.mu.Unlock()
	if err == nil {
		c.putIdle(n)
	}
	close(trial.done)
	return trial.alive
}
