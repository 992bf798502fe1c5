package progress_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"egretdrum.example/progress"
)

// Guards against crashes that are lost with their owner, and against a record that hosts with an
// earlier version cannot read during an upgrade, or whose records this version cannot read.
func TestCrashesAreStored(t *testing.T) {
	p := progress.StepProgress{Step: 1, Crashes: []progress.Crashes{{Index: 2, Runs: []int64{7, 9}, Unconfirmed: 1, Weak: 1, Shared: 1}}}
	p.SetDone(0)
	b, err := (&progress.Record{State: progress.Running, Steps: []progress.StepProgress{p}}).Encode()
	qt.Assert(t, err, qt.IsNil)
	r, err := progress.Decode(b)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Steps[0].Crashes, qt.DeepEquals, p.Crashes)

	var earlier struct {
		Steps []struct {
			Step int    `cbor:"2,keyasint"`
			Done []byte `cbor:"3,keyasint"`
		} `cbor:"2,keyasint"`
	}
	qt.Assert(t, cbor.Unmarshal(b, &earlier), qt.IsNil)
	qt.Assert(t, earlier.Steps[0].Done, qt.DeepEquals, []byte{1})
	written, err := cbor.Marshal(earlier)
	qt.Assert(t, err, qt.IsNil)
	r, err = progress.Decode(written)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Steps[0].IsDone(0), qt.IsTrue)
	qt.Assert(t, r.Steps[0].Crashes, qt.HasLen, 0)
}
