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

// Call is one request that waits for a minion or uses one.
type Call struct {
	ID       string
	Pool     string
	Team     string
	Urgent   bool
	Deadline time.Time
	// Excluded names the minions that the request was already sent to.
	Excluded []string
	// Verdict yields the minion to use, or a refusal.
	Verdict chan Verdict

	submitted time.Time

	item  *queue.Item
	grant slot.Grant
	owner string
}

// Verdict is the result of a call's wait: a target, or the reason why it was refused.
type Verdict struct {
	Target     hostlist.Host
	Reason     refusal.Reason
	Detail     string
	RetryAfter time.Duration
}

// NewCall returns a call that has not been submitted yet.
func NewCall(id, pool, team string, urgent bool, deadline time.Time) *Call {
	return &Call{ID: id, Pool: pool, Team: team, Urgent: urgent, Deadline: deadline, Verdict: make(chan Verdict, 1)}
}

func (c *Call) refuse(reason refusal.Reason, detail string, retryAfter time.Duration) {
	c.Verdict <- Verdict{Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// Submit queues a call. Its verdict is sent on Call.Verdict; a refusal may be sent before
// Submit returns.
func (n *Node) Submit(now time.Time, c *Call) {
	n.mu.Lock()
	defer n.flush(now)
	c.submitted = now
	switch {
	case n.draining:
		c.refuse(refusal.Draining, "this entry host is stopping", time.Second)
	case !n.mayAdmit(now):
		c.refuse(refusal.NotAdmitting, "this entry host has lost contact with the others", time.Second)
	case !n.hasUsableMinion(c):
		c.refuse(refusal.NoMinion, "no minion of pool "+c.Pool+" can take this request", time.Second)
	default:
		n.enqueue(now, c)
		n.issueGrants(now)
	}
}

// hasUsableMinion reports whether some minion of the call's pool is neither leaving nor
// excluded.
func (n *Node) hasUsableMinion(c *Call) bool {
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
	n.queuedByTeam[c.Team]++
	n.queuedByFlow[flow{c.Pool, c.Team}]++
	n.countExclusions(c, 1)
	n.rebalance(now, flow{c.Pool, c.Team})
}

// dequeued updates the counters after a call was taken out of the queue.
func (n *Node) dequeued(c *Call) {
	c.item = nil
	n.queuedByFlow[flow{c.Pool, c.Team}]--
	if n.queuedByTeam[c.Team]--; n.queuedByTeam[c.Team] == 0 {
		n.ledger.SetWaiting(c.Team, 0)
		delete(n.queuedByTeam, c.Team)
	}
	n.countExclusions(c, -1)
}

func (n *Node) countExclusions(c *Call, delta int) {
	f := flow{c.Pool, c.Team}
	for _, m := range c.Excluded {
		if n.excludedByFlow[f] == nil {
			n.excludedByFlow[f] = make(map[string]int)
		}
		if n.excludedByFlow[f][m] += delta; n.excludedByFlow[f][m] == 0 {
			delete(n.excludedByFlow[f], m)
		}
	}
	if len(n.excludedByFlow[f]) == 0 {
		delete(n.excludedByFlow, f)
	}
}

// Cancel takes a call out of the queue. It returns false if the call already has its
// verdict.
func (n *Node) Cancel(now time.Time, c *Call) bool {
	n.mu.Lock()
	defer n.flush(now)
	if c.item == nil || !n.queue.Remove(c.item) {
		return false
	}
	n.dequeued(c)
	n.rebalance(now, flow{c.Pool, c.Team})
	return true
}

// Finish releases the minion's slot and the team's credit that the call used.
func (n *Node) Finish(now time.Time, c *Call, outcome slot.Outcome, duration time.Duration) {
	n.mu.Lock()
	defer n.flush(now)
	if outcome == slot.OK {
		n.recordRunTime(c, duration)
	}
	n.finish(now, c, outcome)
	n.issueGrants(now)
}

func (n *Node) recordRunTime(c *Call, duration time.Duration) {
	n.queue.RecordRunTime(c.Team, duration)
	f := flow{c.Pool, c.Team}
	if n.runTimes[f] == nil {
		n.runTimes[f] = &runTime{}
	}
	n.runTimes[f].add(duration)
}

func (n *Node) finish(now time.Time, c *Call, outcome slot.Outcome) {
	if n.running[c.grant.ID] != c {
		return
	}
	delete(n.running, c.grant.ID)
	if !n.mutation.keepCredit {
		n.ledger.Release(c.Team)
	}
	n.release(now, c.owner, c.grant, outcome)
	n.rebalance(now, flow{c.Pool, c.Team})
}

// Abandon ends a call whose request was sent and got no complete response. The minion
// may still be running it, so slot and credit stay in use until the given time; the
// outcome counts for the minion's health at once.
func (n *Node) Abandon(now time.Time, c *Call, outcome slot.Outcome, until time.Time) {
	n.mu.Lock()
	defer n.flush(now)
	if n.running[c.grant.ID] != c {
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
	n.out.addReport(c.owner, release{ID: c.grant.ID, Outcome: outcome})
}

// abandoned is a call that got no complete response. Its request may still be running
// until the given time.
type abandoned struct {
	call  *Call
	until time.Time
}

func (n *Node) endAbandoned(now time.Time) {
	n.abandoned = slices.DeleteFunc(n.abandoned, func(a abandoned) bool {
		expired := !now.Before(a.until)
		if expired {
			n.finish(now, a.call, slot.Unused)
		}
		return expired
	})
}

// shed refuses a waiting call that the full queue dropped to make room, because its team is
// furthest above its share.
func (n *Node) shed(it *queue.Item) {
	c, ok := it.Value.(*Call)
	if !ok {
		return
	}
	n.dequeued(c)
	c.refuse(refusal.QueueFull, "the queue is full and this team is furthest above its share of it", time.Second)
}

func (n *Node) expire(now time.Time) {
	for _, it := range n.queue.Expire(now) {
		if c, ok := it.Value.(*Call); ok {
			n.dequeued(c)
			c.refuse(refusal.DeadlineExceeded, "no slot became free before the deadline", time.Second)
		}
	}
}
