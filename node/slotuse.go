package node

import "time"

// SlotUse is what this host knows about the use of one worker's slots.
type SlotUse struct {
	// Owned is set if this host may grant the worker's slots now. No other host can grant
	// them then, and this host knows all grants on the worker.
	Owned bool
	// Outstanding counts the grants that have not ended.
	Outstanding int
}

// SlotUse returns the use of the workers' slots, and the version of the configuration that
// the grants are based on.
func (n *Node) SlotUse(now time.Time, workers []string) (version uint64, use map[string]SlotUse) {
	n.mu.Lock()
	defer n.mu.Unlock()
	use = make(map[string]SlotUse, len(workers))
	mayGrant := len(n.ep.Members) > 0 && n.lease.MayAdmit(now)
	for _, w := range workers {
		use[w] = SlotUse{Owned: mayGrant && n.ep.Rank(w)[0].ID() == n.id && n.table.MayGrant(now, w)}
	}
	table := n.alloc.Table(now, func(worker string) bool { return use[worker].Owned })
	for _, h := range table.Grants {
		u := use[h.Grant.Minion]
		u.Outstanding++
		use[h.Grant.Minion] = u
	}
	return n.cfg.Version, use
}

// IsFirstMember reports whether this host is the first member in the rendezvous order of name
// and may act on it.
func (n *Node) IsFirstMember(now time.Time, name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.ep.Members) > 0 && n.ep.Rank(name)[0].ID() == n.id && n.lease.MayAdmit(now)
}
