package slot

import "time"

// Tuning is what an Allocator cannot derive.
type Tuning struct {
	// FirstID is the first grant id. Owners use ranges that do not overlap, because
	// grants keep their ids when another owner adopts them.
	FirstID uint64
}

// Target is a minion that this owner grants slots of.
type Target struct {
	Name, Zone string
	Slots      int
	Leaving    bool
	// Inherited tells that another owner may have granted slots of the minion, so that
	// these grants have to end first unless that owner hands its table over.
	Inherited bool
}

// Demand replaces what one entry host reported for a service and team: the requests
// that wait there, those for which a grant is under way included.
type Demand struct {
	Host, Zone, Service, Team string
	Urgent, Ordinary          int
	// Excluded names minions that the waiting requests must not be sent to again.
	Excluded []string
}

// Grant is the right of one entry host to run one request on a minion. The host binds
// it to a request before Expiry, or releases it as unused.
type Grant struct {
	ID                  uint64
	Host, Service, Team string
	Urgent              bool
	Minion              string
	Expiry              time.Time
}

// Outcome tells how a grant ended.
type Outcome int

// Outcomes. Leaving is a sign that the minion leaves: a response with status 503 and
// Connection: close, or a refused connection.
const (
	Unused Outcome = iota
	OK
	Failed
	Silent
	Leaving
)

// Table is what an owner hands over on a planned stop.
type Table struct {
	Minions []Standing
	Grants  []Held
}

// Standing is the health of a minion.
type Standing struct {
	Service, Minion string
	Usable          int
	EjectedUntil    time.Time
	LeavingUntil    time.Time
	// QuietUntil is later than now while grants of an earlier owner may be outstanding
	// that the table does not name.
	QuietUntil time.Time
}

// Held is an outstanding grant; its Expiry is the time at which the owner ends it.
type Held struct {
	Grant
	Zone    string
	Granted time.Time
	Bound   bool
}
