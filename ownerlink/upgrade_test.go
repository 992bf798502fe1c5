package ownerlink

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"egretdrum.example/kv"
	"egretdrum.example/progress"
	"egretdrum.example/property"
)

// sentItem, sentQuery and sentReply are what commit 7e6a023 sends for the messages of the test.
const (
	sentItem  = "a303781d65677265746472756d2f696e2f3563306537613231643934623336663804436a6f6205191267"
	sentQuery = "a20107027035633065376132316439346233366638"
	sentReply = "a2010702a401f5026772756e6e696e670366726f756e647304686172626974657273"
)

func encode[T any](v T) ([]byte, error) { return cbor.Marshal(v) }

func decode[T any](b []byte) (v T, err error) {
	err = cbor.Unmarshal(b, &v)
	return v, err
}

// Guards against links between a host and an owner of another build whose messages are not understood.
func TestMessagesOfOtherBuildsAreRead(t *testing.T) {
	property.CheckEncoding(t, sentItem, message{Key: "egretdrum/in/5c0e7a21d94b36f8", Value: []byte("job"), Revision: 4711}, encode, decode)
	property.CheckEncoding(t, sentQuery, message{ID: 7, Job: "5c0e7a21d94b36f8"}, encode, decode)
	property.CheckEncoding(t, sentReply, reply{ID: 7, Answer: Answer{Known: true, State: progress.Running, Queue: "rounds", Account: "arbiters"}}, encode, decode)
}

// Guards against a change that an owner of a build without relays takes for an item, and against its
// answer that is taken for an outcome.
func TestOwnersWithoutRelaysCommitNothing(t *testing.T) {
	b, err := cbor.Marshal(message{ID: 7, Change: &relayedChange{Puts: []relayedItem{{Key: "egretdrum/in/1", Value: []byte("job")}}}})
	qt.Assert(t, err, qt.IsNil)
	var seen struct {
		ID       uint64 `cbor:"1,keyasint,omitempty"`
		Job      string `cbor:"2,keyasint,omitempty"`
		Key      string `cbor:"3,keyasint,omitempty"`
		Value    []byte `cbor:"4,keyasint,omitempty"`
		Revision int64  `cbor:"5,keyasint,omitempty"`
	}
	qt.Assert(t, cbor.Unmarshal(b, &seen), qt.IsNil)
	qt.Assert(t, seen.ID, qt.Equals, uint64(7))
	qt.Assert(t, seen.Job+seen.Key, qt.Equals, "")
	r, err := decode[reply]([]byte("\xa2\x01\x07\x02\xa0")) // to a query for a job that is not known
	qt.Assert(t, err, qt.IsNil)
	_, err = r.Outcome.result()
	qt.Assert(t, kv.NotApplied(err), qt.IsTrue)
}

// Guards against an announcement that an older host takes for the answer to a query, whose IDs begin at 1.
func TestAnnouncementsHaveNoID(t *testing.T) {
	b, err := cbor.Marshal(reply{Shortage: &shortage{Pools: []string{"desk"}}})
	qt.Assert(t, err, qt.IsNil)
	var seen struct {
		ID     uint64 `cbor:"1,keyasint"`
		Answer Answer `cbor:"2,keyasint"`
	}
	qt.Assert(t, cbor.Unmarshal(b, &seen), qt.IsNil)
	qt.Assert(t, seen.ID, qt.Equals, uint64(0))
	qt.Assert(t, seen.Answer, qt.Equals, Answer{})
}
