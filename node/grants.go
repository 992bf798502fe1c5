package node

import (
	"maps"
	"slices"
	"time"

	"egretdrum.example/epoch"
	"egretdrum.example/refusal"
	"egretdrum.example/slot"
)

// rebalance adjusts the slots that are requested from each owner to the waiting requests of
// a flow. It requests no slot for a request for which the team has no credit.
func (n *Node) rebalance(now time.Time, f flow) {
	urgent, ordinary := n.queue.Demand(f.pool, f.team)
	usable := int(n.ledger.Usable(f.team))
	if urgent+ordinary > usable && now.Sub(n.lastCreditTick) >= minCreditInterval {
		// Waiting for the next tick would add up to 50 ms when load shifts to this host.
		n.tickCredits(now)
	}
	urgent = min(urgent, usable)
	ordinary = min(ordinary, usable-urgent)
	changed := n.router.Balance(f.pool, f.team, true, urgent)
	changed = append(changed, n.router.Balance(f.pool, f.team, false, ordinary)...)
	for _, host := range changed {
		n.sendDemand(now, f, host)
	}
}

func (n *Node) rebalanceAll(now time.Time) {
	for _, f := range n.activeFlows() {
		n.rebalance(now, f)
		if n.queuedByFlow[f] == 0 {
			delete(n.queuedByFlow, f)
		}
	}
}

func (n *Node) activeFlows() []flow {
	if len(n.queuedByFlow) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(n.queuedByFlow), flow.compare)
}

// repeatDemands sends the demand of waiting requests again, because a message may have been
// lost with its connection.
func (n *Node) repeatDemands(now time.Time) {
	if now.Sub(n.lastDemandResend) < demandResendInterval {
		return
	}
	n.lastDemandResend = now
	for _, f := range n.activeFlows() {
		for _, m := range n.ep.Members {
			if n.router.SlotsRequested(f.pool, f.team, true, m.Name)+n.router.SlotsRequested(f.pool, f.team, false, m.Name) > 0 {
				n.sendDemand(now, f, m.Name)
			}
		}
	}
}

func (n *Node) sendDemand(now time.Time, f flow, host string) {
	if host == n.self.Name {
		n.alloc.Demand(now, n.demandOf(f, host))
		return
	}
	n.out.addDemand(host, f)
}

func (n *Node) demandOf(f flow, host string) slot.Demand {
	return slot.Demand{
		Host: string(n.id), Zone: n.self.Zone, Service: f.pool, Team: f.team,
		Urgent:   n.router.SlotsRequested(f.pool, f.team, true, host),
		Ordinary: n.router.SlotsRequested(f.pool, f.team, false, host),
		Excluded: sortedKeys(n.excludedByFlow[f]),
	}
}

// issueGrants grants all slots that can be granted now. An owner without its admission lease
// grants nothing, because another host may have become the owner.
func (n *Node) issueGrants(now time.Time) {
	if !n.mayAdmit(now) {
		return
	}
	for again := true; again; {
		again = false
		n.grantBuf = append(n.grantBuf[:0], n.alloc.Grants(now)...)
		for _, g := range n.grantBuf {
			if g.Host != string(n.id) {
				n.out.addGrant(epoch.ID(g.Host).Name(), g)
				continue
			}
			again = n.acceptGrant(now, n.self.Name, g) || again
		}
	}
}

// acceptGrant binds a grant to the best waiting request, or releases it. It reports whether
// it released the grant, which gives the owner a slot to grant again.
func (n *Node) acceptGrant(now time.Time, owner string, g slot.Grant) bool {
	f := flow{g.Service, g.Team}
	n.router.Granted(f.pool, f.team, g.Urgent, owner)
	c := n.selectCall(now, g)
	if c == nil {
		n.release(now, owner, g, slot.Unused)
		n.rebalance(now, f)
		n.sendDemand(now, f, owner)
		return true
	}
	if n.mutation.keepQueued {
		n.enqueue(now, c)
	}
	c.grant, c.owner = g, owner
	n.running[g.ID] = c
	if owner == n.self.Name {
		n.alloc.Bind(now, g.ID, c.Deadline.Add(EndGrace))
	} else {
		n.out.addBind(owner, bind{ID: g.ID, Timeout: c.Deadline.Add(EndGrace).Sub(now)})
	}
	n.rebalance(now, f)
	n.sendDemand(now, f, owner)
	c.Verdict <- Verdict{Target: n.hosts[g.Minion]}
	return false
}

// selectCall takes the call that uses the grant out of the queue. The admission lease and the
// credit are checked here, at the time of admission.
func (n *Node) selectCall(now time.Time, g slot.Grant) *Call {
	if n.draining || !n.mayAdmit(now) {
		return nil
	}
	n.expire(now)
	c := n.popCall(now, g)
	if c == nil {
		return nil
	}
	if _, known := n.hosts[g.Minion]; !known || n.isLeaving(now, g.Minion) || slices.Contains(c.Excluded, g.Minion) || !n.ledger.Acquire(c.Team) {
		n.enqueue(now, c)
		return nil
	}
	return c
}

// popCall takes the best call out of the queue that can still end before its deadline. Under
// overload the calls with the earliest deadlines have almost no time left; starting them
// would waste the slot and end with an unknown outcome, so they are refused as not run while
// others wait.
func (n *Node) popCall(now time.Time, g slot.Grant) *Call {
	for {
		it := n.queue.Pop(now, g.Service, g.Team, g.Urgent)
		if it == nil {
			it = n.queue.Pop(now, g.Service, g.Team, !g.Urgent)
		}
		if it == nil {
			return nil
		}
		c, ok := it.Value.(*Call)
		if !ok {
			return nil
		}
		n.dequeued(c)
		f := flow{c.Pool, c.Team}
		estimate := n.runTimes[f]
		if n.queuedByFlow[f] == 0 || !c.unlikelyToFinish(now, estimate.typical()) {
			return c
		}
		estimate.decay()
		c.refuse(refusal.DeadlineUnreachable, "the remaining time is shorter than the usual run time", time.Second)
	}
}

// release notifies the owner that a grant ended. After an epoch change it notifies both the
// owner that issued the grant and the current one.
func (n *Node) release(now time.Time, owner string, g slot.Grant, outcome slot.Outcome) {
	hosts := []string{owner}
	if len(n.ep.Members) > 0 {
		if current := n.ep.First(g.Minion).Name; current != owner {
			hosts = append(hosts, current)
		}
	}
	for _, host := range hosts {
		if host == n.self.Name {
			n.alloc.Release(now, g.ID, outcome)
		} else {
			n.out.addRelease(host, release{ID: g.ID, Outcome: outcome})
		}
	}
}

// onSlots handles a sender's message. The allocator identifies senders by incarnation: work
// of a crashed one may still run, and a new incarnation of the same name does not know of it.
func (n *Node) onSlots(now time.Time, from epoch.ID, m slotsMessage) {
	for _, b := range m.Binds {
		n.alloc.Bind(now, b.ID, now.Add(b.Timeout))
	}
	for _, r := range m.Reports {
		n.alloc.Report(now, r.ID, r.Outcome)
	}
	for _, r := range m.Releases {
		n.alloc.Release(now, r.ID, r.Outcome)
	}
	// Demands count the requests that still wait after these bindings, so they are applied
	// last.
	for _, d := range m.Demands {
		d.Host = string(from)
		n.alloc.Demand(now, d)
	}
	n.issueGrants(now)
}

func (n *Node) onGrants(now time.Time, from string, m grantsMessage) {
	for _, g := range m.Grants {
		n.acceptGrant(now, from, g)
	}
}

// checkGrants asks the senders whether they still hold their old grants.
func (n *Node) checkGrants(now time.Time) {
	for host, ids := range n.alloc.Overdue(now, grantCheckAge) {
		if id := epoch.ID(host); id != n.id {
			if n.ep.Has(id) || n.mutation.checkByName {
				n.sendTo(id, kindGrantsCheck, grantsCheck{IDs: ids})
			}
			continue
		}
		for _, id := range ids {
			if n.running[id] == nil {
				n.alloc.Release(now, id, slot.Unused)
			}
		}
	}
}

func (n *Node) onGrantsCheck(from string, m grantsCheck) {
	for _, id := range m.IDs {
		if n.running[id] == nil {
			n.out.addRelease(from, release{ID: id, Outcome: slot.Unused})
		}
	}
}
