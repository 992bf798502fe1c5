package credit

import (
	"cmp"
	"slices"
	"time"

	"egretdrum.example/epoch"
)

// Tick is called every TickInterval. It repeats what peers have not acknowledged, requests
// credits for teams with waiting requests, and mints or burns credits of the teams that
// this host coordinates.
func (l *Ledger) Tick(now time.Time) Actions {
	actions := Actions{Mint: make(map[string]int64)}
	if !l.ep.Has(l.self) {
		return actions
	}
	messages := make(map[epoch.ID]*Message, len(l.ep.Members))
	for _, m := range l.ep.Members {
		if id := m.ID(); id != l.self {
			msg := l.message(id)
			messages[id] = &msg
		}
	}
	for _, a := range *l.accounts.Load() {
		l.tickAccount(now, a, messages, actions.Mint)
	}
	for _, m := range l.ep.Members {
		msg := messages[m.ID()]
		if msg == nil || msg.empty() && !l.messageDue(now, l.peer(msg.To)) {
			continue
		}
		p := l.peer(msg.To)
		p.lastSent, p.sentEpoch = now, l.ep.Number
		actions.Messages = append(actions.Messages, *msg)
	}
	return actions
}

// messageDue reports whether a peer needs a message although there is nothing to pass on.
// A new epoch and a planned stop are reported soon, because minted credits wait for the one
// and transfers depend on the other; otherwise the message is only a keep-alive.
func (l *Ledger) messageDue(now time.Time, p *peer) bool {
	interval := keepAliveInterval
	if l.leaving || p.sentEpoch != l.ep.Number {
		interval = reportInterval
	}
	return now.Sub(p.lastSent) >= interval
}

func (l *Ledger) message(to epoch.ID) Message {
	return Message{From: l.self, To: to, Epoch: l.ep.Number, Leaving: l.leaving}
}

func (l *Ledger) tickAccount(now time.Time, a *account, messages map[epoch.ID]*Message, mint map[string]int64) {
	l.usePending(now, a)
	if l.excess(a) != 0 || a.isBlocked {
		l.adjustToLimit(now, a, mint)
	}
	if wanted := l.shortfall(now, a); wanted > 0 {
		l.requestCredits(now, a, wanted, messages)
	}
	l.report(now, a, messages)
}

// report adds to the messages what the peers have not acknowledged, and for teams with
// recent demand the number of free credits. A team without edges costs no time here.
func (l *Ledger) report(now time.Time, a *account, messages map[epoch.ID]*Message) {
	recent := now.Sub(a.lastDemand) < idleAfter
	if recent || a.burned > 0 {
		for id := range messages {
			a.edge(id)
		}
	}
	for id, e := range a.edges {
		msg := messages[id]
		if msg == nil {
			continue
		}
		p := l.peer(id)
		if e.reserved > 0 && !p.frozen {
			a.giveReserved(e)
		}
		if e.given > e.givenAcked {
			msg.Gives = append(msg.Gives, Amount{a.team, e.given})
		}
		if a.burned > e.burnAcked {
			msg.Burns = append(msg.Burns, Amount{a.team, a.burned})
		}
		if free := max(0, a.usable.Load()); recent && now.Sub(p.lastSent) >= reportInterval && e.shouldReportFree(now, free) {
			e.reportedFree, e.reportedAt = free, now
			msg.Free = append(msg.Free, Amount{a.team, free})
		}
	}
}

// adjustToLimit brings the credits of a team to its limit. A blocked account passes its free
// credits to the coordinator.
func (l *Ledger) adjustToLimit(now time.Time, a *account, mint map[string]int64) {
	l.burnPending(now, a)
	coordinator := l.coordinator(now, a)
	if coordinator == l.self {
		l.mintOrBurn(a, mint)
	} else if a.isBlocked {
		l.give(a, coordinator, a.free())
	}
}

// mintOrBurn mints up to the limit or burns down to it. Two hosts that both regard
// themselves as coordinator may burn too much; the difference is then minted again.
func (l *Ledger) mintOrBurn(a *account, mint map[string]int64) {
	excess := l.excess(a)
	if excess < 0 && !l.leaving {
		mint[a.team] = -excess
		return
	}
	a.burned += a.take(max(0, excess))
	l.updateBlocked(a)
}

// burnPending burns credits above the limit that were minted but are not usable yet. Any
// host may do that without the coordinator, because they were never usable. Otherwise a
// member that never reports the epoch could keep the account blocked.
func (l *Ledger) burnPending(now time.Time, a *account) {
	for i := range a.pending {
		b := &a.pending[i]
		if n := min(b.n, l.excess(a)); n > 0 && !now.Before(b.readyAt) {
			b.n -= n
			a.burned += n
		}
	}
	l.updateBlocked(a)
}

// coordinator returns the first live member in the rendezvous order of the team.
func (l *Ledger) coordinator(now time.Time, a *account) epoch.ID {
	for _, id := range a.rank {
		if id == l.self && !l.leaving {
			return id
		}
		if p := l.peers[id]; id != l.self && p != nil && !p.lastReceived.IsZero() && now.Sub(p.lastReceived) < lostAfter && l.mayGive(id) {
			return id
		}
	}
	return l.self
}

// shortfall returns how many credits are missing and records the time of the last demand.
func (l *Ledger) shortfall(now time.Time, a *account) int64 {
	misses, waiting := a.misses.Swap(0), a.waiting.Load()
	if a.acquireCalled.Swap(false) || misses > 0 || waiting > 0 || a.running.Load() > 0 {
		a.lastDemand = now
	}
	if a.isBlocked {
		return 0
	}
	return min(max(misses, waiting)-max(0, a.usable.Load()), a.limit-a.holding())
}

// requestCredits requests credits from the peers that have reported free ones, beginning
// with the one that has most, and if those do not suffice, from all others.
func (l *Ledger) requestCredits(now time.Time, a *account, wanted int64, messages map[epoch.ID]*Message) {
	ids := make([]epoch.ID, 0, len(messages))
	for id := range messages {
		if e := a.edge(id); now.Sub(e.requestedAt) < requestRetryInterval {
			wanted -= e.requested
		} else if l.mayGive(id) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y epoch.ID) int {
		return cmp.Or(cmp.Compare(a.edge(y).peerFree, a.edge(x).peerFree), cmp.Compare(x, y))
	})
	for _, id := range ids {
		e := a.edge(id)
		if wanted <= 0 {
			return
		}
		n := wanted
		if e.peerFree > 0 {
			n = min(wanted, e.peerFree)
			wanted -= n
		}
		e.requestedAt, e.requested, e.peerFree = now, min(n, e.peerFree), 0
		messages[id].Requests = append(messages[id].Requests, Request{Team: a.team, Wanted: n, Holding: a.holding()})
	}
}
