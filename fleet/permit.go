package fleet

import "time"

// Causes of a permit.
const (
	CauseDrain = "drain"
	CauseMove  = "move"
	CauseWave  = "wave"
)

// Permit lets one worker be absent. Because it is part of the worker's record, a worker
// holds one at most, and a crash of whoever asked for it neither loses nor doubles it.
type Permit struct {
	ID    string    `json:"id"`
	Cause string    `json:"cause"`
	At    time.Time `json:"at"`
	// Forced tells that an operator took it beyond the budgets.
	Forced bool `json:"forced,omitempty"`
}

// IsAbsent reports whether the worker is absent by plan.
func (w Worker) IsAbsent() bool { return w.Leaving || w.Permit != nil }
