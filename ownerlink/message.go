// Package ownerlink connects each entry host to the owner by a WebSocket with CBOR messages.
// Hosts notify the owner of new jobs and cancellations and query it for the states of jobs,
// so that callers wait for the store no more often than durability requires. The link is an
// optimization: the owner also learns of items by its watches, and hosts can read states from
// the store.
package ownerlink

import (
	"time"

	"egretdrum.example/kv"
	"egretdrum.example/origin"
	"egretdrum.example/progress"
)

const (
	// Path is the HTTP path at which an owner accepts links.
	Path = "/owner-link"
	// tokenHeader carries the token of the term, which proves that the dialing host can read
	// the owner's key in the store.
	tokenHeader = "Egretdrum-Term-Token"
	// maxMessageBytes is above the largest submission.
	maxMessageBytes = 1 << 20
	// maxQueuedMessages holds the items and queries of a burst; the store serves any more.
	maxQueuedMessages = 256
	// dialTimeout and writeTimeout are far above the few milliseconds between two zones.
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = time.Second
	// queryTimeout is after how long a host reads the store instead.
	queryTimeout = 150 * time.Millisecond
	// maxUnanswered queries in a row that time out end a link, since a connection may
	// never deliver anything again without failing.
	maxUnanswered = 3
	// redialDelay limits the load on an owner that does not accept links.
	redialDelay = 100 * time.Millisecond
)

// message is sent by a host: an item of the store, or a request if ID is set, which is a query for
// the state of a job or a change to commit.
type message struct {
	ID       uint64 `cbor:"1,keyasint,omitempty"`
	Job      string `cbor:"2,keyasint,omitempty"`
	Key      string `cbor:"3,keyasint,omitempty"`
	Value    []byte `cbor:"4,keyasint,omitempty"`
	Revision int64  `cbor:"5,keyasint,omitempty"`
	// Change makes the message a request to commit a change.
	Change *relayedChange `cbor:"16,keyasint,omitempty"`
	// Forecast is an encoded job; it makes the message a query for when the job would be done.
	Forecast []byte `cbor:"17,keyasint,omitempty"`
}

func (m *message) item() kv.Item { return kv.Item{Key: m.Key, Value: m.Value, Revision: m.Revision} }

// Answer is what the owner knows about a job.
type Answer struct {
	// Known is false if the state has to be read from the store.
	Known   bool           `cbor:"1,keyasint,omitempty"`
	State   progress.State `cbor:"2,keyasint,omitempty"`
	Queue   string         `cbor:"3,keyasint,omitempty"`
	Account string         `cbor:"4,keyasint,omitempty"`
	// Origin identifies the queue and the account under other names, as in the job.
	Origin *origin.Origin `cbor:"5,keyasint,omitempty"`
}

// reply is the answer to the query with the same ID.
type reply struct {
	ID     uint64 `cbor:"1,keyasint"`
	Answer Answer `cbor:"2,keyasint"`
	// Outcome is the outcome of a change; an owner of a build without relays sends none.
	Outcome *relayOutcome `cbor:"16,keyasint,omitempty"`
	// Forecast is the answer to a query for a forecast; an owner of a build without forecasts sends none.
	Forecast *Forecast `cbor:"17,keyasint,omitempty"`
	// Shortage is sent with a zero ID, which older builds ignore.
	Shortage *shortage `cbor:"18,keyasint,omitempty"`
}
