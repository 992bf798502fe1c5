package ownerlink_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/kv"
	"egretdrum.example/storekeys"
)

var errInjected = errors.New("injected")

// connectedTo returns a link to an owner that handles relayed changes by commit.
func connectedTo(t *testing.T, commit func(c kv.Change, reply func(int64, error))) (*host, func(context.Context, kv.Change) (int64, error)) {
	h, l := newHost(t, "term 7"), newLink(t)
	h.server.Commit = func(c kv.Change, within time.Duration, reply func(int64, error)) {
		qt.Check(t, within > time.Second && within <= 1200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", within))
		commit(c, reply)
	}
	l.SetOwner(h.at, h.token)
	waitConnected(t, l, true)
	return h, l.Commit
}

// Guards against a change that reaches the owner with other conditions or values, and against outcomes
// that mean something else to the host than to the owner.
func TestRelayedChanges(t *testing.T) {
	change := kv.Change{
		Conditions: []kv.Condition{{Key: "config", Revision: 12}, {Key: storekeys.Job("1")}},
		Puts:       []kv.Put{{Key: storekeys.Job("1"), Value: []byte("job"), Lease: 5}, {Key: storekeys.Cancel("2"), Value: []byte{}}},
		Deletes:    []string{storekeys.Cancel("1")},
	}
	config := kv.Item{Key: "config", Value: []byte("new"), Revision: 13}
	large := kv.Item{Key: "config", Value: make([]byte, 1<<20), Revision: 13}
	bare := kv.Item{Key: "config", Revision: 13}
	stored := kv.Item{Key: storekeys.Job("1"), Value: make([]byte, 100<<10), Revision: 9}
	medium := kv.Item{Key: "config", Value: make([]byte, 100<<10), Revision: 13}
	for _, test := range []struct {
		name          string
		revision      int64
		err           error
		conflict      []kv.Item
		wantNotSent   bool
		wantRemainder []kv.Item
	}{
		{name: "applied", revision: 14},
		{name: "conflict", conflict: []kv.Item{config}, wantRemainder: []kv.Item{config}},
		{name: "conflict with an item above the limit", conflict: []kv.Item{large, config}, wantRemainder: []kv.Item{bare, config}},
		{name: "conflict with a stored job and a large configuration", conflict: []kv.Item{medium, stored}, wantRemainder: []kv.Item{stored, bare}},
		{name: "not applied", err: &kv.UnavailableError{NotApplied: true, Cause: errInjected}, wantNotSent: true},
		{name: "unknown", err: &kv.UnavailableError{Cause: errInjected}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, commit := connectedTo(t, func(c kv.Change, reply func(int64, error)) {
				qt.Check(t, c, qt.DeepEquals, change)
				if test.conflict != nil {
					test.err = &kv.ConflictError{Items: test.conflict}
				}
				reply(test.revision, test.err)
			})
			revision, err := commit(t.Context(), change)
			qt.Assert(t, revision, qt.Equals, test.revision)
			qt.Assert(t, err == nil, qt.Equals, test.err == nil)
			qt.Assert(t, kv.NotApplied(err), qt.Equals, test.wantNotSent)
			var conflict *kv.ConflictError
			if errors.As(err, &conflict) {
				qt.Assert(t, conflict.Items, qt.DeepEquals, test.wantRemainder)
			}
		})
	}
}

// Guards against a refusal of a change that the owner has sent before it died, or that it has not
// answered.
func TestRelayedChangeWithoutOutcomeIsUnknown(t *testing.T) {
	for _, name := range []string{"owner dies", "no answer"} {
		t.Run(name, func(t *testing.T) {
			var h *host
			var commit func(context.Context, kv.Change) (int64, error)
			h, commit = connectedTo(t, func(kv.Change, func(int64, error)) {
				if name == "owner dies" {
					go h.closeConnections()
				}
			})
			_, err := commit(t.Context(), kv.Change{})
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, kv.NotApplied(err), qt.IsFalse)
		})
	}
}

// Guards against an unknown outcome of a change that was never sent, or that the owner does not commit.
func TestRelayedChangeThatIsNotCommitted(t *testing.T) {
	unconnected := newLink(t)
	_, err := unconnected.Commit(t.Context(), kv.Change{})
	qt.Assert(t, kv.NotApplied(err), qt.IsTrue)
	h, l := newHost(t, "term 7"), newLink(t)
	l.SetOwner(h.at, h.token)
	waitConnected(t, l, true)
	for _, value := range [][]byte{nil, make([]byte, 1<<20)} {
		_, err = l.Commit(t.Context(), kv.Change{Puts: []kv.Put{{Key: "k", Value: value}}})
		qt.Assert(t, kv.NotApplied(err), qt.IsTrue)
	}
}

// Guards against an unknown outcome for a caller whose time was over before the change was sent.
func TestChangeIsNotSentAfterItsTime(t *testing.T) {
	_, commit := connectedTo(t, func(kv.Change, func(int64, error)) { t.Error("sent") })
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := commit(ended, kv.Change{})
	qt.Assert(t, kv.NotApplied(err), qt.IsTrue)
}
