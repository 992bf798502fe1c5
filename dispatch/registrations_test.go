package dispatch

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"egretdrum.example/job"
	"egretdrum.example/kv"
	"egretdrum.example/platform"
	"egretdrum.example/progress"
	"egretdrum.example/scheduler"
	"egretdrum.example/worker"
)

// entry returns a registration in the platform's form, with some fields replaced; an empty value
// removes a field.
func entry(id string, fields map[string]string) string {
	all := map[string]string{
		"service": `"desk"`, "address": `"10.0.0.9:80"`, "state": `"ready"`, "capacity": `{"cpu":4000,"memMb":8000}`, "labels": `["a","r1-1"]`,
		"born": "1", "machine": fmt.Sprintf("%q", "m"+id), "zone": `"zone-a"`, "coldLeftMs": "0",
	}
	maps.Copy(all, fields)
	var rows []string
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if all[name] != "" {
			rows = append(rows, fmt.Sprintf("%q:%s", name, all[name]))
		}
	}
	return "{" + strings.Join(rows, ",") + "}"
}

// oddEntries are values that name no worker to use.
var oddEntries = map[string]string{
	"empty":                     "",
	"not JSON":                  "\xff\xfe\x00",
	"null":                      "null",
	"list":                      "[]",
	"deeply nested lists":       strings.Repeat("[", 400_000),
	"deeply nested objects":     strings.Repeat(`{"service":`, 80_000),
	"deeply nested field":       entry("x", map[string]string{"more": strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)}),
	"deeply nested capacity":    entry("x", map[string]string{"capacity": strings.Repeat(`{"cpu":`, 100_000) + "1" + strings.Repeat("}", 100_000)}),
	"large value":               entry("x", map[string]string{"service": `"` + strings.Repeat("d", 1<<20) + `"`, "state": "7"}),
	"capacity beyond a float":   entry("x", map[string]string{"capacity": `{"cpu":1e400,"memMb":8000}`}),
	"capacity beyond 64 bits":   entry("x", map[string]string{"capacity": `{"cpu":9223372036854775808,"memMb":8000}`}),
	"capacity of 63 bits":       entry("x", map[string]string{"capacity": `{"cpu":9223372036854775807,"memMb":9223372036854775807}`}),
	"negative capacity":         entry("x", map[string]string{"capacity": `{"cpu":-4000,"memMb":8000}`}),
	"fraction of a capacity":    entry("x", map[string]string{"capacity": `{"cpu":0.5,"memMb":8000}`}),
	"no capacity":               entry("x", map[string]string{"capacity": ""}),
	"port beyond 16 bits":       entry("x", map[string]string{"address": `"10.0.0.9:65536"`}),
	"port beyond 64 bits":       entry("x", map[string]string{"address": `"10.0.0.9:99999999999999999999"`}),
	"negative port":             entry("x", map[string]string{"address": `"10.0.0.9:-80"`}),
	"port zero":                 entry("x", map[string]string{"address": `"10.0.0.9:0"`}),
	"no port":                   entry("x", map[string]string{"address": `"10.0.0.9"`}),
	"unspecified address":       entry("x", map[string]string{"address": `"0.0.0.0:80"`}),
	"multicast address":         entry("x", map[string]string{"address": `"224.0.0.1:80"`}),
	"address of another type":   entry("x", map[string]string{"address": `{"ip":"10.0.0.9"}`}),
	"unknown state":             entry("x", map[string]string{"state": `"resting"`}),
	"incarnation beyond 64 bit": entry("x", map[string]string{"born": "1e300"}),
	"negative incarnation":      entry("x", map[string]string{"born": "-5"}),
	"endless time left":         entry("x", map[string]string{"state": `"draining"`, "remainingMs": "9223372036854775807"}),
	"endless cold start":        entry("x", map[string]string{"coldLeftMs": "9223372036854775807"}),
	"labels of another type":    entry("x", map[string]string{"labels": `{"rack":1}`}),
}

// oddKeys are keys that name no worker.
var oddKeys = map[string]string{
	"no name": "", "folder": "w0/", "name with a line break": "w0\r\nX-Forged: 1", "name with a space": "w 0",
}

// calledWorkers records the workers that an owner calls.
type calledWorkers struct {
	mu  sync.Mutex
	ids map[string]int
}

// watch replaces the calls of an owner, so that they are recorded, and its decoder, so that it is that of
// the platform.
func (r *calledWorkers) watch(o *Owner) {
	r.ids = make(map[string]int)
	start, poll := o.Calls.Start, o.Calls.Poll
	o.Calls.DecodeWorker, o.Calls.WorkerPrefix = platform.DecodeWorker, platform.WorkerPrefix
	o.Calls.Start = func(ctx context.Context, a scheduler.Start) scheduler.StartAnswer {
		r.add(a.Worker.ID)
		return start(ctx, a)
	}
	o.Calls.Poll = func(ctx context.Context, a scheduler.Poll) (*worker.Listing, bool, error) {
		r.add(a.Worker.ID)
		return poll(ctx, a)
	}
}

func (r *calledWorkers) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids[id]++
}

// take returns the called workers since the last call.
func (r *calledWorkers) take() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := slices.Sorted(maps.Keys(r.ids))
	clear(r.ids)
	return ids
}

// runRecorded runs a new owner whose calls are recorded, with the platform's decoder. prepare, unless nil,
// changes its calls.
func runRecorded(c *testCluster, prepare func(*Calls)) (r *calledWorkers, kill func(), ended <-chan struct{}) {
	r = new(calledWorkers)
	o := c.newOwner()
	r.watch(o)
	if prepare != nil {
		prepare(&o.Calls)
	}
	kill, ended = c.runOwner(o)
	return r, kill, ended
}

// newRegisteredCluster returns a cluster with two workers whose registrations have the platform's form.
func newRegisteredCluster(t *testing.T) *testCluster {
	c := newCluster(t, 2)
	for id := range c.workers {
		c.store.Put(platform.WorkerPrefix+id, []byte(entry(id, nil)))
	}
	return c
}

// assertServes checks that the owner still schedules, on the given workers only, in its first term.
func assertServes(t *testing.T, c *testCluster, r *calledWorkers, ended <-chan struct{}, id string, workers ...string) {
	t.Helper()
	c.submit(t, id, job.Step{Count: 6, Need: taskNeed})
	time.Sleep(5 * time.Second)
	assertStored(t, c, id, progress.Succeeded)
	called := r.take()
	qt.Assert(t, called, qt.DeepEquals, workers)
	select {
	case <-ended:
		t.Fatal("the term of the owner has ended")
	default:
	}
}

// Guards against an entry of another writer among the registrations of workers that ends the term of
// each owner which reads it, keeps the owner from following the others, or is taken for a worker.
func TestOddEntriesNameNoWorker(t *testing.T) {
	type oddEntry struct{ key, value string }
	odd := make(map[string]oddEntry)
	for name, value := range oddEntries {
		odd[name] = oddEntry{"x", value}
	}
	for name, key := range oddKeys {
		odd[name] = oddEntry{key, entry("w0", nil)}
	}
	for name, e := range odd {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRegisteredCluster(t)
				defer c.close()
				r, kill, ended := runRecorded(c, nil)
				time.Sleep(time.Second)
				c.store.Put(platform.WorkerPrefix+e.key, []byte(e.value))
				time.Sleep(time.Second)
				assertServes(t, c, r, ended, "seen by the watch", "w0", "w1")
				kill()
				r, kill, ended = runRecorded(c, nil)
				defer func() { kill() }()
				time.Sleep(2 * time.Second)
				assertServes(t, c, r, ended, "read by a new owner", "w0", "w1")
			})
		})
	}
}

// Guards against a worker that is used by its last valid registration although another writer has
// replaced it, and against one that is not used again once it has registered.
func TestOddEntryReplacesRegistration(t *testing.T) {
	for name, read := range map[string]bool{"seen by the watch": false, "read after dropped history": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRegisteredCluster(t)
				defer c.close()
				r, kill, ended := runRecorded(c, nil)
				defer kill()
				time.Sleep(time.Second)
				c.store.Put(platform.WorkerPrefix+"w0", []byte(oddEntries["port beyond 16 bits"]))
				if read {
					c.store.Compact()
				}
				time.Sleep(5 * time.Second)
				r.take()
				assertServes(t, c, r, ended, "odd", "w1")
				c.store.Put(platform.WorkerPrefix+"w0", []byte(entry("w0", nil)))
				time.Sleep(time.Second)
				assertServes(t, c, r, ended, "valid again", "w0", "w1")
			})
		})
	}
}

// Guards against a second name of a worker, by its machine or its address, that makes the owner start
// more there than it has room for, or drop what runs there.
func TestSecondEntryForOneWorker(t *testing.T) {
	for name, fields := range map[string]map[string]string{
		"same machine": {"machine": `"mw0"`},
		"same address": {"address": `"10.0.0.1:80"`},
		"same both":    {"machine": `"mw0"`, "address": `"10.0.0.1:80"`},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRegisteredCluster(t)
				defer c.close()
				// The worker at the address has another ID.
				otherWorker := func(calls *Calls) {
					poll := calls.Poll
					calls.Poll = func(ctx context.Context, a scheduler.Poll) (*worker.Listing, bool, error) {
						if a.Worker.ID == "x" {
							return nil, true, context.DeadlineExceeded
						}
						return poll(ctx, a)
					}
				}
				for id, n := range map[string]int{"w0": 1, "w1": 2} {
					c.store.Put(platform.WorkerPrefix+id, []byte(entry(id, map[string]string{"address": fmt.Sprintf(`"10.0.0.%d:80"`, n)})))
				}
				r, kill, ended := runRecorded(c, otherWorker)
				defer kill()
				time.Sleep(time.Second)
				c.store.Put(platform.WorkerPrefix+"x", []byte(entry("x", fields)))
				time.Sleep(time.Second)
				assertServes(t, c, r, ended, "second entry", "w0", "w1")
				for _, n := range c.starts {
					qt.Assert(t, n, qt.Equals, 1)
				}
			})
		})
	}
}

// Guards against a registration on which the scheduler fails and that ends the term of each owner in
// turn: a host passes over it from its second term on.
func TestRegistrationThatFailsIsSetAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRegisteredCluster(t)
		defer c.close()
		c.store.Put(platform.WorkerPrefix+"x", []byte("panic"))
		var r calledWorkers
		o := c.newOwner()
		r.watch(o)
		decode := o.Calls.DecodeWorker
		o.Calls.DecodeWorker = func(item kv.Item) (worker.Entry, error) {
			if string(item.Value) == "panic" {
				panic("registration")
			}
			return decode(item)
		}
		kill, ended := c.runOwner(o)
		<-ended
		kill()
		kill, ended = c.runOwner(o)
		defer kill()
		time.Sleep(time.Second)
		assertServes(t, c, &r, ended, "second term", "w0", "w1")
	})
}

// Guards against a log line for an odd entry with each read of all registrations, and against one that
// quotes a value of a megabyte.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRegisteredCluster(t)
		defer c.close()
		c.store.Put(platform.WorkerPrefix+"x", []byte(entry("x", map[string]string{"address": `"` + strings.Repeat("1", 1<<20) + `"`})))
		core, lines := observer.New(zap.InfoLevel)
		var r calledWorkers
		o := c.newOwner()
		o.Log = zap.New(core)
		r.watch(o)
		kill, _ := c.runOwner(o)
		defer kill()
		for range 20 {
			time.Sleep(time.Second)
			c.store.Compact()
		}
		odd := lines.FilterMessage("worker-not-decoded").All()
		qt.Assert(t, odd, qt.HasLen, 1)
		qt.Assert(t, len(fmt.Sprint(odd[0].ContextMap())) < 1000, qt.IsTrue)
	})
}
