package fleet

import "time"

// Causes of a permit.
const (
	CauseDrain = "drain"
	CauseMove  = "move"
	CauseWave  = "wave"
)

// Permit allows one worker to be absent. Because it is part of the worker's record, a worker
// holds at most one, and a crash of the requester neither loses nor duplicates it.
type Permit struct {
	ID    string    `json:"id"`
	Cause string    `json:"cause"`
	At    time.Time `json:"at"`
	// Forced is set when an operator took the permit although it exceeds the availability
	// budgets.
	Forced bool `json:"forced,omitempty"`
}

// IsAbsent reports whether the worker's absence is planned: it is leaving or holds a permit.
func (w Worker) IsAbsent() bool { return w.Leaving || w.Permit != nil }
