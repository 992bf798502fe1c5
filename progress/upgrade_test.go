package progress

import (
	"testing"

	"egretdrum.example/property"
)

// storedRecord and storedFinal are what commit 7e6a023 writes for the records of the test.
const (
	storedRecord = "a5016772756e6e696e670566726f756e6473066861726269746572730281a401010201034205010481a2010302821a040000011a0400000604820002"
	storedFinal  = "a401697375636365656465640566726f756e647306686172626974657273031b0000018bcfe5687b"
)

// Guards against an owner that can't read, or reads otherwise, the progress that an owner of another
// build has stored.
func TestRecordsOfOtherBuildsAreRead(t *testing.T) {
	property.CheckEncoding(t, storedRecord, &Record{
		State: Running, Queue: "rounds", Account: "arbiters", Finished: []int{0, 2},
		Steps: []StepProgress{{Occurrence: 1, Step: 1, Done: []byte{0b101, 1}, Failures: []Failure{{Index: 3, Runs: []int64{67108865, 67108870}}}}},
	}, (*Record).Encode, Decode)
	property.CheckEncoding(t, storedFinal, &Record{State: Succeeded, Queue: "rounds", Account: "arbiters", Ended: 1_700_000_000_123}, (*Record).Encode, Decode)
}
