// Package lease decides whether an entry host may admit work. It may with a store lease that
// has not expired, or with unexpired peer leases from a majority of the members of its epoch.
//
// A peer that granted a lease refuses to confirm a reclaim for 3.3 s of its clock after
// it sent the grant. The holder uses the lease for 3 s of its clock after it sent the
// heartbeat that the grant answers, which is earlier. As long as clock rates differ by at
// most 10%, the holder therefore stops first. Wall clocks are never compared.
package lease

import (
	"slices"
	"sync/atomic"
	"time"

	"egretdrum.example/epoch"
)

const (
	// HolderTTL is how long a holder uses a store lease or a peer lease: 12 heartbeats of
	// 250 ms, so that a pause of 1 s does not stop a healthy host.
	HolderTTL = 3 * time.Second
	// GranterTTL is how long the granting side regards a peer lease as outstanding. It is
	// HolderTTL plus 10% for clocks that run at different rates.
	GranterTTL = 3300 * time.Millisecond
	// StoreTTL is the time to live of a store lease at the store.
	StoreTTL = 4 * time.Second
	// sentHistory is how many sent heartbeats are remembered. At 250 ms each they cover 4 s;
	// grants that answer older ones have expired.
	sentHistory = 16
)

// Heartbeat is the part of a heartbeat message that requests a lease and answers the receiver's
// last heartbeat. Reclaiming tells the receiver that the sender has confirmed a reclaim of the
// receiver; a receiver that is alive then makes an epoch step, which cancels the reclaim. The
// keys of the encoding are numbers because it is sent to each peer four times a second, and names
// made up half of its bytes.
type Heartbeat struct {
	Number     uint64 `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
	Config     uint64 `cbor:"3,keyasint"`
	Echo       uint64 `cbor:"4,keyasint"`
	Granted    bool   `cbor:"5,keyasint"`
	Reclaiming bool   `cbor:"6,keyasint,omitempty"`
}

// Lease is the admission lease of one entry host. MayAdmit is safe for concurrent use;
// the control loop owns all other methods.
type Lease struct {
	self       epoch.ID
	started    time.Time
	admitUntil atomic.Int64
	ep         *epoch.Epoch
	config     uint64
	stopped    bool
	store      storeLease
	peers      map[epoch.ID]*peer
	mutation   mutation
}

type storeLease struct {
	confirmedUntil, unconfirmedUntil time.Time
	confirmed                        bool
}

type peer struct {
	sentAt       [sentHistory]time.Time
	lastSent     uint64 // number of the last heartbeat sent
	lastReceived uint64 // number of the last heartbeat received
	lastGranted  uint64 // number of the received heartbeat that the last grant answered
	seenEpoch    uint64 // highest epoch that the peer has named
	grantedAt    time.Time
	until        time.Time
	pending      grant
	reclaiming   bool
}

// grant is a received lease that does not count until the holder has adopted the epoch and the
// configuration of the granting peer.
type grant struct {
	until         time.Time
	epoch, config uint64
}

// mutation switches off single rules. Only tests set it, for mutation testing. The tests of
// package credit set its fields by reflection, under these names.
type mutation struct {
	countFromAnswer, confirmEarly, confirmAtStart, grantAfterConfirm, useUnconfirmedStore, ignoreConfig bool
}

// New returns the lease of an incarnation that starts now.
func New(now time.Time, self epoch.ID) *Lease {
	return &Lease{self: self, started: now, ep: &epoch.Epoch{}, peers: make(map[epoch.ID]*peer)}
}

// MayAdmit reports whether work may be admitted now. Callers check it at the moment of
// admission, so that a process that was suspended admits nothing on resuming.
func (l *Lease) MayAdmit(now time.Time) bool {
	return int64(now.Sub(l.started)) < l.admitUntil.Load()
}

// Adopt switches to a newer epoch. Confirmations given for earlier epochs are void, because a
// reclaim based on them would have had to happen before this epoch.
func (l *Lease) Adopt(e *epoch.Epoch) {
	if e.Number <= l.ep.Number {
		return
	}
	l.ep = e
	for id, p := range l.peers {
		p.reclaiming = false
		if !e.Has(id) {
			delete(l.peers, id)
		}
	}
	l.updateAdmission()
}

// SetConfig sets the version of the configuration that is in force on this host.
func (l *Lease) SetConfig(version uint64) {
	l.config = max(l.config, version)
	l.updateAdmission()
}

// Stop ends admission permanently, for a planned stop.
func (l *Lease) Stop() {
	l.stopped = true
	l.updateAdmission()
}

// Removed reports whether the adopted epoch does not contain this host.
func (l *Lease) Removed() bool { return l.ep.Number > 0 && !l.ep.Has(l.self) }

// PeerHasNewerEpoch reports whether a heartbeat of the peer named a newer epoch than the adopted
// one, which the caller then fetches.
func (l *Lease) PeerHasNewerEpoch(id epoch.ID) bool {
	p := l.peers[id]
	return p != nil && p.seenEpoch > l.ep.Number
}

// updateAdmission applies the grants that count by now, and recomputes until when this host may
// admit work.
func (l *Lease) updateAdmission() {
	until := l.store.confirmedUntil.Sub(l.started)
	for _, p := range l.peers {
		if p.pending.epoch <= l.ep.Number && (p.pending.config <= l.config || l.mutation.ignoreConfig) && p.pending.until.After(p.until) {
			p.until = p.pending.until
		}
	}
	if !l.ep.Has(l.self) || l.stopped {
		l.admitUntil.Store(0)
		return
	}
	l.admitUntil.Store(int64(max(until, l.majorityExpiry())))
}

// majorityExpiry returns the time at which too few peer leases for a majority remain.
func (l *Lease) majorityExpiry() time.Duration {
	needed := epoch.Majority(len(l.ep.Members)) - 1
	if needed == 0 {
		// A sole member would be its own majority forever and could never be removed from the
		// epoch. It has only its store lease.
		return 0
	}
	ends := make([]time.Duration, 0, len(l.ep.Members))
	for _, m := range l.ep.Members {
		if p := l.peers[m.ID()]; p != nil {
			ends = append(ends, p.until.Sub(l.started))
		}
	}
	if len(ends) < needed {
		return 0
	}
	slices.Sort(ends)
	return ends[len(ends)-needed]
}
