package buffer

import "time"

// Pool is one pool of a client account. MinAvailable is its availability budget: the number
// of workers that it always keeps. The spare pool has no service of its own and lends first.
type Pool struct {
	Name         string
	MinAvailable int
	Spare        bool
}

// Worker is one worker with its pool and its number of slots.
type Worker struct {
	Name, Pool string
	Slots      int
}

// Report is the load of the service of one pool that the entry hosts observed since the
// last report.
type Report struct {
	Pool    string
	Arrived int
	Running int
	Waiting []Backlog
	// Slack is the shortest time until the deadline among the requests that arrived, measured
	// on arrival.
	Slack time.Duration
	// Run is the observed mean run time of a request, Longest the longest recent one.
	Run, Longest time.Duration
}

// Backlog counts the waiting requests whose deadline is at most Within away. Entries are
// cumulative and in ascending order of Within.
type Backlog struct {
	Within time.Duration
	Count  int
}

// Kind is the kind of an action.
type Kind int

// Kinds of actions. Lend gives Slots of From to the service of To until Return takes them
// back; requests that run on them then still run to their end. Move moves Worker from From
// to To. Hold keeps Slots of From ready, those in use or lent included; the other slots of
// the pool are released to background work.
const (
	Lend Kind = iota + 1
	Return
	Move
	Hold
)

// Action is one decision to carry out.
type Action struct {
	Kind     Kind
	From, To string
	Slots    int
	Worker   string
}
