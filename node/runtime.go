package node

import "time"

// runTime estimates the run time of one flow's requests.
type runTime struct {
	mean, deviation time.Duration
}

// A new run time has a weight of 1/8 in the mean and of 1/4 in the deviation, as in the usual
// estimators of round-trip times (RFC 6298).
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

// unlikelyToFinish reports whether the time that a call has left is shorter than both the
// typical run time and the time that it has already waited. Without the second condition, an
// estimate above all timeouts would refuse every call for ever, even while slots are free.
func (c *Call) unlikelyToFinish(now time.Time, typical time.Duration) bool {
	remaining := c.Deadline.Sub(now)
	return remaining < typical && remaining < now.Sub(c.submitted)
}

// decay reduces the estimate by 1/32 after a request was refused because of it.
func (r *runTime) decay() {
	r.mean -= r.mean >> 5
	r.deviation -= r.deviation >> 5
}

// typical returns a time within which most requests end; 0 before the first one has ended.
func (r *runTime) typical() time.Duration {
	if r == nil {
		return 0
	}
	return r.mean + 2*r.deviation
}
