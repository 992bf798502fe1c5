package slot

import "time"

const (
	// maxDelivery is the maximum delay until a grant arrives at its sender: a link on which
	// nothing is received for 2.5 s is closed. A sender binds or releases a grant on arrival.
	maxDelivery = 3 * time.Second
	// maxTimeout is the maximum time for which a bound grant is in use.
	maxTimeout = 60 * time.Second
	// clockMargin is the fraction by which clock rates may differ.
	clockMargin = 0.1
)

// accrualPeriod is the minimum interval between runs of accrue, which visits all grants:
// about 0.2 ms for 8,000 of them.
const accrualPeriod = 100 * time.Millisecond

// quietPeriod is the time after which all grants of a previous owner have ended. An unbound
// grant is kept for the same time: its binding or release may have been lost with a
// connection, and its sender may be using it.
const quietPeriod = maxDelivery + maxTimeout + maxTimeout/10

// grantRecord is an outstanding grant.
type grantRecord struct {
	id          uint64
	flow        *flow
	hostDemand  *hostDemand
	minion      *minion
	class       int
	chargedTime float64
	grantedAt   time.Time
	expiresAt   time.Time
	bound       bool

	// Bucket of the timing wheel and neighbours in its list.
	bucket         int32
	next, previous *grantRecord
}

// expiryWithMargin returns the time at which a period that ends at t has surely ended by the
// clock of every host, whose rates may differ. The period is capped at maxTimeout.
func expiryWithMargin(now, t time.Time) time.Time {
	left := min(max(0, t.Sub(now)), maxTimeout)
	return now.Add(left + time.Duration(clockMargin*float64(left)))
}

func (a *Allocator) newRecord() *grantRecord {
	if n := len(a.freeRecords); n > 0 {
		r := a.freeRecords[n-1]
		a.freeRecords = a.freeRecords[:n-1]
		return r
	}
	return new(grantRecord)
}

// addGrant adds an outstanding grant.
func (a *Allocator) addGrant(now time.Time, r *grantRecord) {
	a.records[r.id] = r
	a.expiry.add(now, r)
	r.minion.inUse++
	r.minion.service.updateFree(now, r.minion)
	if !r.bound {
		r.flow.adjust(r.hostDemand, r.class, 0, 1)
	}
}

// endGrant removes a grant and charges its team for the slot time that it used.
func (a *Allocator) endGrant(now time.Time, r *grantRecord, outcome Outcome) {
	f, m := r.flow, r.minion
	delete(a.records, r.id)
	a.expiry.remove(r)
	if !r.bound {
		f.adjust(r.hostDemand, r.class, -1, -1)
	}
	slotTime := a.rules.slotTime(now, r)
	if outcome != Unused {
		f.observeSlotTime(slotTime)
	}
	f.charge(slotTime - r.chargedTime)
	m.inUse--
	a.applyOutcome(now, m, outcome)
	*r = grantRecord{}
	a.freeRecords = append(a.freeRecords, r)
}

// accrue charges teams for the slot time of running requests beyond what was charged so far.
// Otherwise a team whose requests suddenly run longer would get more slots at the old mean
// slot time until they end.
func (a *Allocator) accrue(now time.Time) {
	if now.Sub(a.lastAccrual) < accrualPeriod {
		return
	}
	a.lastAccrual = now
	for _, r := range a.expiry.buckets {
		for ; r != nil; r = r.next {
			if excess := a.rules.slotTime(now, r) - r.chargedTime; excess > 0 {
				r.chargedTime += excess
				a.addAccrued(r.flow, excess)
			}
		}
	}
	for _, f := range a.accruedFlows {
		f.charge(f.accruedTime)
		f.accruedTime = 0
	}
	a.accruedFlows = a.accruedFlows[:0]
}

// addAccrued adds to the slot time that accrue charges to the flow, so that the flow's position
// in the order is updated only once.
func (a *Allocator) addAccrued(f *flow, seconds float64) {
	if f.accruedTime == 0 {
		a.accruedFlows = append(a.accruedFlows, f)
	}
	f.accruedTime += seconds
}

// bind records that the sender uses the grant until the deadline.
func (a *Allocator) bind(now time.Time, r *grantRecord, deadline time.Time) {
	if !r.bound {
		r.flow.adjust(r.hostDemand, r.class, -1, -1)
		r.bound = true
	}
	a.expiry.remove(r)
	r.expiresAt = a.rules.boundExpiry(now, deadline)
	a.expiry.add(now, r)
}
