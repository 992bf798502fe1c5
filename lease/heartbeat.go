package lease

import (
	"time"

	"egretdrum.example/epoch"
)

// Heartbeat returns the next heartbeat for a peer. It grants a lease if the peer is a member,
// has sent a heartbeat since the last grant and is not being reclaimed. A host that is stopping
// grants none, so that it can leave soon.
func (l *Lease) Heartbeat(now time.Time, to epoch.ID) Heartbeat {
	p := l.peer(to)
	p.lastSent++
	p.sentAt[p.lastSent%sentHistory] = now
	b := Heartbeat{Number: p.lastSent, Epoch: l.ep.Number, Config: l.config, Echo: p.lastReceived, Reclaiming: p.reclaiming}
	if p.lastReceived > p.lastGranted && l.ep.Has(to) && !l.stopped && (!p.reclaiming || l.mutation.grantAfterConfirm) {
		p.lastGranted, p.grantedAt, b.Granted = p.lastReceived, now, true
	}
	return b
}

// ReceiveHeartbeat handles a heartbeat from a peer.
func (l *Lease) ReceiveHeartbeat(now time.Time, from epoch.ID, b Heartbeat) {
	if !l.ep.Has(from) && b.Epoch <= l.ep.Number {
		return
	}
	p := l.peer(from)
	p.lastReceived = max(p.lastReceived, b.Number)
	p.seenEpoch = max(p.seenEpoch, b.Epoch)
	if !b.Granted || b.Echo > p.lastSent || b.Echo+sentHistory <= p.lastSent {
		return
	}
	until := p.sentAt[b.Echo%sentHistory].Add(HolderTTL)
	if l.mutation.countFromAnswer {
		until = now.Add(HolderTTL)
	}
	if until.After(p.pending.until) {
		p.pending = grant{until: until, epoch: b.Epoch, config: b.Config}
	}
	l.updateAdmission()
}

// Confirm answers a request to confirm a reclaim. It refuses while a lease granted to a lost
// member may be outstanding, including one that the previous incarnation of this host granted.
// After a confirmation the lost members get no lease until a later epoch is adopted. The
// caller adds the frozen edges of the credits.
func (l *Lease) Confirm(now time.Time, request epoch.ReclaimRequest) (epoch.ReclaimConfirmation, bool) {
	if request.Number != l.ep.Number || !l.ep.Has(l.self) || !l.mayConfirm(now, request) {
		return epoch.ReclaimConfirmation{}, false
	}
	c := epoch.ReclaimConfirmation{Member: l.self, Number: request.Number, Lost: request.Lost, Seen: make(map[epoch.ID]uint64)}
	for _, id := range request.Lost {
		if !l.ep.Has(id) {
			continue
		}
		p := l.peer(id)
		p.reclaiming = true
		c.Seen[id] = p.seenEpoch
	}
	return c, true
}

func (l *Lease) mayConfirm(now time.Time, request epoch.ReclaimRequest) bool {
	if now.Sub(l.started) < GranterTTL && !request.Planned && !l.mutation.confirmAtStart {
		return false
	}
	for _, id := range request.Lost {
		if id == l.self {
			return false
		}
		if l.outstanding(now, id) && !request.Planned && !l.mutation.confirmEarly {
			return false
		}
	}
	return true
}

// MayLeave reports whether all leases that this host granted have expired. A planned stop
// waits for that, because members that have left are not asked to confirm a reclaim.
func (l *Lease) MayLeave(now time.Time) bool {
	for id := range l.peers {
		if l.outstanding(now, id) {
			return false
		}
	}
	return now.Sub(l.started) >= GranterTTL
}

func (l *Lease) outstanding(now time.Time, id epoch.ID) bool {
	p := l.peers[id]
	return p != nil && !p.grantedAt.IsZero() && now.Sub(p.grantedAt) < GranterTTL
}

func (l *Lease) peer(id epoch.ID) *peer {
	p := l.peers[id]
	if p == nil {
		p = &peer{}
		l.peers[id] = p
	}
	return p
}
