package progress_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/progress"
)

// Guards against a stored record that ends the process of each owner that reads it.
func FuzzDecode(f *testing.F) {
	p := progress.Part{Step: 1, Failures: []progress.Failure{{Index: 1, Runs: []int64{3}}}}
	p.SetDone(9)
	valid, err := (&progress.Record{State: progress.Running, Queue: "rounds", Parts: []progress.Part{p}}).Encode()
	qt.Assert(f, err, qt.IsNil)
	negative, err := (&progress.Record{Parts: []progress.Part{{Failures: []progress.Failure{{Index: -1}}}}}).Encode()
	qt.Assert(f, err, qt.IsNil)
	for _, b := range [][]byte{valid, negative, valid[:len(valid)/2], {}, {0xff}, []byte("{}")} {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := progress.Decode(b)
		if err != nil {
			return
		}
		for i := range r.Parts {
			r.Parts[i].IsDone(0)
			r.Parts[i].IsDone(1 << 20)
			for _, f := range r.Parts[i].Failures {
				qt.Assert(t, f.Index >= 0, qt.IsTrue)
			}
		}
	})
}
