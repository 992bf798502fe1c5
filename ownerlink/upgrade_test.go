package ownerlink

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

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
