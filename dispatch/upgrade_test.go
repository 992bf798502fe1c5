package dispatch

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"egretdrum.example/property"
)

// storedWave and storedCounts are what commit 7e6a023 writes for the values of the test.
const (
	storedWave   = "a4011b0000018bcfe5dd300282626d31626d3203f50481626d33"
	storedCounts = "a266726f756e64730c657465616d7300"
)

func encode[T any](v T) ([]byte, error) { return cbor.Marshal(v) }

func decode[T any](b []byte) (v T, err error) {
	err = cbor.Unmarshal(b, &v)
	return v, err
}

// Guards against hosts that can't read, or read otherwise, the progress of waves and the counts of
// waiting jobs that an owner of another build has stored.
func TestWavesAndCountsOfOtherBuildsAreRead(t *testing.T) {
	property.CheckEncoding(t, storedWave, waveRecord{Due: 1_700_000_030_000, Done: []string{"m1", "m2"}, Finished: true, Begun: []string{"m3"}}, encode, decode)
	property.CheckEncoding(t, storedCounts, map[string]int{"rounds": 12, "teams": 0}, encode, decode)
}
