package credit

import (
	"sync/atomic"
	"time"

	"egretdrum.example/epoch"
)

// blockedOffset is subtracted from the usable credits of a blocked account. The blocked
// state and the count share one atomic word, so that no Acquire succeeds while an account
// is blocked.
const blockedOffset = int64(1) << 40

// account holds the credits of one team at this host. The atomic fields are also used by
// the goroutines of the callers, the other fields only by the control loop.
type account struct {
	usable        atomic.Int64
	running       atomic.Int64
	misses        atomic.Int64 // Acquire calls without a free credit since the last tick
	waiting       atomic.Int64
	acquireCalled atomic.Bool // since the last tick

	team       string
	limit      int64
	isBlocked  bool
	minted     int64 // for this host in the adopted epoch
	total      int64 // for all hosts in the adopted epoch
	pending    []batch
	edges      map[epoch.ID]*edge
	reserved   int64      // for all peers
	burned     int64      // by this host
	rank       []epoch.ID // the members in the rendezvous order of the team
	lastDemand time.Time
}

// edge is the state between this host and one peer. The transfers and burns are totals
// since both became members.
type edge struct {
	given, received     int64
	givenAcked          int64
	burned              int64 // by the peer, as far as it has reported
	burnAcked           int64
	peerFree, requested int64
	requestedAt         time.Time
	reserved            int64 // credits that go to the peer when their requests have ended
	reportedFree        int64 // the number of free credits last sent to the peer
	reportedAt          time.Time
}

// shouldReportFree reports whether to send the number of free credits to the peer. The
// peer only uses it to choose whom to ask first, so changes of up to a quarter are not
// worth a message. An old number is repeated, because its message may have been lost.
func (e *edge) shouldReportFree(now time.Time, free int64) bool {
	difference := free - e.reportedFree
	return now.Sub(e.reportedAt) >= hintInterval ||
		(free == 0) != (e.reportedFree == 0) || 4*max(difference, -difference) > e.reportedFree
}

// batch is a number of credits that were added to the account but are not usable yet.
type batch struct {
	n       int64
	readyAt time.Time
	epoch   uint64
}

func (a *account) acquire() bool {
	if !a.acquireCalled.Load() {
		a.acquireCalled.Store(true)
	}
	for {
		n := a.usable.Load()
		if n <= 0 {
			a.misses.Add(1)
			return false
		}
		if a.usable.CompareAndSwap(n, n-1) {
			a.running.Add(1)
			return true
		}
	}
}

func (a *account) release() {
	a.running.Add(-1)
	a.usable.Add(1)
}

// free returns the credits that are neither in use nor reserved. It is negative
// while credits in use are reserved for peers.
func (a *account) free() int64 {
	n := a.usable.Load()
	if a.isBlocked {
		n += blockedOffset
	}
	return n
}

// take removes up to n free credits from the account.
func (a *account) take(n int64) int64 {
	offset := int64(0)
	if a.isBlocked {
		offset = blockedOffset
	}
	for {
		v := a.usable.Load()
		got := min(n, v+offset)
		if got <= 0 {
			return 0
		}
		if a.usable.CompareAndSwap(v, v-got) {
			return got
		}
	}
}

func (a *account) setBlocked(b bool) {
	if b == a.isBlocked {
		return
	}
	a.isBlocked = b
	if b {
		a.usable.Add(-blockedOffset)
		return
	}
	a.usable.Add(blockedOffset)
}

func (a *account) edge(id epoch.ID) *edge {
	e := a.edges[id]
	if e == nil {
		e = &edge{}
		a.edges[id] = e
	}
	return e
}

// holding returns all credits of the account: free, reserved, in use and not yet usable.
func (a *account) holding() int64 {
	n := a.free() + a.reserved + a.running.Load()
	for _, b := range a.pending {
		n += b.n
	}
	return n
}

func (a *account) knownBurned() int64 {
	n := a.burned
	for _, e := range a.edges {
		n += e.burned
	}
	return n
}
