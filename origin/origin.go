// Package origin identifies the queue and the client account with which a job was accepted, so that the job
// is found after a later configuration has given them other names.
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// maxKeys bounds the keys of an account that are kept.
const maxKeys = 4

// Origin is what a queue and an account had when a job was accepted. The zero value is that of jobs of
// builds that stored names only.
type Origin struct {
	// Address is the digest of the host and the path prefix of the queue.
	Address uint64 `cbor:"1,keyasint,omitempty"`
	// Pool is the pool of the queue.
	Pool string `cbor:"2,keyasint,omitempty"`
	// Keys are the digests of keys of the account; none in a queue that is open to all.
	Keys []uint64 `cbor:"3,keyasint,omitempty"`
}

// New returns the origin of a job that is accepted for a queue with this address and pool, from an account
// with these keys.
func New(host, prefix, pool string, keys []string) *Origin {
	o := &Origin{Address: Address(host, prefix), Pool: pool}
	for _, k := range keys[:min(len(keys), maxKeys)] {
		o.Keys = append(o.Keys, Key(k))
	}
	return o
}

// Known reports whether the origin was stored; nil stands for one that was not.
func (o *Origin) Known() bool { return o != nil && o.Address != 0 }

// Same reports whether two origins are those of one queue and one account: they have the address and a key in
// common, or neither has an account.
func (o *Origin) Same(other *Origin) bool {
	if !o.Known() || !other.Known() || o.Address != other.Address {
		return false
	}
	if len(o.Keys) == 0 || len(other.Keys) == 0 {
		return len(o.Keys) == len(other.Keys)
	}
	return slices.ContainsFunc(o.Keys, func(k uint64) bool { return slices.Contains(other.Keys, k) })
}

// Address returns the digest of a host and a path prefix. It is never zero.
func Address(host, prefix string) uint64 { return digest(host + "\x00" + prefix) }

// Key returns the digest of a key of an account.
func Key(key string) uint64 { return digest(key) }

func digest(s string) uint64 {
	sum := sha256.Sum256([]byte(s))
	return max(1, binary.BigEndian.Uint64(sum[:8]))
}
