package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/platformfake"
	"egretdrum.example/property"
	"egretdrum.example/store"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.nofailfile": "true", "rapid.shrinktime": "0s", "rapid.checks": "25"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// testOf returns a property test of a manager with the mutation.
func testOf(mut mutation) func(testing.TB) {
	return func(t testing.TB) { rapid.Check(t, managerProperty(mut)) }
}

var errCrash = errors.New("crash between the two writes")

// outcome is the result of one change as reported to the operator.
type outcome int

const (
	uncertain outcome = iota
	accepted
	refused
)

// testCluster is a fake platform with the managers of some entry hosts, and the oracle: the
// outcomes that were reported to operators.
type testCluster struct {
	platform   *platformfake.Platform
	server     *httptest.Server
	managers   []*ConfigManager
	newest     []uint64 // highest version that each manager has announced
	violations []string // wrong reports to operators, and versions that went back
	outcomes   map[string]outcome
	mu         sync.Mutex
	racing     bool
	n          int
}

func newTestCluster(hosts int, mut mutation) *testCluster {
	x := &testCluster{platform: platformfake.New(), outcomes: make(map[string]outcome), newest: make([]uint64, hosts)}
	x.server = httptest.NewServer(x.platform.Handler())
	x.server.Config.ErrorLog = nil
	for host := range hosts {
		m := New(store.New(x.server.URL, time.Minute))
		m.mutation = mut
		m.Changed = func(cfg *fleet.Config) {
			x.mu.Lock()
			defer x.mu.Unlock()
			if cfg.Version <= x.newest[host] {
				x.violations = append(x.violations, fmt.Sprintf("host %d: version %d after %d", host, cfg.Version, x.newest[host]))
			}
			x.newest[host] = cfg.Version
		}
		x.managers = append(x.managers, m)
	}
	return x
}

// change returns a change that sets or removes a pool, based on the value that the host has.
func (x *testCluster) change(host int, pool string, set bool) change.Change {
	x.n++
	before, err := x.managers[host].Config().Object(change.KindPool, pool)
	if err != nil {
		panic(err)
	}
	c := change.Change{ID: fmt.Sprintf("id-%d", x.n), Operator: fmt.Sprintf("op-%d", host), Kind: change.KindPool, Name: pool, Before: before}
	c.Version = x.managers[host].Config().Version
	if set {
		c.After = json.RawMessage(`{"min-available":0}`)
	}
	return c
}

func (x *testCluster) accept(host int, c change.Change) error {
	fromNewest := x.upToDate(host, c)
	_, err := x.managers[host].Accept(context.Background(), c)
	x.mu.Lock()
	defer x.mu.Unlock()
	var acceptErr *ConfigError
	var conflict *fleet.ConflictError
	switch {
	case errors.As(err, &conflict) && fromNewest && !x.racing:
		x.violations = append(x.violations, fmt.Sprintf("change %s was made from the newest version: %v", c.ID, err))
	case x.outcomes[c.ID] == accepted && err != nil && !errors.As(err, &acceptErr):
		x.violations = append(x.violations, fmt.Sprintf("accepted change %s is refused when repeated: %v", c.ID, err))
	case err == nil:
		x.outcomes[c.ID] = accepted
	case !errors.As(err, &acceptErr) && x.outcomes[c.ID] == uncertain:
		x.outcomes[c.ID] = refused
	}
	return err
}

// upToDate reports whether c is based on the version that is stored now.
func (x *testCluster) upToDate(host int, c change.Change) bool {
	cfg, err := fleet.Decode(x.platform.Value(configKey))
	return err == nil && cfg.Version == c.Version && x.managers[host].Config().Version == c.Version
}

func (x *testCluster) refresh(host int) { _ = x.managers[host].Refresh(context.Background()) }

// repair ends all faults of the platform.
func (x *testCluster) repair() {
	x.platform.SetDown(false)
	x.platform.SetStale(false)
	x.platform.LoseWriteResponses(0)
	x.platform.HoldWrites(0)
	x.platform.ReleaseWrites()
}

// check compares the stored document and the audit trail with the oracle: a replay of the
// trail must give the document, and an accepted change must be in the trail once, a refused
// one not at all.
func (x *testCluster) check(t *rapid.T) {
	x.repair()
	if len(x.violations) > 0 {
		t.Fatalf("%v", x.violations)
	}
	trail, err := x.managers[0].Audit(context.Background())
	if err != nil {
		t.Fatalf("audit: %v", err)
	}
	count, pools := make(map[string]int), make(map[string]string)
	for n, c := range trail {
		count[c.ID]++
		if c.Version != uint64(n+1) {
			t.Fatalf("record %d of the audit trail has version %d", n+1, c.Version)
		}
		if pools[c.Name] != string(c.Before) {
			t.Fatalf("version %d overwrote %q, which the operator had not seen", c.Version, pools[c.Name])
		}
		pools[c.Name] = string(c.After)
	}
	for id, reported := range x.outcomes {
		if n := count[id]; n > 1 || reported == accepted && n != 1 || reported == refused && n != 0 {
			t.Fatalf("change %s with outcome %d is %d times in the trail", id, reported, n)
		}
	}
	x.checkDocument(t, pools, len(trail))
}

func (x *testCluster) checkDocument(t *rapid.T, pools map[string]string, version int) {
	b := x.platform.Value(configKey)
	if b == nil && version == 0 {
		return
	}
	cfg, err := fleet.Decode(b)
	if err != nil || cfg.Version != uint64(version) {
		t.Fatalf("stored version %d after %d changes: %v", cfg.Version, version, err)
	}
	for name, want := range pools {
		if got, err := cfg.Object(change.KindPool, name); err != nil || string(got) != want {
			t.Fatalf("pool %s is %s, the trail gives %s", name, got, want)
		}
	}
	for host, m := range x.managers {
		x.refresh(host)
		if got := m.Config(); got.Version != cfg.Version {
			t.Fatalf("host %d stays at version %d of %d", host, got.Version, cfg.Version)
		}
	}
}

// managerProperty runs random operators, entry hosts and faults against one platform.
func managerProperty(mut mutation) func(*rapid.T) {
	return func(t *rapid.T) {
		x := newTestCluster(3, mut)
		defer x.server.Close()
		host := rapid.IntRange(0, len(x.managers)-1)
		pool := rapid.SampledFrom([]string{"a/p", "b/p"})
		drawChange := func(t *rapid.T) (int, change.Change) {
			h := host.Draw(t, "host")
			return h, x.change(h, pool.Draw(t, "pool"), rapid.Bool().Draw(t, "set"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) { _ = x.accept(drawChange(t)) },
			"repeat": func(t *rapid.T) {
				h, c := drawChange(t)
				_ = x.accept(h, c)
				for range rapid.IntRange(0, 70).Draw(t, "others") {
					_ = x.accept(h, x.change(h, "c/p", x.n%2 == 0))
				}
				_ = x.accept(host.Draw(t, "second host"), c)
			},
			"race": func(t *rapid.T) {
				var done sync.WaitGroup
				x.racing = true
				for range 3 {
					h, c := drawChange(t)
					done.Go(func() { _ = x.accept(h, c) })
				}
				done.Wait()
				x.racing = false
			},
			"refresh together": func(t *rapid.T) {
				h := host.Draw(t, "host")
				var done sync.WaitGroup
				for range 2 {
					done.Go(func() { x.refresh(h) })
				}
				done.Wait()
			},
			"old answer of a peer": func(t *rapid.T) {
				h, cfg := host.Draw(t, "host"), x.managers[host.Draw(t, "peer")].Config()
				x.managers[h].Adopt(cfg)
			},
			"delta of a peer": func(t *rapid.T) {
				m, peer := x.managers[host.Draw(t, "host")], x.managers[host.Draw(t, "peer")]
				delta, ok := peer.Config().Changes(m.Config().Version)
				if err := m.AdoptDelta(delta); ok && err != nil {
					t.Fatalf("delta: %v", err)
				}
			},
			"crash while archiving": func(t *rapid.T) {
				h, c := drawChange(t)
				x.managers[h].afterArchive = func() error { return errCrash }
				for range rapid.IntRange(0, 40).Draw(t, "before the crash") {
					if errors.Is(x.accept(h, c), errCrash) {
						break
					}
					c = x.change(h, "c/p", x.n%2 == 0)
				}
				x.managers[h].afterArchive = func() error { return nil }
			},
			"lose answers": func(t *rapid.T) { x.platform.LoseWriteResponses(rapid.IntRange(1, 3).Draw(t, "writes")) },
			"late writes":  func(t *rapid.T) { x.platform.HoldWrites(rapid.IntRange(1, 9).Draw(t, "writes")) },
			"late effect":  func(*rapid.T) { x.platform.ReleaseWrites() },
			"store down":   func(t *rapid.T) { x.platform.SetDown(rapid.Bool().Draw(t, "down")) },
			"stale reads":  func(t *rapid.T) { x.platform.SetStale(rapid.Bool().Draw(t, "stale")) },
			"repair":       func(*rapid.T) { x.repair() },
			"damaged value": func(t *rapid.T) {
				intact := x.platform.Value(configKey)
				if intact == nil {
					return
				}
				x.platform.SetValue(configKey, intact[:len(intact)-1])
				h, c := drawChange(t)
				if x.accept(h, c) == nil {
					t.Fatalf("a change was accepted on a damaged document")
				}
				x.refresh(h)
				x.platform.SetValue(configKey, intact)
			},
		})
		x.check(t)
	}
}

// TestConfigManager guards against a change that is lost, applied twice or audited twice,
// and against a host that goes back to an older version. Writes whose response is lost or
// that take effect late, stale reads, crashes and concurrent changes cause them.
func TestConfigManager(t *testing.T) { testOf(mutation{})(t) }

// TestConfigManagerMutants shows that TestConfigManager fails without each of the rules.
func TestConfigManagerMutants(t *testing.T) {
	for name, mut := range map[string]mutation{
		"an older version is adopted":                     {adoptOlder: true},
		"the change id is not looked up":                  {skipIDCheck: true},
		"the document is written over a newer one":        {blindWrite: true},
		"changes leave the document without an archive":   {skipArchive: true},
		"a read older than the host's version is trusted": {acceptOldReads: true},
	} {
		t.Run(name, func(t *testing.T) { qt.Check(t, property.Fails(t, testOf(mut)), qt.IsTrue) })
	}
}

// TestAdoptOrder guards against two goroutines that announce their versions in the wrong
// order, so that the listener goes back to the older one. In the mutant, Adopt does not
// hold its lock during the announcement, and the second version is announced before that of
// the first ends. With the lock, the test yields many times to let the second one overtake.
func TestAdoptOrder(t *testing.T) {
	ordered := func(mut mutation) bool {
		m := New(store.New("", time.Minute))
		m.mutation = mut
		var announced []uint64
		second, done := make(chan struct{}), make(chan struct{})
		m.Changed = func(cfg *fleet.Config) {
			if cfg.Version == 1 {
				go func() { defer close(done); m.Adopt(&fleet.Config{Version: 2}) }()
				for n := 0; n < 10_000 && !mut.unordered; n++ {
					runtime.Gosched()
				}
				if mut.unordered {
					<-second
				}
			}
			announced = append(announced, cfg.Version)
			if cfg.Version == 2 {
				close(second)
			}
		}
		m.Adopt(&fleet.Config{Version: 1})
		<-done
		return slices.IsSorted(announced)
	}
	qt.Check(t, ordered(mutation{}), qt.IsTrue)
	qt.Check(t, ordered(mutation{unordered: true}), qt.IsFalse)
}

// TestConflict guards against a conflict error that does not say what changed and by whom.
func TestConflict(t *testing.T) {
	x := newTestCluster(2, mutation{})
	defer x.server.Close()
	first, second := x.change(0, "a/p", true), x.change(1, "a/p", true)
	first.Reason = "portal for the open"
	qt.Assert(t, x.accept(0, first), qt.IsNil)
	err := x.accept(1, second)
	var conflict *fleet.ConflictError
	qt.Assert(t, errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, conflict.Current, qt.Equals, `{"min-available":0}`)
	qt.Check(t, err, qt.ErrorMatches, `pool a/p was changed by op-0 in version 1 .*portal for the open.*expected no such object.*`)
}

// checkUnusable checks that an unusable stored value leaves the last valid configuration in
// force, and that a change made after it writes nothing.
func checkUnusable(value []byte, want string, mut mutation) func(testing.TB) {
	return func(t testing.TB) {
		x := newTestCluster(1, mut)
		defer x.server.Close()
		qt.Assert(t, x.accept(0, x.change(0, "a/p", true)), qt.IsNil)
		valid := x.managers[0].Config()
		x.platform.SetValue(configKey, value)
		if err := x.managers[0].Refresh(context.Background()); value != nil {
			qt.Check(t, err, qt.ErrorMatches, want)
		}
		qt.Check(t, x.accept(0, x.change(0, "b/p", true)), qt.ErrorMatches, want)
		qt.Check(t, x.managers[0].Config(), qt.Equals, valid)
		qt.Check(t, string(x.platform.Value(configKey)), qt.Equals, string(value))
	}
}

// TestUnusableValue guards against a damaged, oversized or removed value that replaces the
// last valid configuration, and against an error that does not name the key and the
// position. In the mutant, a damaged value counts as an empty document.
func TestUnusableValue(t *testing.T) {
	for name, test := range map[string]struct {
		value []byte
		want  string
	}{
		"syntax":     {[]byte("{\"version\": 9,\n oops"), ".*store key config: .*line 2, column 2: .*"},
		"shape":      {[]byte(`{"version": 9, "pools": {"a/p": 1}}`), ".*store key config: .*field pools.*"},
		"not valid":  {[]byte(`{"version": 9, "services": {"a/s": {"pool": "a/none"}}}`), `.*store key config: service a/s refers to pool "a/none".*`},
		"over 1 MB":  {[]byte(strings.Repeat(" ", store.MaxValueBytes+2)), ".*value of config has .*"},
		"wrong kind": {[]byte("[]"), ".*store key config: .*line 1, .*"},
		"removed":    {nil, ".*store key config has version 0, older than version 1 .*"},
	} {
		t.Run(name, func(t *testing.T) { checkUnusable(test.value, test.want, mutation{})(t) })
	}
	qt.Check(t, property.Fails(t, checkUnusable([]byte("oops"), ".*", mutation{trustDamaged: true})), qt.IsTrue)
}

// fullDocument returns a test cluster whose next change moves older ones to an audit key.
func fullDocument(t testing.TB, mut mutation) *testCluster {
	x := newTestCluster(1, mut)
	for x.managers[0].Config().Version < fleet.RecentChanges {
		qt.Assert(t, x.accept(0, x.change(0, "a/p", x.n%2 == 0)), qt.IsNil)
	}
	return x
}

// TestTooLarge guards against a change that is refused for its size after an audit key was
// written. In the mutant, only the store checks the size.
func TestTooLarge(t *testing.T) {
	test := func(mut mutation) func(testing.TB) {
		return func(t testing.TB) {
			x := fullDocument(t, mut)
			defer x.server.Close()
			c := x.change(0, "b/p", true)
			c.Operator = strings.Repeat("x", store.MaxValueBytes)
			var tooLarge *store.TooLargeError
			qt.Check(t, errors.As(x.accept(0, c), &tooLarge), qt.IsTrue)
			qt.Check(t, x.platform.Value(auditKey(1)), qt.IsNil)
			qt.Check(t, x.managers[0].Config().Version, qt.Equals, uint64(fleet.RecentChanges))
		}
	}
	test(mutation{})(t)
	qt.Check(t, property.Fails(t, test(mutation{archiveBeforeSizeCheck: true})), qt.IsTrue)
}

// TestArchiveConflict guards against dropping changes after the document or the audit keys
// were restored from a backup, so that an existing audit key holds other changes. In the
// mutant, any content of the key is accepted.
func TestArchiveConflict(t *testing.T) {
	test := func(mut mutation) func(testing.TB) {
		return func(t testing.TB) {
			x := fullDocument(t, mut)
			defer x.server.Close()
			x.platform.SetValue(auditKey(1), []byte(`[]`))
			qt.Check(t, x.accept(0, x.change(0, "a/p", true)), qt.ErrorMatches, ".*store key "+auditKey(1)+": holds other changes.*")
		}
	}
	test(mutation{})(t)
	qt.Check(t, property.Fails(t, test(mutation{skipArchiveCheck: true})), qt.IsTrue)
}

// Guards against a key under the audit prefix that no host has written: it hid the audit key that
// is sorted before it, so that changes were missing from the trail.
func TestForeignAuditKeyHidesNoChanges(t *testing.T) {
	x := fullDocument(t, mutation{})
	defer x.server.Close()
	for range 2 * fleet.RecentChanges {
		qt.Assert(t, x.accept(0, x.change(0, "a/p", true)), qt.IsNil)
	}
	before, err := x.managers[0].Audit(context.Background())
	qt.Assert(t, err, qt.IsNil)
	x.platform.SetValue(auditPrefix+"notes", []byte(`"written by hand"`))
	after, err := x.managers[0].Audit(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(after), qt.Equals, len(before))
}

// concurrentPermits lets all hosts drain a worker of a pool that can spare one, each based
// on the version before the others' changes.
func concurrentPermits(mut mutation) func(testing.TB) {
	return func(t testing.TB) {
		x := newTestCluster(3, mut)
		defer x.server.Close()
		put := func(host int, name, after string) error {
			before, err := x.managers[host].Config().Object(change.KindWorker, name)
			if err != nil {
				return err
			}
			_, err = x.managers[host].Accept(context.Background(), change.Change{
				ID: name + after, Operator: "op", Kind: change.KindWorker, Name: name, Before: before, After: json.RawMessage(after),
			})
			return err
		}
		qt.Assert(t, x.accept(0, x.change(0, "a/p", true)), qt.IsNil)
		for host := range x.managers {
			qt.Assert(t, put(0, fmt.Sprint("w", host), `{"pool":"a/p","leaving":false}`), qt.IsNil)
		}
		// The hosts race only if each has begun its check before another one has written.
		var group, checking sync.WaitGroup
		checking.Add(len(x.managers))
		for _, m := range x.managers {
			qt.Assert(t, m.Refresh(context.Background()), qt.IsNil)
			var first sync.Once
			m.Check = func(_ context.Context, _, next *fleet.Config, _ change.Change) error {
				first.Do(func() { checking.Done(); checking.Wait() })
				if countLeaving(next) > 1 {
					return errCrash
				}
				return nil
			}
		}
		for host := range x.managers {
			group.Go(func() { _ = put(host, fmt.Sprint("w", host), `{"pool":"a/p","leaving":true}`) })
		}
		group.Wait()
		qt.Assert(t, x.managers[0].Refresh(context.Background()), qt.IsNil)
		if n := countLeaving(x.managers[0].Config()); n != 1 {
			t.Errorf("%d workers left, the check allows one", n)
		}
	}
}

func countLeaving(cfg *fleet.Config) (n int) {
	for _, w := range cfg.Workers {
		if w.Leaving {
			n++
		}
	}
	return n
}

// TestConcurrentPermits guards against a check of another document than the one that the
// write replaces: two operators would both get the last permit.
func TestConcurrentPermits(t *testing.T) {
	concurrentPermits(mutation{})(t)
	qt.Check(t, property.Fails(t, concurrentPermits(mutation{checkCached: true})), qt.IsTrue)
}
