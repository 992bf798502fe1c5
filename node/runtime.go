package node

import "time"

// runTime follows the run times of one flow's requests.
type runTime struct {
	mean, deviation time.Duration
}

// weight of a new run time in the averages: 1/8, and 1/4 for the deviation, as in the
// usual estimators of round trip times.
const (
	meanShift      = 3
	deviationShift = 2
)

func (r *runTime) add(d time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = d, d/2
		return
	}
	diff := d - r.mean
	r.mean += diff >> meanShift
	r.deviation += (max(diff, -diff) - r.deviation) >> deviationShift
}

// late reports whether a call has waited for longer than it has left, and has less left
// than requests usually run. Without the first condition, one estimate above all timeouts
// would refuse everything for ever, also while slots are free.
func (c *Call) late(now time.Time, usual time.Duration) bool {
	left := c.Deadline.Sub(now)
	return left < usual && left < now.Sub(c.submitted)
}

// lower reduces the estimate by 1/32 after a request was refused because of it.
func (r *runTime) lower() {
	r.mean -= r.mean >> 5
	r.deviation -= r.deviation >> 5
}

// usual is a time in which most requests end; 0 before the first one ended.
func (r *runTime) usual() time.Duration {
	if r == nil {
		return 0
	}
	return r.mean + 2*r.deviation
}
