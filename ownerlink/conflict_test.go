package ownerlink

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/kv"
	"egretdrum.example/storekeys"
)

// Guards against an owner whose memory and link fill with copies of the same configuration, while a host
// that does not know it has many changes committed, and against a stored job that the host is not told of.
func TestLargeConflictIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit conflictLimit
		for i, want := range []bool{true, false, false, true} {
			if i == 3 {
				time.Sleep(largeConflictInterval)
			}
			o := newRelayOutcome(0, &kv.ConflictError{Items: []kv.Item{
				{Key: "config", Value: make([]byte, 60<<10), Revision: 13}, {Key: storekeys.Job("1"), Value: make([]byte, 60<<10), Revision: 9},
			}})
			limit.apply(o)
			qt.Assert(t, len(o.Items), qt.Equals, 2)
			qt.Check(t, len(o.Items[0].Value), qt.Equals, 60<<10)
			qt.Check(t, len(o.Items[1].Value) > 0, qt.Equals, want, qt.Commentf("%d", i))
			qt.Check(t, o.Items[1].Revision, qt.Equals, int64(13))
		}
	})
}
