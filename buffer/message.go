package buffer

import "time"

// Pool is one pool of a client account. MinAvailable is its availability budget in
// workers. The spare pool has no service of its own and lends first.
type Pool struct {
	Name         string
	MinAvailable int
	Spare        bool
}

// Worker is one worker with the pool that it is in and its size.
type Worker struct {
	Name, Pool string
	Slots      int
}

// Report is what the entry hosts observed of the service of one pool since the last one.
type Report struct {
	Pool    string
	Arrived int
	Running int
	Waiting []Backlog
	// Slack is the shortest time that a request which arrived had until its deadline.
	Slack time.Duration
	// Run is the observed mean run time of a request, Longest the longest of late.
	Run, Longest time.Duration
}

// Backlog counts the waiting requests whose deadline is at most Within away. Entries are
// cumulative and in ascending order of Within.
type Backlog struct {
	Within time.Duration
	Count  int
}

// Kind tells what an action does.
type Kind int

// Kinds of actions. Lend gives Slots of From to the service of To until Return takes them
// back; requests that run on them end normally. Move takes Worker from From to To. Hold
// keeps Slots of From ready, those in use or lent included; the other slots of the pool
// are released to background work.
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
