package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/kvfake"
	"egretdrum.example/meter"
	"egretdrum.example/relay"
	"egretdrum.example/storekeys"
	"egretdrum.example/supervision"
)

// owner is an owner that commits changes for other hosts.
type owner struct {
	store           *kvfake.Fake
	committer       *relay.Committer
	served, enabled bool
	stop            func()
}

func newOwner(t *testing.T) *owner {
	o := &owner{store: kvfake.New(), served: true, enabled: true}
	m := meter.New()
	o.committer = relay.New(o.store.Store(), func() bool { return o.served }, func() bool { return o.enabled }, zap.NewNop(), m, &supervision.Supervisor{Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); o.committer.Run(ctx) }()
	o.stop = func() { cancel(); <-ended; qt.Check(t, m.Close(), qt.IsNil) }
	return o
}

func submission(bytes int) kv.Change {
	key := storekeys.Job("1")
	return kv.Change{Conditions: []kv.Condition{{Key: key}}, Puts: []kv.Put{{Key: key, Value: make([]byte, bytes)}}}
}

// commit has a change committed and returns a channel with its error.
func (o *owner) commit(c kv.Change, within time.Duration) <-chan error {
	result := make(chan error, 1)
	o.committer.Commit(c, within, func(_ int64, err error) { result <- err })
	return result
}

// Guards against an owner that writes other keys than submissions for a host, that sends changes to a
// store that does not serve it, or that goes on although it is told not to.
func TestChangesThatAreNotCommitted(t *testing.T) {
	foreign := submission(1)
	foreign.Deletes = []string{storekeys.Owner}
	other := kv.Change{Puts: []kv.Put{{Key: storekeys.Result("1")}}}
	for _, test := range []struct {
		name            string
		change          kv.Change
		served, enabled bool
		within          time.Duration
	}{
		{"foreign delete", foreign, true, true, time.Second},
		{"foreign put", other, true, true, time.Second},
		{"no write", kv.Change{}, true, true, time.Second},
		{"not served", submission(1), false, true, time.Second},
		{"off", submission(1), true, false, time.Second},
		{"too late", submission(1), true, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOwner(t)
				defer o.stop()
				o.served, o.enabled = test.served, test.enabled
				qt.Assert(t, kv.NotApplied(<-o.commit(test.change, test.within)), qt.IsTrue)
				qt.Assert(t, o.store.Calls("commit"), qt.Equals, 0)
			})
		})
	}
}

// Guards against an owner whose memory fills with the changes of others while the store is slow, that
// keeps a link waiting, or that sends a change after it has said that it would not.
func TestBounds(t *testing.T) {
	for name, size := range map[string]int{"number": 100, "bytes": 256 << 10} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOwner(t)
				defer o.stop()
				o.store.SetDelay(500 * time.Millisecond)
				var results []<-chan error
				started := time.Now()
				for range 200 {
					results = append(results, o.commit(submission(size), 400*time.Millisecond))
					synctest.Wait()
				}
				qt.Assert(t, time.Since(started), qt.Equals, time.Duration(0))
				unknown := 0
				for _, r := range results {
					if !kv.NotApplied(<-r) {
						unknown++
					}
				}
				qt.Assert(t, unknown, qt.Equals, map[string]int{"number": 32, "bytes": 15}[name])
				// The memory of these is free again.
				o.store.SetDelay(0)
				qt.Assert(t, <-o.commit(submission(size), time.Second), qt.IsNil)
				qt.Assert(t, o.store.Item(storekeys.Job("1")).Revision > 0, qt.IsTrue)
			})
		})
	}
}

// Guards against an outcome that the host takes for a refusal although the store may carry it out.
func TestUnansweredChangeIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(t)
		defer o.stop()
		o.store.SetFault(func(string) kvfake.Fault { return kvfake.Unanswered })
		err := <-o.commit(submission(1), time.Second)
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, kv.NotApplied(err), qt.IsFalse)
	})
}

// Guards against the changes of a fleet at its rate limit that use up the calls of the owner, which
// needs them for its own lease.
func TestRefusedOwnerPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(t)
		defer o.stop()
		o.store.SetFault(func(string) kvfake.Fault { return kvfake.Refused })
		qt.Assert(t, kv.NotApplied(<-o.commit(submission(1), time.Second)), qt.IsTrue)
		o.store.SetFault(nil)
		qt.Assert(t, kv.NotApplied(<-o.commit(submission(1), time.Second)), qt.IsTrue)
		qt.Assert(t, o.store.Calls("commit"), qt.Equals, 1)
		time.Sleep(time.Second)
		qt.Assert(t, <-o.commit(submission(1), time.Second), qt.IsNil)
	})
}
