package scheduler

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"egretdrum.example/job"
	"egretdrum.example/property"
)

// storedUnresponsive and storedPoolUse are what commit 7e6a023 writes for the records of the tests.
const (
	storedUnresponsive = "a3016477303137021b0000018bcfe5687b0382a201a4634a6f6270356330653761323164393462333666386a4f6363757272656e63650164537465700265496e64657803021a04000001a201a4634a6f62616a6a4f6363757272656e63650064537465700065496e64657800021a04000002"
	storedPoolUse      = "a266726f756e647382646465736b666c6561677565657465616d7381666c6561677565"
)

func encode[T any](v T) ([]byte, error) { return cbor.Marshal(v) }

func decode[T any](b []byte) (v T, err error) {
	err = cbor.Unmarshal(b, &v)
	return v, err
}

// Guards against an owner that can't read, or reads otherwise, what an owner of another build has
// stored about workers that do not answer and about the pools in use.
func TestOwnerRecordsOfOtherBuildsAreRead(t *testing.T) {
	property.CheckEncoding(t, storedUnresponsive, UnresponsiveWorker{
		Worker: "w017", Incarnation: 1_700_000_000_123,
		Runs: []UnconfirmedRun{{job.Task{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2, Index: 3}, 67108865}, {job.Task{Job: "j"}, 67108866}},
	}, encode, decode)
	property.CheckEncoding(t, storedPoolUse, PoolUse{"rounds": {"desk", "league"}, "teams": {"league"}}, encode, decode)
}
