package election

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"egretdrum.example/property"
)

// storedOwner is what commit 7e6a023 writes for the record of the test.
const storedOwner = "a40167656e7472792d31021a075bcd15036d31302e302e302e313a3730303004484b595351354d3244"

// Guards against hosts that can't read who the owner is, where it accepts links and with which token,
// if the owner is of another build.
func TestOwnersOfOtherBuildsAreRead(t *testing.T) {
	property.CheckEncoding(t, storedOwner, ownerRecord{Host: "entry-1", Nonce: 123_456_789, Link: "10.0.0.1:7000", Token: []byte("KYSQ5M2D")},
		func(r ownerRecord) ([]byte, error) { return cbor.Marshal(r) },
		func(b []byte) (r ownerRecord, err error) { err = cbor.Unmarshal(b, &r); return r, err })
}
