package node

import (
	"slices"
	"time"

	"egretdrum.example/epoch"
	"egretdrum.example/refusal"
)

// Drain begins a planned stop: waiting calls are refused as not run, new ones too, and
// running ones go on.
func (n *Node) Drain(now time.Time) {
	n.mu.Lock()
	defer n.flush(now)
	n.leaving = true
	for _, it := range n.queue.Drain() {
		if c, ok := it.Value.(*Call); ok {
			n.left(c)
			c.refuse(refusal.Draining, "this entry host is stopping", time.Second)
		}
	}
	n.rebalanceAll(now)
}

// HandOver passes the grant tables on to the next owners and starts to give all credits
// away. It is called after the last running call has finished, and again until HandedOver
// reports true.
func (n *Node) HandOver(now time.Time) {
	n.mu.Lock()
	defer n.flush(now)
	if n.handOver == nil {
		n.startHandOver()
	}
	for name := range n.handOver {
		table := n.alloc.Table(now, func(minion string) bool { return n.successor(minion).Name == name })
		n.sendTo(n.member(name).ID(), kindHandOver, handOver{Number: n.ep.Number, Table: table})
	}
}

func (n *Node) startHandOver() {
	n.handOver = make(map[string]bool)
	n.lease.Stop()
	n.ledger.Leave()
	n.alloc.Stop()
	for _, m := range n.ep.Members {
		if m.Name != n.self.Name {
			n.handOver[m.Name] = true
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

// HandedOver reports whether all grant tables and credits are with other hosts, and no
// lease that this host granted is outstanding.
func (n *Node) HandedOver(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handOver != nil && len(n.handOver) == 0 && n.ledger.Drained() && n.lease.MayLeave(now) && n.allSynced(now)
}

// Successor returns the member that takes what is left of the credits.
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
	return len(n.open)
}

// Waiting returns the number of calls in the queue.
func (n *Node) Waiting() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queue.Len()
}

// Use returns how many calls of a team run and wait at this host.
func (n *Node) Use(team string) (running, waiting int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return int(n.ledger.Running(team)), n.waiting[team]
}

// Held returns the credits of a team that this host holds, used and unused.
func (n *Node) Held(team string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return int(n.ledger.Holding(team))
}
