// Package teamkey generates and verifies the keys that client accounts send with each
// request.
package teamkey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	prefix      = "egk"
	idBytes     = 6
	secretBytes = 32
	saltBytes   = 16
	hashBuffer  = 128
)

// Key is the stored form of a team key. It holds a salted hash, so that reading the
// configuration does not reveal the secret.
type Key struct {
	ID        string    `json:"id"`
	Salt      []byte    `json:"salt"`
	Hash      []byte    `json:"hash"`
	CreatedAt time.Time `json:"given-at"`
}

// RandomError reports that the random source failed.
type RandomError struct{ Err error }

func (e *RandomError) Error() string { return fmt.Sprintf("read random bytes for a key: %v", e.Err) }
func (e *RandomError) Unwrap() error { return e.Err }

// Generate returns a new key from random bytes. The secret is shown to the operator
// once and is not stored.
func Generate(random io.Reader, now time.Time) (secret string, key Key, err error) {
	buf := make([]byte, idBytes+secretBytes+saltBytes)
	if _, err := io.ReadFull(random, buf); err != nil {
		return "", Key{}, &RandomError{Err: err}
	}
	// The id is hexadecimal, so that it never looks like a flag on a command line.
	id := hex.EncodeToString(buf[:idBytes])
	secret = prefix + "." + id + "." + base64.RawURLEncoding.EncodeToString(buf[idBytes:idBytes+secretBytes])
	salt := buf[idBytes+secretBytes:]
	sum := hash(salt, secret)
	return secret, Key{ID: id, Salt: salt, Hash: sum[:], CreatedAt: now.UTC()}, nil
}

// ID returns the public part of a secret, by which its stored form is looked up.
func ID(secret string) (id string, ok bool) {
	rest, ok := strings.CutPrefix(secret, prefix+".")
	if !ok {
		return "", false
	}
	id, _, ok = strings.Cut(rest, ".")
	return id, ok && id != ""
}

// Verify reports whether secret is the one that k was generated with. The comparison takes
// constant time. One round of SHA-256 is enough because the secret has
// 256 random bits and cannot be guessed with a dictionary.
func (k Key) Verify(secret string) bool {
	sum := hash(k.Salt, secret)
	return subtle.ConstantTimeCompare(sum[:], k.Hash) == 1
}

// hash returns the salted hash of secret. It runs for each request, so it concatenates salt
// and secret in a buffer on the stack, which is large enough for every generated secret.
func hash(salt []byte, secret string) [sha256.Size]byte {
	var buf [hashBuffer]byte
	return sha256.Sum256(append(append(buf[:0], salt...), secret...))
}
