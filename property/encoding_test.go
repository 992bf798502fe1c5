package property

import (
	"encoding/hex"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

type earlierBuild struct {
	Done  []string `cbor:"1,keyasint,omitempty"`
	Limit int      `cbor:"2,keyasint"`
}

// Guards against a check that does not notice parts which are lost, changed or renumbered.
func TestMissingParts(t *testing.T) {
	stored, err := cbor.Marshal(earlierBuild{[]string{"a", "b"}, 3})
	qt.Assert(t, err, qt.IsNil)
	for name, c := range map[string]struct {
		written any
		want    []string
	}{
		"equal":         {map[int]any{1: []string{"a", "b"}, 2: 3, 3: "new"}, nil},
		"other value":   {map[int]any{1: []string{"a", "c"}, 2: 3}, []string{"/1/1"}},
		"shorter list":  {map[int]any{1: []string{"a"}, 2: 3}, []string{"/1"}},
		"other numbers": {map[int]any{4: []string{"a", "b"}, 2: 3}, []string{"/1"}},
		"other type":    {"text", []string{"/1", "/2"}},
	} {
		written, err := cbor.Marshal(c.written)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, MissingParts(t, stored, written), qt.DeepEquals, c.want, qt.Commentf("%s: %s", name, hex.EncodeToString(written)))
	}
}

// Guards against a check for which an earlier build keeps the keys of a later one.
func TestEarlierBuildDropsUnknownKeys(t *testing.T) {
	stored, err := cbor.Marshal(earlierBuild{[]string{"a"}, 3})
	qt.Assert(t, err, qt.IsNil)
	later := AddUnknownKeys(t, stored)
	var read earlierBuild
	qt.Assert(t, cbor.Unmarshal(later, &read), qt.IsNil)
	rewritten, err := cbor.Marshal(read)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, MissingParts(t, later, rewritten), qt.DeepEquals, []string{"/1000"})
}
