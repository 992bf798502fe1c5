package node

import (
	"maps"
	"slices"
	"time"

	"egretdrum.example/epoch"
	"egretdrum.example/router"
	"egretdrum.example/slot"
)

// leavingSignalTTL is how long a minion's own signal that it is leaving counts, unless the
// host list confirms it.
const leavingSignalTTL = 30 * time.Second

// moveCheckInterval is how often the owner checks whether workers that change their pool
// have no grants of their former pool any more.
const moveCheckInterval = 250 * time.Millisecond

// AdoptEpoch adopts an epoch if it is newer than the current one.
func (n *Node) AdoptEpoch(now time.Time, e *epoch.Epoch) {
	n.mu.Lock()
	defer n.flush(now)
	n.adoptEpoch(now, e)
}

func (n *Node) adoptEpoch(now time.Time, e *epoch.Epoch) {
	if e.Number <= n.ep.Number {
		return
	}
	crashed := removedWithoutStop(n.ep, e)
	before := n.ep
	n.ep = e
	n.adoptMemberList(before, e)
	n.lease.Adopt(e)
	n.ledger.Adopt(now, e)
	ranked := make(map[string]string)
	owner := func(minion string) string {
		id, ok := ranked[minion]
		if !ok {
			id = string(e.First(minion).ID())
			ranked[minion] = id
		}
		return id
	}
	members := make([]string, 0, len(e.Members))
	for _, m := range e.Members {
		members = append(members, string(m.ID()))
	}
	if list := memberListOf(e).Number; len(members) > 0 {
		n.table.Adopt(now, list, members, owner, crashed)
	}
	n.confirmations = nil
	n.dropPeers(now)
	n.rebuildPools(now)
	n.Publish(e)
}

// removedWithoutStop reports whether requests of a host that is no longer a member may still
// run on minions. This includes a replaced incarnation of the same name: its process has
// ended, but its requests may still run.
func removedWithoutStop(from, to *epoch.Epoch) bool {
	if from.Number == 0 {
		// A joining host cannot know what ran before the recorded history.
		return len(to.History) == 0 || to.History[0].Number > 1 || anyCrashed(to.History)
	}
	n := slices.IndexFunc(to.History, func(p epoch.HistoryEntry) bool { return p.Number > from.Number })
	if n < 0 {
		return false
	}
	if n == 0 && to.History[0].Number > from.Number+1 {
		return true
	}
	return anyCrashed(to.History[max(0, n-1):])
}

func anyCrashed(lists []epoch.HistoryEntry) bool {
	for n := 1; n < len(lists); n++ {
		for _, id := range lists[n-1].Members {
			if slices.Contains(lists[n].Members, id) {
				continue
			}
			if !slices.Contains(lists[n].Ended, id) || hasName(lists[n].Members, id.Name()) {
				return true
			}
		}
	}
	return false
}

func hasName(ids []epoch.ID, name string) bool {
	return slices.ContainsFunc(ids, func(id epoch.ID) bool { return id.Name() == name })
}

// dropPeers removes peers that are no longer members, with their demand, and adds new ones.
func (n *Node) dropPeers(now time.Time) {
	for name, p := range n.peers {
		if !n.ep.Has(p.id) {
			delete(n.peers, name)
			n.alloc.DropHost(now, string(p.id))
		}
	}
	for _, m := range n.ep.Members {
		if m.Name != n.self.Name && n.peers[m.Name] == nil {
			n.peers[m.Name] = &peerState{id: m.ID(), heartbeatReceived: now, sentFreeSlots: make(map[string]int)}
		}
	}
}

// rebuildPools computes the minions of each pool, their owners and the minions whose slots
// this host grants.
func (n *Node) rebuildPools(now time.Time) {
	n.lastRebuild, n.tableComplete = now, n.table.Complete(now)
	previous := n.pools
	n.pools = make(map[string][]minion)
	if len(n.ep.Members) == 0 {
		return
	}
	for _, worker := range sortedKeys(n.cfg.Workers) {
		record := n.cfg.Workers[worker]
		host, ok := n.hosts[worker]
		if !ok {
			continue
		}
		host.Leaving = n.isLeaving(now, worker)
		n.pools[record.Pool] = append(n.pools[record.Pool], minion{host: host, owner: n.ep.First(worker)})
	}
	for pool := range previous {
		if n.pools[pool] == nil {
			n.alloc.SetMinions(now, pool, nil)
			n.router.SetOwners(pool, nil)
		}
	}
	n.findMoving(now)
	for _, pool := range sortedKeys(n.pools) {
		minions := n.pools[pool]
		n.alloc.SetMinions(now, pool, n.grantable(now, minions))
		n.router.SetOwners(pool, n.slotOwners(pool, minions))
	}
	n.rebalanceAll(now)
	n.issueGrants(now)
}

// findMoving finds the workers that still run requests of a pool that they have left.
// Slots are counted by pool, so this host grants no slots of such a worker in its new pool
// before these requests have ended.
func (n *Node) findMoving(now time.Time) {
	n.moving, n.lastMoveCheck = make(map[string]bool), now
	for _, held := range n.alloc.Table(now, func(string) bool { return true }).Grants {
		if g := held.Grant; !n.mutation.ignoreMoves && n.cfg.Workers[g.Minion].Pool != g.Service {
			n.moving[g.Minion] = true
		}
	}
}

func (n *Node) grantable(now time.Time, minions []minion) []slot.Target {
	var targets []slot.Target
	for _, m := range minions {
		if m.owner.ID() == n.id && !n.moving[m.host.Worker] && n.table.MayGrant(now, m.host.Worker) {
			targets = append(targets, slot.Target{
				Name: m.host.Worker, Zone: m.host.Zone, Slots: m.host.Slots, Leaving: m.host.Leaving,
			})
		}
	}
	return targets
}

// slotOwners returns the owners of a pool's minions, with their usable and free slots.
func (n *Node) slotOwners(pool string, minions []minion) []router.Owner {
	byHost := make(map[string]*router.Owner)
	for _, m := range minions {
		if m.host.Leaving {
			continue
		}
		o := byHost[m.owner.Name]
		if o == nil {
			o = &router.Owner{Host: m.owner.Name, SameZone: m.owner.Zone == n.self.Zone}
			byHost[m.owner.Name] = o
		}
		o.Usable += m.host.Slots
	}
	var owners []router.Owner
	for _, name := range slices.Sorted(maps.Keys(byHost)) {
		o := *byHost[name]
		o.Free = o.Usable
		if name == n.self.Name {
			o.Free = n.alloc.Free(pool)
		}
		owners = append(owners, o)
	}
	return owners
}

// tickOwnership requests the missing grant tables from the other members.
func (n *Node) tickOwnership(now time.Time) {
	for _, id := range n.table.Pending() {
		n.sendTo(epoch.ID(id), kindOwnerSyncRequest, ownerSyncRequest{Epoch: n.table.Epoch()})
	}
	if n.table.Complete(now) != n.tableComplete || len(n.moving) > 0 && now.Sub(n.lastMoveCheck) >= moveCheckInterval {
		n.rebuildPools(now)
	}
}

func (n *Node) onOwnerSyncRequest(now time.Time, from string, request ownerSyncRequest) {
	if request.Epoch != n.table.Epoch() {
		return
	}
	newOwner := n.member(from)
	table := n.alloc.Table(now, func(minion string) bool { return n.ep.First(minion).Name == from })
	n.sendTo(newOwner.ID(), kindOwnerSync, ownerSync{Epoch: request.Epoch, Table: table})
}

func (n *Node) onOwnerSync(now time.Time, from string, sync ownerSync) {
	if sync.Epoch != n.table.Epoch() {
		return
	}
	n.alloc.Adopt(now, sync.Table)
	n.table.MarkSynced(string(n.member(from).ID()), sync.Epoch)
	if n.table.Complete(now) != n.tableComplete {
		n.rebuildPools(now)
	}
}

func (n *Node) member(name string) epoch.Member {
	for _, m := range n.ep.Members {
		if m.Name == name {
			return m
		}
	}
	return epoch.Member{}
}

// isLeaving reports whether the host list, the configuration or the minion itself says that
// the minion is leaving, or its availability zone is under evacuation.
func (n *Node) isLeaving(now time.Time, worker string) bool {
	if n.mutation.ignoreLeaving {
		return false
	}
	return n.inEvacuatedZone(worker) || n.hosts[worker].Leaving || n.cfg.Workers[worker].Leaving || now.Sub(n.leavingSignals[worker]) < leavingSignalTTL
}

// inEvacuatedZone reports whether the availability zone of a minion is under evacuation. The host
// list goes before the configuration, as for all failure domains.
func (n *Node) inEvacuatedZone(worker string) bool {
	zone := n.hosts[worker].Zone
	if zone == "" {
		zone = n.cfg.Workers[worker].Zone
	}
	return n.cfg.Evacuated(zone)
}

// Leaving records a minion's own signal that it is leaving, because the host list lags.
func (n *Node) Leaving(now time.Time, worker string) {
	n.mu.Lock()
	defer n.flush(now)
	n.leavingSignals[worker] = now
	n.rebuildPools(now)
}

// Owns reports whether this host may grant the slots of a worker now.
func (n *Node) Owns(now time.Time, worker string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.MayGrant(now, worker)
}

// expireLeavingSignals removes expired leaving signals and reports whether there were any.
func (n *Node) expireLeavingSignals(now time.Time) bool {
	before := len(n.leavingSignals)
	maps.DeleteFunc(n.leavingSignals, func(_ string, signalled time.Time) bool { return now.Sub(signalled) >= leavingSignalTTL })
	return len(n.leavingSignals) < before
}
