package node

import (
	"slices"
	"time"

	"egretdrum.example/claim"
	"egretdrum.example/credit"
	"egretdrum.example/epoch"
)

// Decoder decodes the body of a received message into v.
type Decoder func(v any) error

// Receive handles one message of a peer. It returns false for an unknown kind. An error means
// that the message could not be decoded and had no effect.
func (n *Node) Receive(now time.Time, from epoch.ID, kind string, decode Decoder) (known bool, err error) {
	switch kind {
	case kindHeartbeat:
		return true, handle(n, now, decode, func(m heartbeat) { n.onHeartbeat(now, from, m) })
	case kindEpoch:
		return true, n.onEpoch(now, decode)
	case kindCredit:
		return true, handle(n, now, decode, func(m credit.Message) { n.onCredit(now, from, m) })
	case kindSlots:
		return true, handle(n, now, decode, func(m slotsMessage) { n.onSlots(now, from, m) })
	case kindGrants:
		return true, handle(n, now, decode, func(m grantsMessage) { n.onGrants(now, from.Name(), m) })
	case kindGrantsCheck:
		return true, handle(n, now, decode, func(m grantsCheck) { n.onGrantsCheck(from.Name(), m) })
	case kindOwnerSyncRequest:
		return true, handle(n, now, decode, func(m ownerSyncRequest) { n.onOwnerSyncRequest(now, from.Name(), m) })
	case kindOwnerSync:
		return true, handle(n, now, decode, func(m ownerSync) { n.onOwnerSync(now, from.Name(), m) })
	case kindHandOver:
		return true, handle(n, now, decode, func(m handOver) { n.onHandOver(now, from, m) })
	case kindHandOverAck:
		return true, handle(n, now, decode, func(handOverAck) { delete(n.pendingHandOvers, from.Name()) })
	case kindReclaimRequest:
		return true, handle(n, now, decode, func(m epoch.ReclaimRequest) { n.onReclaimRequest(now, from, m) })
	case kindReclaimConfirm:
		return true, handle(n, now, decode, func(m reclaimConfirm) { n.onReclaimConfirm(from, m) })
	default:
		return n.receiveClaimMessage(now, from, kind, decode)
	}
}

func (n *Node) receiveClaimMessage(now time.Time, from epoch.ID, kind string, decode Decoder) (known bool, err error) {
	switch kind {
	case kindClaim:
		return true, handle(n, now, decode, func(m claimMessage) { n.onClaim(now, from.Name(), m) })
	case kindClaimReply:
		return true, handle(n, now, decode, func(m claimReply) { n.onClaimReply(now, from.Name(), m.Missing, m.Reply) })
	case kindClaimEnd:
		return true, handle(n, now, decode, func(m claimEnd) { n.onClaimEnd(now, m) })
	case kindClaimSyncRequest:
		return true, handle(n, now, decode, func(m claimSyncRequest) { n.onClaimSyncRequest(now, from.Name(), m) })
	case kindClaimSync:
		return true, handle(n, now, decode, func(m claim.TransferBatch) { n.onClaimSync(now, from.Name(), m) })
	default:
		return false, nil
	}
}

// handle decodes a message and calls f with it under the lock.
func handle[M any](n *Node, now time.Time, decode Decoder, f func(M)) error {
	var m M
	if err := decode(&m); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.flush(now)
	f(m)
	return nil
}

func (n *Node) onHeartbeat(now time.Time, from epoch.ID, m heartbeat) {
	n.lease.ReceiveHeartbeat(now, from, m.Lease)
	p := n.peers[from.Name()]
	if p == nil || !n.ep.Has(from) {
		return
	}
	p.heartbeatReceived, p.syncedMemberList, p.configVersion = now, m.Synced, m.Lease.Config
	if m.Lease.Reclaiming && m.Lease.Epoch == n.ep.Number {
		n.reclaimConfirmedEpoch = n.ep.Number
	}
	n.router.ReceiveHeartbeat(from.Name())
	for _, s := range m.Free {
		n.router.Report(s.Pool, from.Name(), s.Free)
	}
}

func (n *Node) onCredit(now time.Time, from epoch.ID, m credit.Message) {
	if m.From != from {
		return
	}
	for _, reply := range n.ledger.Receive(now, m) {
		n.sendTo(reply.To, kindCredit, reply)
	}
	n.rebalanceAll(now)
	n.issueGrants(now)
}

func (n *Node) onEpoch(now time.Time, decode Decoder) error {
	var m epochMessage
	if err := decode(&m); err != nil {
		return err
	}
	e, err := epoch.Decode(m.Document)
	if err != nil {
		return err
	}
	n.AdoptEpoch(now, e)
	return nil
}

// tickPeers sends the heartbeats that are due, and drops the demand of peers that count as
// lost.
func (n *Node) tickPeers(now time.Time) {
	free := n.freeSlots()
	for _, m := range n.ep.Members {
		p := n.peers[m.Name]
		if p == nil || now.Sub(p.heartbeatSent) < HeartbeatInterval {
			continue
		}
		p.heartbeatSent = now
		n.sendTo(m.ID(), kindHeartbeat, heartbeat{
			Lease: n.lease.Heartbeat(now, m.ID()), Free: p.changedFreeSlots(free), Synced: n.syncedMemberList(),
		})
		if n.lost(now, m.Name) {
			n.alloc.DropHost(now, string(m.ID()))
		}
	}
}

func (n *Node) lost(now time.Time, name string) bool {
	p := n.peers[name]
	return p != nil && now.Sub(p.heartbeatReceived) >= peerLossTimeout
}

func (n *Node) freeSlots() []poolSlots {
	var free []poolSlots
	for _, pool := range sortedKeys(n.pools) {
		if slices.ContainsFunc(n.pools[pool], func(m minion) bool { return m.owner.Name == n.self.Name }) {
			free = append(free, poolSlots{Pool: pool, Free: n.alloc.Free(pool)})
		}
	}
	return free
}

// changedFreeSlots returns the pools whose number of free slots differs from the one sent
// last, and records the new numbers as sent.
func (p *peerState) changedFreeSlots(free []poolSlots) []poolSlots {
	var changed []poolSlots
	for _, s := range free {
		if last, ok := p.sentFreeSlots[s.Pool]; !ok || last != s.Free {
			p.sentFreeSlots[s.Pool] = s.Free
			changed = append(changed, s)
		}
	}
	return changed
}

// PeerHasNewerEpoch reports whether a peer reported a newer epoch than the adopted one.
func (n *Node) PeerHasNewerEpoch() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.ep.Members, func(m epoch.Member) bool { return n.lease.PeerHasNewerEpoch(m.ID()) })
}

// Reclaiming reports whether a peer has confirmed the reclaim of this host from the
// adopted epoch. The host then makes an epoch step, which proves that it is alive.
func (n *Node) Reclaiming() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reclaimConfirmedEpoch > 0 && n.reclaimConfirmedEpoch == n.ep.Number
}

// Peers returns the names of the other members: those that sent a heartbeat within
// peerLossTimeout, and those that count as lost.
func (n *Node) Peers(now time.Time) (live, lost []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.ep.Members {
		switch {
		case m.Name == n.self.Name:
		case n.lost(now, m.Name):
			lost = append(lost, m.Name)
		default:
			live = append(live, m.Name)
		}
	}
	return live, lost
}

// StoreCreated reports that the host created a new lease at the store. Package lease
// describes this method and the following three.
func (n *Node) StoreCreated(sent time.Time) { n.withLock(func() { n.lease.StoreCreated(sent) }) }

// StoreConfirmed reports that the new lease is valid.
func (n *Node) StoreConfirmed() { n.withLock(n.lease.StoreConfirmed) }

// StoreRenewed reports a renewal; the lease counts from the time the renewal was sent.
func (n *Node) StoreRenewed(sent time.Time) { n.withLock(func() { n.lease.StoreRenewed(sent) }) }

// StoreExpired reports that the store has no lease of this host.
func (n *Node) StoreExpired() { n.withLock(n.lease.StoreExpired) }

func (n *Node) withLock(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// syncedMemberList returns the number of the current member list once all request ids for it
// have arrived, and 0 before.
func (n *Node) syncedMemberList() uint64 {
	if !n.claims.registry.Ready() {
		return 0
	}
	return n.claims.memberList
}

// allPeersSynced reports whether every live peer has all request ids that it is a witness of.
// A planned stop waits for this, so that no id is only registered at a host that stops.
func (n *Node) allPeersSynced(now time.Time) bool {
	for name, p := range n.peers {
		if p.syncedMemberList != n.claims.memberList && !n.lost(now, name) {
			return false
		}
	}
	return true
}

// Connect sets Send and Publish, and publishes the adopted epoch. It is called once, before
// the first Tick.
func (n *Node) Connect(send func(peer, kind string, body any) error, publish func(*epoch.Epoch)) {
	n.mu.Lock()
	n.Send, n.Publish = send, publish
	e := n.ep
	n.mu.Unlock()
	publish(e)
}

// NewerConfig returns the peers that have a newer configuration than version, with the
// version that they have.
func (n *Node) NewerConfig(version uint64) map[string]uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var newer map[string]uint64
	for name, p := range n.peers {
		if p.configVersion > version {
			if newer == nil {
				newer = make(map[string]uint64)
			}
			newer[name] = p.configVersion
		}
	}
	return newer
}

// ConfigOf returns the configuration version that a peer last reported.
func (n *Node) ConfigOf(name string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[name]; p != nil {
		return p.configVersion
	}
	return 0
}

// ShareEpoch sends the adopted epoch to all peers.
func (n *Node) ShareEpoch() {
	n.mu.Lock()
	defer n.mu.Unlock()
	b, err := n.ep.Encode()
	if err != nil {
		return
	}
	for _, m := range n.ep.Members {
		if m.Name != n.self.Name {
			n.sendTo(m.ID(), kindEpoch, epochMessage{Document: b})
		}
	}
}
