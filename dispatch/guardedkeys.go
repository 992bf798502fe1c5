package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"egretdrum.example/kv"
	"egretdrum.example/storekeys"
)

// guardedKeys changes keys that only the owner writes. Each change depends on the owner's key and on
// the revision of each key that it writes: the store may carry out a change that it did not answer
// seconds later, when a newer one has replaced it.
type guardedKeys struct {
	store kv.Store
	term  int64

	mu        sync.Mutex
	revisions map[string]int64
	// uncertain has the keys that an unanswered change may still create. They are emptied in place of
	// deleted, so that the condition of that change, a key that does not exist, no longer holds.
	uncertain map[string]bool
}

func newGuardedKeys(store kv.Store, term int64) *guardedKeys {
	return &guardedKeys{store: store, term: term, revisions: make(map[string]int64), uncertain: make(map[string]bool)}
}

// guardedKeysPerChange leaves one entry of a change for the condition on the owner's key. Each key
// needs two, its condition and its put or delete.
const guardedKeysPerChange = (kv.MaxEntries - 1) / 2

// ownerReplacedError reports that another host is the owner.
type ownerReplacedError struct{ term int64 }

func (e *ownerReplacedError) Error() string {
	return fmt.Sprintf("another host has become the owner since term %d", e.term)
}

// setRevision records the revision of a key that was read, zero if it does not exist.
func (g *guardedKeys) setRevision(key string, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revisions[key] = revision
}

// commit stores values under some keys and deletes others, or leaves them without a value. It repeats
// the change with the present revisions if it was made with older ones, unless the keys have these
// values already.
func (g *guardedKeys) commit(ctx context.Context, puts []kv.Put, deletes []string) error {
	puts, deletes = g.emptyUncertain(puts, deletes)
	for {
		revision, err := g.store.Commit(ctx, g.change(puts, deletes))
		var conflict *kv.ConflictError
		switch {
		case err == nil:
			for _, p := range puts {
				g.setRevision(p.Key, revision)
			}
			for _, key := range deletes {
				g.setRevision(key, 0)
			}
			return nil
		case kv.Rejected(err):
			return err
		case !errors.As(err, &conflict):
			g.markUncertain(puts)
			return err
		case conflict.Find(storekeys.Owner).Revision != g.term:
			return &ownerReplacedError{g.term}
		case g.adopt(conflict, puts, deletes):
			return nil
		}
	}
}

// emptyUncertain turns the deletes of uncertain keys into puts of an empty value.
func (g *guardedKeys) emptyUncertain(puts []kv.Put, deletes []string) ([]kv.Put, []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	puts = slices.Clone(puts)
	var certain []string
	for _, key := range deletes {
		if g.uncertain[key] {
			puts = append(puts, kv.Put{Key: key, Value: []byte{}})
		} else {
			certain = append(certain, key)
		}
	}
	return puts, certain
}

// markUncertain records that a change without an answer may create keys later.
func (g *guardedKeys) markUncertain(puts []kv.Put) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range puts {
		if g.revisions[p.Key] == 0 {
			g.uncertain[p.Key] = true
		}
	}
}

func (g *guardedKeys) change(puts []kv.Put, deletes []string) kv.Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := kv.Change{Conditions: []kv.Condition{{Key: storekeys.Owner, Revision: g.term}}, Puts: puts, Deletes: deletes}
	for _, p := range puts {
		c.Conditions = append(c.Conditions, kv.Condition{Key: p.Key, Revision: g.revisions[p.Key]})
	}
	for _, key := range deletes {
		c.Conditions = append(c.Conditions, kv.Condition{Key: key, Revision: g.revisions[key]})
	}
	return c
}

// adopt takes over the revisions of a conflict, and reports whether the change has taken effect before.
func (g *guardedKeys) adopt(conflict *kv.ConflictError, puts []kv.Put, deletes []string) bool {
	done := true
	for _, p := range puts {
		item := conflict.Find(p.Key)
		g.setRevision(p.Key, item.Revision)
		done = done && item.Revision > 0 && bytes.Equal(item.Value, p.Value)
	}
	for _, key := range deletes {
		item := conflict.Find(key)
		g.setRevision(key, item.Revision)
		done = done && item.Revision == 0
	}
	return done
}
