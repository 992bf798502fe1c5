package claim

import (
	"crypto/sha256"
	"time"
)

// Key identifies a request id. It is a hash of fixed size, because ids have up to 128
// characters and a witness holds many. A collision is safe: the second id is refused as a
// duplicate, and no request is sent twice.
type Key [16]byte

// KeyOf returns the key of a request id.
func KeyOf(id string) Key {
	sum := sha256.Sum256([]byte(id))
	return Key(sum[:])
}

// Owner is one attempt of one sender to run a request. Attempt numbers are unique for
// each sender and incarnation, which distinguishes a repeated message from a second request
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

// Outcome is the result of a claim at a witness.
type Outcome uint8

// Outcomes of a claim. Only Accepted counts towards a registration.
const (
	Accepted Outcome = iota + 1
	Known
	NotReady
	Full
	OtherEpoch
)

// State is the state of a registered request as a witness knows it.
type State uint8

// States in ascending order; when a transfer is merged, the higher one is kept.
const (
	Running State = iota + 1
	Unknown
	Finished
)

// Reply is the reply of a witness to a claim. State and Holder are set if the id is known.
type Reply struct {
	Key     Key     `cbor:"key"`
	Owner   Owner   `cbor:"owner"`
	Epoch   uint64  `cbor:"epoch"`
	Outcome Outcome `cbor:"outcome"`
	State   State   `cbor:"state,omitempty"`
	Holder  string  `cbor:"holder,omitempty"`
	// MissingLost is set if this witness, too, regards the missing one as lost.
	MissingLost bool `cbor:"missing-lost,omitempty"`
}

// Entry is one registered id in a transfer. It has an age instead of a time, because the
// clocks of two hosts differ. The time in flight only prolongs the retention.
type Entry struct {
	Key   Key           `cbor:"key"`
	Owner Owner         `cbor:"owner"`
	State State         `cbor:"state"`
	Age   time.Duration `cbor:"age"`
}

// TransferBatch is one batch of a transfer. A transfer without entries has one empty batch,
// which tells the receiver that the transfer is complete.
type TransferBatch struct {
	From  string `cbor:"from"`
	Epoch uint64 `cbor:"epoch"`
	// Snapshot numbers the transfers of one host. Two snapshots divide the ids into batches
	// differently, so batches of different snapshots are not combined.
	Snapshot uint64  `cbor:"snapshot"`
	Number   int     `cbor:"number"`
	Batches  int     `cbor:"batches"`
	Entries  []Entry `cbor:"entries"`
}
