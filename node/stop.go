package node

import (
	"slices"
	"time"

	"egretdrum.example/epoch"
	"egretdrum.example/refusal"
)

// Drain begins a planned stop: waiting and new calls are refused as not run, running ones
// continue.
func (n *Node) Drain(now time.Time) {
	n.mu.Lock()
	defer n.flush(now)
	n.draining = true
	for _, it := range n.queue.Drain() {
		if c, ok := it.Value.(*Call); ok {
			n.dequeued(c)
			c.refuse(refusal.Draining, "this entry host is stopping", time.Second)
		}
	}
	n.rebalanceAll(now)
}

// HandOver sends the grant tables to the next owners and starts to transfer all credits to
// other hosts. It is called after the last running call has finished, and again until
// HandedOver returns true.
func (n *Node) HandOver(now time.Time) {
	n.mu.Lock()
	defer n.flush(now)
	if n.pendingHandOvers == nil {
		n.startHandOver()
	}
	for name := range n.pendingHandOvers {
		table := n.alloc.Table(now, func(minion string) bool { return n.successor(minion).Name == name })
		n.sendTo(n.member(name).ID(), kindHandOver, handOver{Number: n.ep.Number, Table: table})
	}
}

func (n *Node) startHandOver() {
	n.pendingHandOvers = make(map[string]bool)
	n.lease.Stop()
	n.ledger.Leave()
	n.alloc.Stop()
	for _, m := range n.ep.Members {
		if m.Name != n.self.Name {
			n.pendingHandOvers[m.Name] = true
		}
	}
}

func (n *Node) successor(minion string) epoch.Member {
	ranked := n.ep.Rank(minion)
	if len(ranked) > 1 && ranked[0].Name == n.self.Name {
		return ranked[1]
	}
	return ranked[0]
}

// HandedOver reports whether other hosts have all grant tables, credits and request ids, and
// no lease that this host granted is outstanding.
func (n *Node) HandedOver(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pendingHandOvers != nil && len(n.pendingHandOvers) == 0 && n.ledger.Drained() && n.lease.MayLeave(now) && n.allPeersSynced(now)
}

// Successor returns the member that takes over the remaining credits.
func (n *Node) Successor() (epoch.ID, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := slices.IndexFunc(n.ep.Members, func(m epoch.Member) bool { return m.ID() != n.id })
	if i < 0 {
		return "", false
	}
	return n.ep.Members[i].ID(), true
}

func (n *Node) onHandOver(now time.Time, from epoch.ID, m handOver) {
	n.alloc.Adopt(now, m.Table)
	n.sendTo(from, kindHandOverAck, handOverAck{Number: m.Number})
}

// Running returns the number of calls that use a minion.
func (n *Node) Running() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.running)
}

// Waiting returns the number of calls in the queue.
func (n *Node) Waiting() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queue.Len()
}

// TeamUse returns the numbers of calls of a team that run and that wait at this host.
func (n *Node) TeamUse(team string) (running, waiting int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return int(n.ledger.Running(team)), n.queuedByTeam[team]
}

// HeldCredits returns the credits of a team that this host holds, used and unused.
func (n *Node) HeldCredits(team string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return int(n.ledger.Holding(team))
}
