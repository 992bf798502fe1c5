package node

import (
	"maps"
	"slices"
	"time"

	"egretdrum.example/epoch"
	"egretdrum.example/refusal"
	"egretdrum.example/slot"
)

// rebalance brings the asks at the owners in line with the waiting requests of a flow.
// Requests for which the team has no credit ask for no slot.
func (n *Node) rebalance(now time.Time, f flow) {
	urgent, ordinary := n.queue.Demand(f.pool, f.team)
	usable := int(n.ledger.Usable(f.team))
	if urgent+ordinary > usable && now.Sub(n.credited) >= creditPause {
		// Waiting for the next tick would cost up to 50 ms when load moves to this host.
		n.tickCredits(now)
	}
	urgent = min(urgent, usable)
	ordinary = min(ordinary, usable-urgent)
	changed := n.router.Balance(f.pool, f.team, true, urgent)
	changed = append(changed, n.router.Balance(f.pool, f.team, false, ordinary)...)
	for _, host := range changed {
		n.demand(now, f, host)
	}
}

func (n *Node) rebalanceAll(now time.Time) {
	for _, f := range n.activeFlows() {
		n.rebalance(now, f)
		if n.active[f] == 0 {
			delete(n.active, f)
		}
	}
}

func (n *Node) activeFlows() []flow {
	if len(n.active) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(n.active), flow.compare)
}

// repeatDemands sends the demand of waiting requests again, in case a message was lost
// with its connection.
func (n *Node) repeatDemands(now time.Time) {
	if now.Sub(n.repeated) < demandRepeat {
		return
	}
	n.repeated = now
	for _, f := range n.activeFlows() {
		for _, m := range n.ep.Members {
			if n.router.Asked(f.pool, f.team, true, m.Name)+n.router.Asked(f.pool, f.team, false, m.Name) > 0 {
				n.demand(now, f, m.Name)
			}
		}
	}
}

func (n *Node) demand(now time.Time, f flow, host string) {
	if host == n.self.Name {
		n.alloc.Demand(now, n.demandOf(f, host))
		return
	}
	n.out.demand(host, f)
}

func (n *Node) demandOf(f flow, host string) slot.Demand {
	return slot.Demand{
		Host: string(n.id), Zone: n.self.Zone, Service: f.pool, Team: f.team,
		Urgent:   n.router.Asked(f.pool, f.team, true, host),
		Ordinary: n.router.Asked(f.pool, f.team, false, host),
		Excluded: sortedKeys(n.excluded[f]),
	}
}

// pump grants what can be granted now. An owner without its admission lease grants
// nothing, because another one may have taken its place.
func (n *Node) pump(now time.Time) {
	if !n.mayAdmit(now) {
		return
	}
	for again := true; again; {
		again = false
		n.granting = append(n.granting[:0], n.alloc.Grants(now)...)
		for _, g := range n.granting {
			if g.Host != string(n.id) {
				n.out.grant(epoch.ID(g.Host).Name(), g)
				continue
			}
			again = n.take(now, n.self.Name, g) || again
		}
	}
}

// take binds a grant to the best waiting request, or releases it. It reports whether
// the grant went back, so that the owner may have something new to grant.
func (n *Node) take(now time.Time, owner string, g slot.Grant) bool {
	f := flow{g.Service, g.Team}
	n.router.Granted(f.pool, f.team, g.Urgent, owner)
	c := n.choose(now, g)
	if c == nil {
		n.release(now, owner, g, slot.Unused)
		n.rebalance(now, f)
		n.demand(now, f, owner)
		return true
	}
	if n.faults.keepQueued {
		n.enqueue(now, c)
	}
	c.grant, c.owner = g, owner
	n.open[g.ID] = c
	if owner == n.self.Name {
		n.alloc.Bind(now, g.ID, c.Deadline.Add(EndGrace))
	} else {
		n.out.bind(owner, bind{ID: g.ID, Timeout: c.Deadline.Add(EndGrace).Sub(now)})
	}
	n.rebalance(now, f)
	n.demand(now, f, owner)
	c.Verdict <- Verdict{Target: n.hosts[g.Minion]}
	return false
}

// choose takes the call that uses the grant out of the queue. The right to admit and
// the credit are checked here, at the moment of admission.
func (n *Node) choose(now time.Time, g slot.Grant) *Call {
	if n.leaving || !n.mayAdmit(now) {
		return nil
	}
	n.expire(now)
	c := n.pop(now, g)
	if c == nil {
		return nil
	}
	if _, known := n.hosts[g.Minion]; !known || n.isLeaving(now, g.Minion) || slices.Contains(c.Excluded, g.Minion) || !n.ledger.Acquire(c.Team) {
		n.enqueue(now, c)
		return nil
	}
	return c
}

// pop takes the best call that can still end in time. Under overload the earliest
// deadlines are nearly over; starting them would waste the slot and end with an unknown
// outcome, so they are refused as not run while others wait.
func (n *Node) pop(now time.Time, g slot.Grant) *Call {
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
		n.left(c)
		f := flow{c.Pool, c.Team}
		estimate := n.runTimes[f]
		if n.active[f] == 0 || !c.late(now, estimate.usual()) {
			return c
		}
		estimate.lower()
		c.refuse(refusal.DeadlineUnreachable, "the remaining time is shorter than the usual run time", time.Second)
	}
}

// release tells the owner that a grant ended. After an epoch change the owner that
// granted it and the present one both need to know.
func (n *Node) release(now time.Time, owner string, g slot.Grant, outcome slot.Outcome) {
	hosts := []string{owner}
	if len(n.ep.Members) > 0 {
		if present := n.ep.First(g.Minion).Name; present != owner {
			hosts = append(hosts, present)
		}
	}
	for _, host := range hosts {
		if host == n.self.Name {
			n.alloc.Release(now, g.ID, outcome)
		} else {
			n.out.release(host, release{ID: g.ID, Outcome: outcome})
		}
	}
}

// onSlots takes a sender's message. The allocator knows senders by incarnation: work of a
// crashed one may still run, and its replacement under the same name does not know of it.
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
	// Demands count what waits after these bindings, so they come last.
	for _, d := range m.Demands {
		d.Host = string(from)
		n.alloc.Demand(now, d)
	}
	n.pump(now)
}

func (n *Node) onGrants(now time.Time, from string, m grantsMessage) {
	for _, g := range m.Grants {
		n.take(now, from, g)
	}
}

// checkGrants asks senders about grants that are old.
func (n *Node) checkGrants(now time.Time) {
	for host, ids := range n.alloc.Overdue(now, checkAfter) {
		if id := epoch.ID(host); id != n.id {
			if n.ep.Has(id) || n.faults.checkByName {
				n.sendTo(id, kindGrantsCheck, grantsCheck{IDs: ids})
			}
			continue
		}
		for _, id := range ids {
			if n.open[id] == nil {
				n.alloc.Release(now, id, slot.Unused)
			}
		}
	}
}

func (n *Node) onGrantsCheck(from string, m grantsCheck) {
	for _, id := range m.IDs {
		if n.open[id] == nil {
			n.out.release(from, release{ID: id, Outcome: slot.Unused})
		}
	}
}
