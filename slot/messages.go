package slot

import "time"

// Config holds the settings of an Allocator.
type Config struct {
	// FirstID is the id of the first grant. Owners use ranges that do not overlap, because
	// grants keep their ids when another owner adopts them.
	FirstID uint64
}

// Target is a minion that this host owns.
type Target struct {
	Name, Zone string
	Slots      int
	Leaving    bool
	// Inherited is set if another owner may have granted slots of the minion. These grants
	// have to end first, unless that owner hands over its table.
	Inherited bool
}

// Demand is the number of requests for a service and team that wait at one entry host,
// including those for which a grant is in flight. It replaces the host's last report.
type Demand struct {
	Host     string `cbor:"-"`
	Zone     string `cbor:"zone"`
	Service  string `cbor:"service"`
	Team     string `cbor:"team"`
	Urgent   int    `cbor:"urgent,omitempty"`
	Ordinary int    `cbor:"ordinary,omitempty"`
	// Excluded names minions that the waiting requests must not be sent to again.
	Excluded []string `cbor:"excluded,omitempty"`
}

// Grant is the right of one entry host to run one request on a minion. The host binds
// it to a request on arrival, or releases it as unused.
type Grant struct {
	ID      uint64 `cbor:"id"`
	Host    string `cbor:"host"`
	Service string `cbor:"service"`
	Team    string `cbor:"team"`
	Urgent  bool   `cbor:"urgent,omitempty"`
	Minion  string `cbor:"minion"`
}

// Outcome is the result of a grant.
type Outcome int

// Outcomes of a grant. Unresponsive stands for a request that got no response. Leaving is a sign
// that the minion shuts down: a response with status 503 and Connection: close, or a refused
// connection.
const (
	Unused Outcome = iota
	OK
	Failed
	Unresponsive
	Leaving
)

// Table is the state that an owner hands over to the next one. Times are relative to the
// hand-over, because clocks are not synchronized.
type Table struct {
	Minions []Health           `cbor:"minions,omitempty"`
	Grants  []OutstandingGrant `cbor:"grants,omitempty"`
}

// Health is the state of a minion as its owner knows it.
type Health struct {
	Service string `cbor:"service"`
	Minion  string `cbor:"minion"`
	Usable  int    `cbor:"usable"`
	// Owned is set if the previous owner owned the minion without interruption until the
	// hand-over, so that no other host can have granted its slots.
	Owned    bool          `cbor:"owned,omitempty"`
	Ejection time.Duration `cbor:"ejection,omitempty"`
	Leaving  time.Duration `cbor:"leaving,omitempty"`
	// Quiet is the time for which grants of a previous owner that the table does not list
	// may still be outstanding.
	Quiet time.Duration `cbor:"quiet,omitempty"`
}

// OutstandingGrant is a grant that has not ended, with its age and the time left until its
// owner ends it.
type OutstandingGrant struct {
	Grant Grant         `cbor:"grant"`
	Age   time.Duration `cbor:"age"`
	Left  time.Duration `cbor:"left"`
	Bound bool          `cbor:"bound,omitempty"`
}
