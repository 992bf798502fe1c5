package lease

import "time"

// StoreCreated reports a new store lease that was requested at the given time. It does not
// count before StoreConfirmed, because a reclaim may be in progress that was started when the
// previous lease had expired.
func (l *Lease) StoreCreated(sent time.Time) {
	l.store = storeLease{unconfirmedUntil: sent.Add(HolderTTL)}
	if l.mutation.useUnconfirmedStore {
		l.StoreConfirmed()
	}
}

// StoreConfirmed reports that an epoch step of this host (Join or Touch) that was started
// after the creation of the store lease has succeeded.
func (l *Lease) StoreConfirmed() {
	l.store.confirmed = true
	l.store.confirmedUntil = l.store.unconfirmedUntil
	l.updateAdmission()
}

// StoreRenewed reports a successful renewal, counted from the time the request was sent.
func (l *Lease) StoreRenewed(sent time.Time) {
	until := sent.Add(HolderTTL)
	if until.After(l.store.unconfirmedUntil) {
		l.store.unconfirmedUntil = until
	}
	if l.store.confirmed {
		l.StoreConfirmed()
	}
}

// StoreExpired reports that the store no longer has the lease, so a new one is needed.
func (l *Lease) StoreExpired() {
	l.store = storeLease{}
	l.updateAdmission()
}
