// Package ownerlink connects entry hosts to the owner, one WebSocket each with CBOR
// messages: they tell it of new jobs and cancellations and ask it for the states of jobs,
// so that callers do not wait for the store more often than durability needs. What a link
// does not carry reaches the owner by its watches, and callers by a read of the store.
package ownerlink

import (
	"time"

	"egretdrum.example/kv"
	"egretdrum.example/progress"
)

const (
	// Path is where an owner takes links.
	Path = "/owner-link"
	// tokenHeader shows that the dialing host can read the owner's key in the store.
	tokenHeader = "Egretdrum-Term-Token"
	// maxMessageBytes is above the largest submission.
	maxMessageBytes = 1 << 20
	// queueMessages holds the jobs and questions of a burst; more are left to the store.
	queueMessages = 256
	// dialTimeout and writeTimeout are far above the few milliseconds between two zones.
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = time.Second
	// askTimeout is after how long the store is asked instead.
	askTimeout = 150 * time.Millisecond
	// maxUnanswered questions in a row end a link: a connection may be silent for good.
	maxUnanswered = 3
	// redialPause spares an owner that does not take links.
	redialPause = 100 * time.Millisecond
)

// message is what a host sends: an item of the store, or a question for the state of a
// job if ID is set.
type message struct {
	ID       uint64 `cbor:"1,keyasint,omitempty"`
	Job      string `cbor:"2,keyasint,omitempty"`
	Key      string `cbor:"3,keyasint,omitempty"`
	Value    []byte `cbor:"4,keyasint,omitempty"`
	Revision int64  `cbor:"5,keyasint,omitempty"`
}

func (m *message) item() kv.Item { return kv.Item{Key: m.Key, Value: m.Value, Revision: m.Revision} }

// Answer is what the owner knows of a job.
type Answer struct {
	// Known is false if the store has to be asked.
	Known   bool           `cbor:"1,keyasint,omitempty"`
	State   progress.State `cbor:"2,keyasint,omitempty"`
	Queue   string         `cbor:"3,keyasint,omitempty"`
	Account string         `cbor:"4,keyasint,omitempty"`
}

// reply is the answer to the question of the same ID.
type reply struct {
	ID     uint64 `cbor:"1,keyasint"`
	Answer Answer `cbor:"2,keyasint"`
}
