// Package credit splits the upper limit of each team into credits that entry hosts hold
// and transfer to each other. A running request uses one credit.
//
// The sum of usable credits never exceeds the limit, for these reasons:
//
//   - Credits are minted only by a compare-and-swap of the epoch document. A giver
//     subtracts before it sends, and a receiver adds the difference to the last total it
//     knew, so a transfer may withhold credits for a time but never creates any.
//   - Minted credits become usable after every member has reported an epoch that
//     contains them. So no usable credit is missing from the total that another member
//     computes from its own epoch: minted less the burns that it knows of. A member whose
//     total exceeds the limit that it knows starts no request.
//   - A reclaim needs the frozen edges of every remaining member with the lost ones, so
//     what the lost ones held is computed exactly, and is usable only after the time by
//     which their requests must have ended. A burn that no member knows of makes the
//     result too large, but the totals that members compute contain that surplus as well.
//   - A host removed from the epoch cannot admit: the lease package ensures that.
package credit

import (
	"iter"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"egretdrum.example/epoch"
)

const (
	// TickInterval is how often the control loop calls Tick.
	TickInterval = 50 * time.Millisecond
	// reportInterval is the time between two messages that repeat something to a peer: one
	// heartbeat interval.
	reportInterval = 250 * time.Millisecond
	// keepAliveInterval is the time between two messages to a peer without news. It is a
	// third of lostAfter, so that two lost messages do not change the coordinator.
	keepAliveInterval = time.Second
	// hintInterval is the time after which an unchanged number of free credits is sent
	// again.
	hintInterval = 10 * time.Second
	// requestRetryInterval is the time after which an unanswered request for credits is repeated.
	requestRetryInterval = 100 * time.Millisecond
	// idleAfter is the time without demand after which a host gives all of its free credits
	// to a peer that requests them.
	idleAfter = time.Second
	// lostAfter is the time without a message after which a peer does not count as live.
	lostAfter = 3 * time.Second
)

// Ledger holds the credits of all teams at one entry host. Acquire, Release and
// SetWaiting are safe for concurrent use; the control loop owns all other methods.
type Ledger struct {
	accounts atomic.Pointer[map[string]*account]
	self     epoch.ID
	ep       *epoch.Epoch
	peers    map[epoch.ID]*peer
	leaving  bool
	mutation mutation
}

// peer is what this host knows of another member.
type peer struct {
	epoch        uint64 // the highest one that the peer has reported
	lastReceived time.Time
	lastSent     time.Time
	sentEpoch    uint64 // in the last message to the peer
	leaving      bool
	frozen       bool // a reclaim of the peer was confirmed
}

// mutation switches off single rules. Only tests set it, for mutation testing.
type mutation struct {
	addTotals, admitAboveLimit, useMintAtOnce, useRecoveredAtOnce, ignoreFreeze, keepGiven bool
}

// New returns an empty ledger.
func New(self epoch.ID) *Ledger {
	l := &Ledger{self: self, ep: &epoch.Epoch{}, peers: make(map[epoch.ID]*peer)}
	l.accounts.Store(&map[string]*account{})
	return l
}

// Acquire takes one credit for one request of the team.
func (l *Ledger) Acquire(team string) bool {
	a := (*l.accounts.Load())[team]
	return a != nil && a.acquire()
}

// Release returns the credit of a request that has ended.
func (l *Ledger) Release(team string) {
	if a := (*l.accounts.Load())[team]; a != nil {
		a.release()
	}
}

// SetWaiting reports how many requests of the team wait for a credit.
func (l *Ledger) SetWaiting(team string, n int) {
	if a := (*l.accounts.Load())[team]; a != nil {
		a.waiting.Store(int64(n))
	}
}

// Holding returns the credits of the team at this host, used and unused.
func (l *Ledger) Holding(team string) int64 { return l.account(team).holding() }

// Usable returns the credits that Acquire may take now.
func (l *Ledger) Usable(team string) int64 { return max(0, l.account(team).usable.Load()) }

// Running returns the credits in use.
func (l *Ledger) Running(team string) int64 { return l.account(team).running.Load() }

// SetLimits sets the upper limits of all teams. Teams that are missing have limit zero.
// An account above its new limit admits nothing after this call has returned.
func (l *Ledger) SetLimits(limits map[string]int64) {
	l.addMissing(maps.Keys(limits))
	for team, a := range *l.accounts.Load() {
		a.limit = limits[team]
		l.updateBlocked(a)
	}
}

// Adopt replaces the epoch with a newer one: it folds the edges with removed members into
// the accounts and adds what was minted for this host.
func (l *Ledger) Adopt(now time.Time, e *epoch.Epoch) {
	if e.Number <= l.ep.Number {
		return
	}
	since := l.ep.Number
	l.ep = e
	l.addMissing(maps.Keys(e.Minted))
	delay := e.UsableAfter(since)
	for id, p := range l.peers {
		p.frozen = false
		if !e.Has(id) {
			delete(l.peers, id)
		}
	}
	for _, a := range *l.accounts.Load() {
		l.adoptAccount(now, a, delay)
	}
}

func (l *Ledger) adoptAccount(now time.Time, a *account, delay time.Duration) {
	a.rank, a.total = l.rank(a.team), l.ep.Total(a.team)
	for id, e := range a.edges {
		if l.ep.Has(id) {
			continue
		}
		a.cancelReservation(e)
		if !slices.Contains(l.ep.Departed, id) {
			a.minted += e.received - e.given
			delete(a.edges, id)
		}
	}
	added := l.ep.Minted[a.team][l.self] - a.minted
	a.minted += added
	switch {
	case !l.ep.Has(l.self):
		a.setBlocked(true)
		return
	case added < 0:
		a.usable.Add(added)
	case added > 0:
		l.addPending(now, a, batch{n: added, readyAt: now.Add(delay), epoch: l.ep.Number})
	}
	l.updateBlocked(a)
}

func (l *Ledger) addPending(now time.Time, a *account, b batch) {
	if l.mutation.useRecoveredAtOnce {
		b.readyAt = now
	}
	if l.mutation.useMintAtOnce {
		b.epoch = 0
	}
	a.pending = append(a.pending, b)
	l.usePending(now, a)
}

// usePending makes the batches usable whose delay has passed and whose epoch every member
// has reported.
func (l *Ledger) usePending(now time.Time, a *account) {
	a.pending = slices.DeleteFunc(a.pending, func(b batch) bool {
		ready := !now.Before(b.readyAt) && l.allReported(b.epoch)
		if ready {
			a.usable.Add(b.n)
		}
		return ready
	})
}

func (l *Ledger) allReported(number uint64) bool {
	return !slices.ContainsFunc(l.ep.Members, func(m epoch.Member) bool {
		id := m.ID()
		return id != l.self && l.peer(id).epoch < number
	})
}

// Freeze returns the edges with the lost members for the confirmation of a reclaim.
// Transfers to and from them are refused until a later epoch is adopted.
func (l *Ledger) Freeze(request epoch.ReclaimRequest) ([]epoch.Edge, bool) {
	if request.Number != l.ep.Number || slices.Contains(request.Lost, l.self) {
		return nil, false
	}
	var edges []epoch.Edge
	for _, id := range request.Lost {
		if l.ep.Has(id) {
			l.peer(id).frozen = !l.mutation.ignoreFreeze
		}
		for team, a := range *l.accounts.Load() {
			e := a.edges[id]
			if e == nil {
				continue
			}
			a.cancelReservation(e)
			if e.given != 0 || e.received != 0 || e.burned != 0 {
				edges = append(edges, epoch.Edge{Team: team, Lost: id, Given: e.given, Received: e.received, Burned: e.burned})
			}
		}
	}
	return edges, true
}

// Leave starts the hand-over before a planned stop: the host admits no more requests and
// passes each credit to a peer as soon as the request that uses it has ended.
func (l *Ledger) Leave() {
	l.leaving = true
	for _, a := range *l.accounts.Load() {
		a.setBlocked(true)
	}
}

// Drained reports whether a leaving host has handed over everything.
func (l *Ledger) Drained() bool {
	for _, a := range *l.accounts.Load() {
		if a.holding() != 0 {
			return false
		}
		for id, e := range a.edges {
			if l.ep.Has(id) && e.given > e.givenAcked {
				return false
			}
		}
	}
	return l.leaving
}

// updateBlocked blocks the account while more credits may exist than its limit allows,
// and while this host leaves or is not a member.
func (l *Ledger) updateBlocked(a *account) {
	over := l.excess(a) > 0 && !l.mutation.admitAboveLimit
	a.setBlocked(over || l.leaving || !l.ep.Has(l.self))
}

func (l *Ledger) excess(a *account) int64 { return a.total - a.knownBurned() - a.limit }

func (l *Ledger) account(team string) *account {
	if a := (*l.accounts.Load())[team]; a != nil {
		return a
	}
	l.addMissing(slices.Values([]string{team}))
	return (*l.accounts.Load())[team]
}

// addMissing adds the accounts that do not exist yet. It copies the map, at most once per
// call, because Acquire reads the map without a lock.
func (l *Ledger) addMissing(teams iter.Seq[string]) {
	var accounts map[string]*account
	for team := range teams {
		if (*l.accounts.Load())[team] != nil {
			continue
		}
		if accounts == nil {
			accounts = maps.Clone(*l.accounts.Load())
		}
		a := &account{team: team, edges: make(map[epoch.ID]*edge), rank: l.rank(team), total: l.ep.Total(team)}
		a.setBlocked(!l.ep.Has(l.self) || l.leaving)
		accounts[team] = a
	}
	if accounts != nil {
		l.accounts.Store(&accounts)
	}
}

func (l *Ledger) rank(team string) []epoch.ID {
	var ids []epoch.ID
	for _, m := range l.ep.Rank(team) {
		ids = append(ids, m.ID())
	}
	return ids
}

func (l *Ledger) peer(id epoch.ID) *peer {
	p := l.peers[id]
	if p == nil {
		p = &peer{}
		l.peers[id] = p
	}
	return p
}
