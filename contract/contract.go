// Package contract describes what one client account is entitled to. Operators set
// the keys, the share and the upper limit; every other limit is derived from them.
package contract

import (
	"fmt"
	"slices"

	"egretdrum.example/teamkey"
)

// ShareWhole is the share of the whole fleet and the maximum sum of all shares. Shares are
// millionths of the fleet.
const ShareWhole = 1_000_000

// MaxLimit bounds an upper limit, so that sums of limits do not overflow.
const MaxLimit = 1_000_000

// Contract is the entitlement of the team of one client account.
type Contract struct {
	Team  string        `json:"team"`
	Keys  []teamkey.Key `json:"keys"`
	Share int64         `json:"share-millionths"`
	Limit int           `json:"upper-limit"`
}

// FieldError reports a contract field outside its accepted range.
type FieldError struct {
	Team, Field, Value, Accepted string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("contract %s: %s is %s; accepted: %s", e.Team, e.Field, e.Value, e.Accepted)
}

// Validate checks the contract alone, without the rest of the configuration.
func (c Contract) Validate() error {
	if c.Share < 0 || c.Share > ShareWhole {
		return c.fieldError("share-millionths", fmt.Sprint(c.Share), fmt.Sprintf("0 to %d", ShareWhole))
	}
	if c.Limit < 1 || c.Limit > MaxLimit {
		return c.fieldError("upper-limit", fmt.Sprint(c.Limit), fmt.Sprintf("1 to %d", MaxLimit))
	}
	seen := make(map[string]bool, len(c.Keys))
	for _, k := range c.Keys {
		if k.ID == "" || len(k.Hash) == 0 || seen[k.ID] {
			return c.fieldError("keys", fmt.Sprintf("%q", k.ID), "distinct ids, each with a hash")
		}
		seen[k.ID] = true
	}
	return nil
}

// WithKey returns a copy of c that also accepts k.
func (c Contract) WithKey(k teamkey.Key) Contract {
	c.Keys = append(slices.Clone(c.Keys), k)
	return c
}

// WithoutKey returns a copy of c that no longer accepts the key with this id.
func (c Contract) WithoutKey(id string) (Contract, bool) {
	n := slices.IndexFunc(c.Keys, func(k teamkey.Key) bool { return k.ID == id })
	if n < 0 {
		return c, false
	}
	c.Keys = slices.Delete(slices.Clone(c.Keys), n, n+1)
	return c, true
}

func (c Contract) fieldError(field, value, accepted string) error {
	return &FieldError{Team: c.Team, Field: field, Value: value, Accepted: accepted}
}
