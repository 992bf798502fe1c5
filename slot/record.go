package slot

import "time"

const (
	// deliveryBound is the longest time that a grant takes to its sender: a link that is
	// silent for 2.5 s is closed. A sender binds or releases a grant on arrival.
	deliveryBound = 3 * time.Second
	// longestTimeout bounds the time that a bound grant is in use.
	longestTimeout = 60 * time.Second
	// clockMargin is the part by which clock rates may differ.
	clockMargin = 0.1
)

// accrualPeriod is the interval of accrue, which visits all grants: about 0.2 ms for 8,000
// of them.
const accrualPeriod = 100 * time.Millisecond

// quietPeriod is the time after which all grants of a former owner have ended. A grant
// whose binding or release was lost with a connection is kept for as long, because its
// sender may be using it.
const quietPeriod = deliveryBound + longestTimeout + longestTimeout/10

// record is an outstanding grant.
type record struct {
	id      uint64
	flow    *flow
	claim   *claimant
	minion  *minion
	class   int
	charged float64
	granted time.Time
	ends    time.Time
	bound   bool

	// Place in the wheel.
	step           int32
	next, previous *record
}

// withMargin returns the time at which a period that ends at t by another clock has
// ended by every clock.
func withMargin(now, t time.Time) time.Time {
	left := min(max(0, t.Sub(now)), longestTimeout)
	return now.Add(left + time.Duration(clockMargin*float64(left)))
}

func (a *Allocator) newRecord() *record {
	if n := len(a.spare); n > 0 {
		r := a.spare[n-1]
		a.spare = a.spare[:n-1]
		return r
	}
	return new(record)
}

// hold enters an outstanding grant.
func (a *Allocator) hold(now time.Time, r *record) {
	a.records[r.id] = r
	a.ends.add(now, r)
	r.minion.inUse++
	r.minion.service.seat(now, r.minion)
	if !r.bound {
		r.flow.change(r.claim, r.class, 0, 1)
	}
}

// end takes out a grant and charges its team for the slot time really used.
func (a *Allocator) end(now time.Time, r *record, outcome Outcome) {
	f, m := r.flow, r.minion
	delete(a.records, r.id)
	a.ends.remove(r)
	if !r.bound {
		f.change(r.claim, r.class, -1, -1)
	}
	used := a.rules.used(now, r)
	if outcome != Unused {
		f.observe(used)
	}
	f.charge(used - r.charged)
	m.inUse--
	a.judge(now, m, outcome)
	*r = record{}
	a.spare = append(a.spare, r)
}

// accrue charges grants for use beyond what they were charged when granted. Otherwise a
// team whose requests suddenly run long would get slots at the old price until they end.
func (a *Allocator) accrue(now time.Time) {
	if now.Sub(a.accrued) < accrualPeriod {
		return
	}
	a.accrued = now
	for _, r := range a.ends.steps {
		for ; r != nil; r = r.next {
			if over := a.rules.used(now, r) - r.charged; over > 0 {
				r.charged += over
				a.owe(r.flow, over)
			}
		}
	}
	for _, f := range a.owing {
		f.charge(f.owed)
		f.owed = 0
	}
	a.owing = a.owing[:0]
}

// owe collects the charges of a flow, so that it moves in the order only once.
func (a *Allocator) owe(f *flow, seconds float64) {
	if f.owed == 0 {
		a.owing = append(a.owing, f)
	}
	f.owed += seconds
}

// bind records that the sender uses the grant until the deadline.
func (a *Allocator) bind(now time.Time, r *record, deadline time.Time) {
	if !r.bound {
		r.flow.change(r.claim, r.class, -1, -1)
		r.bound = true
	}
	a.ends.remove(r)
	r.ends = a.rules.boundEnd(now, deadline)
	a.ends.add(now, r)
}
