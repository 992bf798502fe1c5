package claim

import (
	"crypto/sha256"
	"time"
)

// Key stands for a request id. It is a hash of fixed size, because ids have up to 128
// characters and a witness holds many. If two ids had the same key, the second one would
// be refused as a duplicate and never be sent twice.
type Key [16]byte

// KeyOf returns the key of a request id.
func KeyOf(id string) Key {
	sum := sha256.Sum256([]byte(id))
	return Key(sum[:])
}

// Owner is one attempt of one sender to run a request. Attempt numbers are unique for
// each sender and incarnation, so a repeated message is told apart from a second request
// with the same id.
type Owner struct {
	Sender      string `cbor:"sender"`
	Incarnation uint64 `cbor:"incarnation"`
	Attempt     uint64 `cbor:"attempt"`
}

// Claim asks a witness to register a request id.
type Claim struct {
	Key   Key    `cbor:"key"`
	Owner Owner  `cbor:"owner"`
	Epoch uint64 `cbor:"epoch"`
	// Missing names a witness that the sender cannot reach, if there is one.
	Missing string `cbor:"missing,omitempty"`
}

// Outcome is the answer of a witness to a claim.
type Outcome uint8

// Outcomes. Only Accepted permits the sender to go on.
const (
	Accepted Outcome = iota + 1
	Known
	NotReady
	Full
	OtherEpoch
)

// State is what a witness knows about a registered id.
type State uint8

// States in the order of what is known; a transfer keeps the later one.
const (
	Running State = iota + 1
	Unknown
	Finished
)

// Reply answers a claim. State and Holder are set for a known id.
type Reply struct {
	Key     Key     `cbor:"key"`
	Owner   Owner   `cbor:"owner"`
	Epoch   uint64  `cbor:"epoch"`
	Outcome Outcome `cbor:"outcome"`
	State   State   `cbor:"state,omitempty"`
	Holder  string  `cbor:"holder,omitempty"`
	// MissingLost tells that this witness too regards the missing one as lost.
	MissingLost bool `cbor:"missing-lost,omitempty"`
}

// Entry is one registered id in a transfer. It carries an age in place of a time, because
// the clocks of two hosts differ; the time on the way only prolongs the retention.
type Entry struct {
	Key   Key           `cbor:"key"`
	Owner Owner         `cbor:"owner"`
	State State         `cbor:"state"`
	Age   time.Duration `cbor:"age"`
}

// Sync is one batch of a transfer. A transfer without entries still has one batch, by
// which its receiver learns that nothing is missing.
type Sync struct {
	From  string `cbor:"from"`
	Epoch uint64 `cbor:"epoch"`
	// Snapshot numbers the transfers of one host. Batches of two snapshots divide the
	// ids differently and are not mixed.
	Snapshot uint64  `cbor:"snapshot"`
	Number   int     `cbor:"number"`
	Batches  int     `cbor:"batches"`
	Entries  []Entry `cbor:"entries"`
}
