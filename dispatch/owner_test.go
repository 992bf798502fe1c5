package dispatch

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"egretdrum.example/catalog"
	"egretdrum.example/election"
	"egretdrum.example/job"
	"egretdrum.example/kv"
	"egretdrum.example/kvfake"
	"egretdrum.example/meter"
	"egretdrum.example/progress"
	"egretdrum.example/resource"
	"egretdrum.example/scheduler"
	"egretdrum.example/storekeys"
	"egretdrum.example/subscription"
	"egretdrum.example/supervision"
	"egretdrum.example/worker"
)

const (
	workerPrefix     = "workers/"
	configKey        = "operators/config"
	waveKey          = "operators/wave/1"
	waveStatusPrefix = "status/"
	taskDuration     = 400 * time.Millisecond
)

// testCluster is a store with a few fake workers and machines. Owners run on it one after
// the other.
type testCluster struct {
	store   *kvfake.Fake
	config  *subscription.Subscription
	meter   *meter.Meter
	started time.Time
	// suspended is how long the process was suspended, in nanoseconds.
	suspended atomic.Int64
	cleanups  []func()
	owner     *Owner
	// evacuateWithin is the setting of that name; zones are evacuated only in some tests.
	evacuateWithin time.Duration
	// warnings are the warnings of the owner, in tests that need them.
	warnings *observer.ObservedLogs

	mu      sync.Mutex
	workers map[string]*fakeWorker
	starts  map[job.Task]int
	orders  []scheduler.MachineOrder
}

// fakeWorker runs each task for taskDuration and lists its runs.
type fakeWorker struct {
	fence int64
	runs  map[job.Task]*fakeRun
	ended []worker.End
	next  int64
}

type fakeRun struct {
	number int64
	until  time.Time
}

func decodeOperator(item kv.Item) (subscription.OperatorItem, error) {
	if item.Key == waveKey {
		return subscription.OperatorItem{Wave: &subscription.Wave{Number: 1, Machines: []string{"mw0", "mw1"}, Term: 20 * time.Second, Limit: 2}}, nil
	}
	if item.Key != configKey {
		return subscription.OperatorItem{}, nil
	}
	return subscription.OperatorItem{Catalog: catalog.New(1,
		[]*catalog.Queue{{Name: "rounds", Pool: "desk", MaxAttempts: 3, Stretch: 1.6, Allowance: time.Second}}, []*catalog.Pool{{Name: "desk", EnforcesCapacity: string(item.Value) == enforcing}}, nil, 0)}, nil
}

func newCluster(t *testing.T, workers int) *testCluster {
	c := &testCluster{store: kvfake.New(), meter: meter.New(), started: time.Now(), workers: make(map[string]*fakeWorker), starts: make(map[job.Task]int)}
	c.store.Put(configKey, nil)
	c.config = subscription.New(c.store.Store(), "operators/", configKey, decodeOperator, zap.NewNop())
	c.config.Now, c.config.EvacuationPrefix = c.now, zonesKey
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.config.Run(ctx) }()
	c.cleanups = append(c.cleanups, func() { cancel(); <-done }, func() { qt.Check(t, c.meter.Close(), qt.IsNil) })
	for n := range workers {
		id := fmt.Sprintf("w%d", n)
		c.workers[id] = &fakeWorker{runs: make(map[job.Task]*fakeRun)}
		c.store.Put(workerPrefix+id, []byte("m"+id))
	}
	time.Sleep(100 * time.Millisecond)
	return c
}

func (c *testCluster) close() {
	for _, f := range c.cleanups {
		f()
	}
}

func (c *testCluster) now() time.Duration {
	return time.Since(c.started) + time.Duration(c.suspended.Load())
}

// startOwner runs a new owner; the returned function kills it.
func (c *testCluster) startOwner() (kill func()) {
	kill, _ = c.runOwner(c.newOwner())
	return kill
}

func (c *testCluster) newOwner() *Owner {
	return &Owner{
		Store: c.store.Store(), Config: c.config, Limits: scheduler.DefaultLimits, KeepResults: func() time.Duration { return time.Minute }, EvacuateWithin: func() time.Duration { return c.evacuateWithin }, Log: zap.NewNop(), Meter: c.meter, Supervisor: &supervision.Supervisor{Log: zap.NewNop()},
		Calls: Calls{
			Start: c.start, Stop: func(context.Context, scheduler.Stop) scheduler.StopAnswer { return scheduler.StopAnswer{} }, Poll: c.poll,
			ListMachines: c.listMachines, Order: c.orderMachine,
			DecodeWorker: decodeWorker, WorkerPrefix: workerPrefix, WaveStatus: waveStatus, WaveStatusPrefix: waveStatusPrefix,
		},
	}
}

// runOwner starts a term of an owner; ended is closed when the term is over.
func (c *testCluster) runOwner(o *Owner) (kill func(), ended <-chan struct{}) {
	term := election.NewTerm(c.store.Put(storekeys.Owner, nil), c.now, time.Hour)
	c.owner = o
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); o.Run(ctx, term) }()
	return func() { cancel(); <-done }, done
}

func waveStatus(finished bool) ([]byte, error) { return fmt.Append(nil, finished), nil }

func decodeWorker(item kv.Item) (worker.Entry, error) {
	return worker.Entry{
		ID: strings.TrimPrefix(item.Key, workerPrefix), Pool: "desk", Address: netip.MustParseAddrPort("10.0.0.1:80"),
		Capacity: resource.Amount{CPU: 4000, Memory: 4000}, Incarnation: 1, Machine: string(item.Value), Zone: onlyZone,
	}, nil
}

func (c *testCluster) listMachines(context.Context) ([]worker.Machine, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []worker.Machine
	for _, id := range slices.Sorted(maps.Keys(c.workers)) {
		m := worker.Machine{ID: "m" + id, Pool: "desk", State: worker.Up, Worker: id, Capacity: resource.Amount{CPU: 4000, Memory: 4000}}
		if slices.ContainsFunc(c.orders, func(o scheduler.MachineOrder) bool { return o.Machine == m.ID }) {
			m.Worker = id + "-next"
		}
		list = append(list, m)
	}
	return list, nil
}

func (c *testCluster) orderMachine(_ context.Context, o scheduler.MachineOrder) (scheduler.OrderResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
	return scheduler.OrderAccepted, nil
}

func (c *testCluster) start(_ context.Context, a scheduler.Start) scheduler.StartAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[a.Worker.ID]
	if a.Fence < w.fence {
		return scheduler.StartAnswer{Result: scheduler.StartRejected, Reason: "fence"}
	}
	c.starts[a.Task]++
	w.runs[a.Task] = &fakeRun{a.Run, time.Now().Add(taskDuration)}
	return scheduler.StartAnswer{Result: scheduler.StartAccepted}
}

// poll returns once a run has ended or the wait is over, as workers do.
func (c *testCluster) poll(ctx context.Context, a scheduler.Poll) (*worker.Listing, bool, error) {
	for deadline := time.Now().Add(a.Wait); ; {
		l := c.listing(a)
		if len(l.Ended) > 0 || !time.Now().Before(deadline) {
			return l, false, nil
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

func (c *testCluster) listing(a scheduler.Poll) *worker.Listing {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[a.Worker.ID]
	w.fence = max(w.fence, a.Fence)
	w.ended = slices.DeleteFunc(w.ended, func(e worker.End) bool { return e.Number <= a.AckedEnd })
	l := &worker.Listing{Incarnation: 1, Clock: c.now()}
	for name, r := range w.runs {
		if time.Now().Before(r.until) {
			l.Running = append(l.Running, worker.Run{Task: name, Run: r.number, Percent: 50})
			continue
		}
		w.next++
		w.ended = append(w.ended, worker.End{Number: w.next, Task: name, Run: r.number, Reason: worker.Done})
		delete(w.runs, name)
	}
	l.Ended = slices.Clone(w.ended)
	return l
}

func (c *testCluster) submit(t *testing.T, id string, steps ...job.Step) {
	b, err := (&job.Job{ID: id, Queue: "rounds", Steps: steps}).Encode()
	qt.Assert(t, err, qt.IsNil)
	c.store.Put(storekeys.Job(id), b)
}

func assertStored(t *testing.T, c *testCluster, id string, want progress.State) {
	t.Helper()
	item := c.store.Item(storekeys.Result(id))
	qt.Assert(t, item.Revision > 0, qt.IsTrue, qt.Commentf("%s has no result", id))
	r, err := progress.Decode(item.Value)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.State, qt.Equals, want)
}

func assertStartedOnce(t *testing.T, c *testCluster, tasks int) {
	t.Helper()
	qt.Assert(t, c.starts, qt.HasLen, tasks)
	for name, n := range c.starts {
		qt.Assert(t, n, qt.Equals, 1, qt.Commentf("%v", name))
	}
}

var taskNeed = resource.Amount{CPU: 1000, Memory: 100}

// Guards against a submitted job that is not run, or whose result is not stored.
func TestSubmittedJobRunsAndResultIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.close()
		defer c.startOwner()()
		time.Sleep(time.Second)
		c.submit(t, "a", job.Step{Count: 3, Need: taskNeed}, job.Step{Count: 1, Need: taskNeed, After: []int{0}})
		time.Sleep(2 * time.Second)
		assertStored(t, c, "a", progress.Succeeded)
		assertStartedOnce(t, c, 4)
	})
}

// Guards against tasks that run again and results that are lost when the owner is killed while
// tasks run: the next owner has to adopt the runs that the workers list.
func TestKilledOwnerLeavesTasksRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.close()
		kill := c.startOwner()
		time.Sleep(time.Second)
		c.submit(t, "a", job.Step{Count: 4, Need: taskNeed})
		time.Sleep(taskDuration / 2)
		kill()
		defer c.startOwner()()
		time.Sleep(2 * time.Second)
		assertStored(t, c, "a", progress.Succeeded)
		assertStartedOnce(t, c, 4)
	})
}

// Guards against a new job that is missed because the store compacts its history while it is
// submitted: the watch fails and the prefix has to be read again.
func TestJobRunsAfterHistoryCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.close()
		defer c.startOwner()()
		time.Sleep(time.Second)
		c.submit(t, "a", job.Step{Count: 1, Need: taskNeed})
		c.store.Compact()
		time.Sleep(2 * time.Second)
		assertStored(t, c, "a", progress.Succeeded)
	})
}

// Guards against a new job that is never noticed because watches get no response: each watch has
// to time out after 1.2 s and be followed by a read.
func TestJobRunsWhileWatchesGetNoResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.close()
		defer c.startOwner()()
		time.Sleep(time.Second)
		c.store.SetFault(func(call string) kvfake.Fault {
			if call == "watch" {
				return kvfake.RequestLost
			}
			return kvfake.Answered
		})
		c.submit(t, "a", job.Step{Count: 1, Need: taskNeed})
		time.Sleep(2500 * time.Millisecond)
		assertStored(t, c, "a", progress.Succeeded)
	})
}

// Guards against a wave whose status stays unfinished for operators after its last machine,
// because the write of an earlier state replaced that of a later one.
func TestFinishedWaveStatusIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.close()
		c.store.SetDelay(20 * time.Millisecond)
		defer c.startOwner()()
		time.Sleep(time.Second)
		c.store.Put(waveKey, nil)
		time.Sleep(20 * time.Second)
		qt.Assert(t, string(c.store.Item(waveStatusPrefix+"1").Value), qt.Equals, "true")
		c.mu.Lock()
		defer c.mu.Unlock()
		qt.Assert(t, c.orders, qt.HasLen, 2)
	})
}

// Guards against a panic in a background task that ends the process, or leaves an owner without
// that task: the term has to end, and the next one starts from durable state.
func TestPanicInBackgroundTaskEndsTheTerm(t *testing.T) {
	for name, breakCall := range map[string]func(*Calls){
		"look": func(c *Calls) {
			c.Poll = func(context.Context, scheduler.Poll) (*worker.Listing, bool, error) { panic("look") }
		},
		"start": func(c *Calls) {
			c.Start = func(context.Context, scheduler.Start) scheduler.StartAnswer { panic("start") }
		},
		"machines": func(c *Calls) {
			c.ListMachines = func(context.Context) ([]worker.Machine, error) { panic("machines") }
		},
		"registration": func(c *Calls) { c.DecodeWorker = func(kv.Item) (worker.Entry, error) { panic("registration") } },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2)
				defer c.close()
				c.submit(t, "a", job.Step{Count: 2, Need: taskNeed})
				broken := c.newOwner()
				breakCall(&broken.Calls)
				kill, ended := c.runOwner(broken)
				defer kill()
				select {
				case <-ended:
				case <-time.After(10 * time.Second):
					t.Fatal("the term did not end")
				}
				defer c.startOwner()()
				time.Sleep(6 * time.Second)
				assertStored(t, c, "a", progress.Succeeded)
			})
		})
	}
}

// Guards against a stored job on which the scheduler panics, and which would end the term of each
// owner: the process has to ignore that job in its next term and run the others.
func TestJobThatPanicsTheSchedulerIsSetAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.close()
		c.submit(t, "a", job.Step{Count: 1, Need: taskNeed})
		c.submit(t, "b", job.Step{Count: 1, Need: taskNeed})
		o := c.newOwner()
		failed := false
		o.Log = zap.New(zapcore.NewNopCore()).WithOptions(zap.WrapCore(func(zapcore.Core) zapcore.Core {
			return zapcore.RegisterHooks(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.InfoLevel), func(e zapcore.Entry) error {
				if e.Message == "job-scheduled" && !failed {
					failed = true
					panic("scheduler")
				}
				return nil
			})
		}))
		_, ended := c.runOwner(o)
		<-ended
		qt.Assert(t, o.setAside, qt.DeepEquals, map[string]bool{"a": true})
		kill, _ := c.runOwner(o)
		defer kill()
		time.Sleep(6 * time.Second)
		assertStored(t, c, "b", progress.Succeeded)
		qt.Assert(t, c.store.Item(storekeys.Result("a")).Revision, qt.Equals, int64(0))
	})
}

// Guards against a next owner that starts tasks on a worker whose registration was deleted while
// there was no owner.
func TestNextOwnerIgnoresWorkerThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.close()
		c.startOwner()()
		_, err := c.store.Store().Commit(t.Context(), kv.Change{Deletes: []string{workerPrefix + "w0"}})
		qt.Assert(t, err, qt.IsNil)
		defer c.startOwner()()
		time.Sleep(4 * time.Second)
		c.submit(t, "a", job.Step{Count: 3, Need: taskNeed})
		time.Sleep(taskDuration / 2)
		c.mu.Lock()
		qt.Check(t, c.workers["w0"].runs, qt.HasLen, 0)
		qt.Check(t, c.workers["w1"].runs, qt.HasLen, 3)
		c.mu.Unlock()
	})
}

// Guards against an owner that is suspended until its term has expired and on resuming sends the
// start requests of earlier decisions.
func TestResumedOwnerSendsNoStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.close()
		defer c.startOwner()()
		time.Sleep(time.Second)
		c.suspended.Store(int64(2 * time.Hour))
		c.submit(t, "a", job.Step{Count: 2, Need: taskNeed})
		time.Sleep(2 * time.Second)
		c.mu.Lock()
		qt.Check(t, c.starts, qt.HasLen, 0)
		c.mu.Unlock()
		qt.Assert(t, c.owner.Token(), qt.IsNil)
	})
}

// Guards against an event delay that misses late events, or does not decay with time.
func TestEventDelayDecays(t *testing.T) {
	now := time.Now()
	var d eventDelay
	d.observe(400*time.Millisecond, now)
	d.decay(now.Add(100 * time.Millisecond))
	qt.Assert(t, d.current, qt.Equals, 300*time.Millisecond)
	d.observe(50*time.Millisecond, now.Add(200*time.Millisecond))
	qt.Assert(t, d.current, qt.Equals, 200*time.Millisecond)
	d.decay(now.Add(time.Second))
	qt.Assert(t, d.current, qt.Equals, time.Duration(0))
}
