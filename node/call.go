package node

import (
	"errors"
	"slices"
	"time"

	"egretdrum.example/hostlist"
	"egretdrum.example/queue"
	"egretdrum.example/refusal"
	"egretdrum.example/slot"
)

// Call is one request on its way through the node.
type Call struct {
	ID       string
	Pool     string
	Team     string
	Urgent   bool
	Deadline time.Time
	// Excluded names the minions that were tried before.
	Excluded []string
	// Verdict yields the minion to use, or a refusal.
	Verdict chan Verdict

	submitted time.Time

	item  *queue.Item
	grant slot.Grant
	owner string
}

// Verdict is the end of a call's wait: a target, or the reason for which it was refused.
type Verdict struct {
	Target hostlist.Host
	Reason refusal.Reason
	Detail string
	After  time.Duration
}

// NewCall returns a call that is not submitted yet.
func NewCall(id, pool, team string, urgent bool, deadline time.Time) *Call {
	return &Call{ID: id, Pool: pool, Team: team, Urgent: urgent, Deadline: deadline, Verdict: make(chan Verdict, 1)}
}

func (c *Call) refuse(reason refusal.Reason, detail string, after time.Duration) {
	c.Verdict <- Verdict{Reason: reason, Detail: detail, After: after}
}

// Submit queues a call. Its verdict follows on the channel; a refusal may come at once.
func (n *Node) Submit(now time.Time, c *Call) {
	n.mu.Lock()
	defer n.flush(now)
	c.submitted = now
	switch {
	case n.leaving:
		c.refuse(refusal.Draining, "this entry host is stopping", time.Second)
	case !n.mayAdmit(now):
		c.refuse(refusal.NotAdmitting, "this entry host has lost contact with the others", time.Second)
	case !n.servable(c):
		c.refuse(refusal.NoMinion, "no minion of pool "+c.Pool+" can take this request", time.Second)
	default:
		n.enqueue(now, c)
		n.pump(now)
	}
}

// servable reports whether some minion of the pool is not leaving and not excluded.
func (n *Node) servable(c *Call) bool {
	return slices.ContainsFunc(n.pools[c.Pool], func(m minion) bool {
		return !m.host.Leaving && !slices.Contains(c.Excluded, m.host.Worker)
	})
}

func (n *Node) enqueue(now time.Time, c *Call) {
	c.item = &queue.Item{ID: c.ID, Service: c.Pool, Team: c.Team, Deadline: c.Deadline, Urgent: c.Urgent, Value: c}
	if err := n.queue.Push(now, c.item); err != nil {
		c.item = nil
		var refused *queue.RefusedError
		if errors.As(err, &refused) {
			c.refuse(refusal.Reason(refused.Reason), refused.Error(), refused.RetryAfter)
			return
		}
		c.refuse(refusal.QueueFull, err.Error(), time.Second)
		return
	}
	n.waiting[c.Team]++
	n.active[flow{c.Pool, c.Team}]++
	n.exclude(c, 1)
	n.rebalance(now, flow{c.Pool, c.Team})
}

// left notes that a call is no longer in the queue.
func (n *Node) left(c *Call) {
	c.item = nil
	n.active[flow{c.Pool, c.Team}]--
	if n.waiting[c.Team]--; n.waiting[c.Team] == 0 {
		n.ledger.SetWaiting(c.Team, 0)
		delete(n.waiting, c.Team)
	}
	n.exclude(c, -1)
}

func (n *Node) exclude(c *Call, by int) {
	f := flow{c.Pool, c.Team}
	for _, m := range c.Excluded {
		if n.excluded[f] == nil {
			n.excluded[f] = make(map[string]int)
		}
		if n.excluded[f][m] += by; n.excluded[f][m] == 0 {
			delete(n.excluded[f], m)
		}
	}
	if len(n.excluded[f]) == 0 {
		delete(n.excluded, f)
	}
}

// Cancel takes a call out of the queue. It reports false when the call has its verdict.
func (n *Node) Cancel(now time.Time, c *Call) bool {
	n.mu.Lock()
	defer n.flush(now)
	if c.item == nil || !n.queue.Remove(c.item) {
		return false
	}
	n.left(c)
	n.rebalance(now, flow{c.Pool, c.Team})
	return true
}

// Finish ends the use of a minion's slot and of the team's credit.
func (n *Node) Finish(now time.Time, c *Call, outcome slot.Outcome, ran time.Duration) {
	n.mu.Lock()
	defer n.flush(now)
	if outcome == slot.OK {
		n.observe(c, ran)
	}
	n.finish(now, c, outcome)
	n.pump(now)
}

func (n *Node) observe(c *Call, ran time.Duration) {
	n.queue.Ran(c.Team, ran)
	f := flow{c.Pool, c.Team}
	if n.runTimes[f] == nil {
		n.runTimes[f] = &runTime{}
	}
	n.runTimes[f].add(ran)
}

func (n *Node) finish(now time.Time, c *Call, outcome slot.Outcome) {
	if n.open[c.grant.ID] != c {
		return
	}
	delete(n.open, c.grant.ID)
	if !n.faults.keepCredit {
		n.ledger.Release(c.Team)
	}
	n.release(now, c.owner, c.grant, outcome)
	n.rebalance(now, flow{c.Pool, c.Team})
}

// Abandon ends a call whose request was sent and got no complete response. The minion
// may still be running it, so slot and credit stay in use until the given time; the
// minion is judged at once.
func (n *Node) Abandon(now time.Time, c *Call, outcome slot.Outcome, until time.Time) {
	n.mu.Lock()
	defer n.flush(now)
	if n.open[c.grant.ID] != c {
		return
	}
	n.abandoned = append(n.abandoned, abandoned{c, until})
	if outcome == slot.OK || outcome == slot.Unused {
		return
	}
	if c.owner == n.self.Name {
		n.alloc.Report(now, c.grant.ID, outcome)
		return
	}
	n.out.report(c.owner, release{ID: c.grant.ID, Outcome: outcome})
}

// abandoned is a call without a complete response, whose request may still be running
// until a given time.
type abandoned struct {
	call  *Call
	until time.Time
}

func (n *Node) endAbandoned(now time.Time) {
	n.abandoned = slices.DeleteFunc(n.abandoned, func(a abandoned) bool {
		over := !now.Before(a.until)
		if over {
			n.finish(now, a.call, slot.Unused)
		}
		return over
	})
}

// shed refuses a waiting call in favour of one that is entitled to its place.
func (n *Node) shed(it *queue.Item) {
	c, ok := it.Value.(*Call)
	if !ok {
		return
	}
	n.left(c)
	c.refuse(refusal.QueueFull, "the queue is full and this team is furthest above its share of it", time.Second)
}

func (n *Node) expire(now time.Time) {
	for _, it := range n.queue.Expire(now) {
		if c, ok := it.Value.(*Call); ok {
			n.left(c)
			c.refuse(refusal.DeadlineExceeded, "no slot became free before the deadline", time.Second)
		}
	}
}
