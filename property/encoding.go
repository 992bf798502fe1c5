package property

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

// CheckEncoding checks that builds of before and after a change of a CBOR format can read what the
// other one writes. stored is the encoding, in hexadecimal, that a build of before wrote for want. It
// has to be read as want, with keys of a later build among its own as well, and everything in it has to
// be in what this build writes.
func CheckEncoding[T any](t *testing.T, stored string, want T, encode func(T) ([]byte, error), decode func([]byte) (T, error)) {
	t.Helper()
	b, err := hex.DecodeString(stored)
	qt.Assert(t, err, qt.IsNil)
	for name, encoding := range map[string][]byte{"as stored": b, "with keys of a later build": AddUnknownKeys(t, b)} {
		got, err := decode(encoding)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", name))
		qt.Check(t, got, qt.CmpEquals(), want, qt.Commentf("%s", name))
	}
	written, err := encode(want)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, MissingParts(t, b, written), qt.HasLen, 0, qt.Commentf("encoded as %x", written))
}

// MissingParts returns the paths of what a CBOR encoding has and another one lacks or has with another
// value.
func MissingParts(t testing.TB, stored, written []byte) []string {
	t.Helper()
	return missing("", decodeAny(t, stored), decodeAny(t, written))
}

func decodeAny(t testing.TB, b []byte) (v any) {
	t.Helper()
	qt.Assert(t, cbor.Unmarshal(b, &v), qt.IsNil)
	return v
}

func missing(path string, stored, written any) (paths []string) {
	switch from := stored.(type) {
	case map[any]any:
		to, _ := written.(map[any]any)
		for key, value := range from {
			paths = append(paths, missing(fmt.Sprintf("%s/%v", path, key), value, to[key])...)
		}
	case []any:
		to, _ := written.([]any)
		if len(to) != len(from) {
			return []string{path}
		}
		for i := range from {
			paths = append(paths, missing(fmt.Sprintf("%s/%d", path, i), from[i], to[i])...)
		}
	default:
		if !reflect.DeepEqual(stored, written) {
			return []string{path}
		}
	}
	slices.Sort(paths)
	return paths
}

// unknownKey is a key that no format has.
const unknownKey = 1000

// AddUnknownKeys adds an entry of a later build to each CBOR map whose keys are numbers. Maps with
// other keys may hold names instead of fields.
func AddUnknownKeys(t testing.TB, stored []byte) []byte {
	t.Helper()
	b, err := cbor.Marshal(addUnknown(decodeAny(t, stored)))
	qt.Assert(t, err, qt.IsNil)
	return b
}

func addUnknown(v any) any {
	switch v := v.(type) {
	case map[any]any:
		numbered := false
		for key, value := range v {
			_, number := key.(uint64)
			numbered = numbered || number
			v[key] = addUnknown(value)
		}
		if numbered {
			v[uint64(unknownKey)] = []any{"of a later build"}
		}
	case []any:
		for i := range v {
			v[i] = addUnknown(v[i])
		}
	}
	return v
}
