// Package kv defines the calls of the key-value service that holds all durable state.
package kv

import (
	"context"
	"errors"
	"time"
)

// Store holds the calls of the service. The adapter of a platform provides the functions;
// tests provide their own.
type Store struct {
	// Get returns the newest item of a key, ErrNotFound if there is none.
	Get func(ctx context.Context, key string) (Item, error)
	// Range returns all items whose keys begin with prefix. It reads page after page, so a
	// change made in between may be missing; a watch from the returned revision delivers it. With an
	// error it returns the items of the pages that were read.
	Range func(ctx context.Context, prefix string) (items []Item, revision int64, err error)
	// Watch returns the events after a revision as soon as there are any, or none when wait
	// has passed. After ErrCompacted the range must be read again.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) (events []Event, revision int64, err error)
	// Commit applies a change if its conditions hold, and returns its revision. Otherwise it
	// returns a *ConflictError with the current items of the conditions.
	Commit func(ctx context.Context, c Change) (revision int64, err error)
	// Grant creates a lease, Renew extends it, Revoke ends it and removes its keys.
	Grant  func(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error)
	Renew  func(ctx context.Context, lease int64) (time.Duration, error)
	Revoke func(ctx context.Context, lease int64) error
}

// Item is a key with its value. The zero revision means that the key does not exist.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    int64
}

// Event is the write of an item or the deletion of a key.
type Event struct {
	Item
	Deleted bool
}

// Condition requires that a key has a revision; zero requires that it does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes a value, under a lease unless that is zero.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Change is a set of writes that is applied atomically.
type Change struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// MaxEntries is the maximum number of conditions, puts and deletes of a change in total.
const MaxEntries = 32

var (
	// ErrNotFound means that a key or a lease does not exist.
	ErrNotFound = errors.New("not found in the store")
	// ErrCompacted means that the events after a revision are no longer available.
	ErrCompacted = errors.New("the store has dropped the history since the requested revision")
	// ErrTooLarge means that an answer is larger than its receiver takes.
	ErrTooLarge = errors.New("the answer of the store is too large")
)

// UnavailableError reports a call without a usable answer.
type UnavailableError struct {
	// NotApplied is set if the call certainly had no effect and will have none.
	NotApplied bool
	Cause      error
}

func (e *UnavailableError) Error() string { return "store unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// RejectedError reports a call that the store rejects because of its content, such as a value that is
// too large. It had no effect, and the store rejects it however often it is made.
type RejectedError struct{ Cause error }

func (e *RejectedError) Error() string { return "rejected by the store: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.Cause }

// Rejected reports whether err is from a call that the store rejects however often it is made.
func Rejected(err error) bool {
	var r *RejectedError
	return errors.As(err, &r)
}

// NotApplied reports whether err is from a call that certainly has no effect.
func NotApplied(err error) bool {
	var u *UnavailableError
	return Rejected(err) || errors.As(err, &u) && u.NotApplied
}

// ConflictError reports a change whose conditions do not hold.
type ConflictError struct{ Items []Item }

func (e *ConflictError) Error() string { return "the store has newer items" }

// Find returns the current item of a key; its revision is zero if it does not exist.
func (e *ConflictError) Find(key string) Item {
	for _, item := range e.Items {
		if item.Key == key {
			return item
		}
	}
	return Item{Key: key}
}
