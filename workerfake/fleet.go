// Package workerfake runs a fleet of package fleetmodel without sockets, for tests and the demo.
// Each task takes a fixed time, and what the workers observe is checked.
package workerfake

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"egretdrum.example/catalog"
	"egretdrum.example/dispatch"
	"egretdrum.example/emulation"
	"egretdrum.example/fleetmodel"
	"egretdrum.example/job"
	"egretdrum.example/kv"
	"egretdrum.example/kvfake"
	"egretdrum.example/promises"
	"egretdrum.example/resource"
	"egretdrum.example/scheduler"
	"egretdrum.example/storekeys"
	"egretdrum.example/worker"
	"egretdrum.example/workermodel"
)

// Prefix is the key prefix under which the workers are registered in the store.
const Prefix = "workers/"

// step is the interval at which the model advances, and a waiting poll checks for ended runs.
const step = 5 * time.Millisecond

// Fleet is a pool of workers with the same capacity. It is safe for concurrent use.
type Fleet struct {
	store *kvfake.Fake

	mu       sync.Mutex
	model    *fleetmodel.Fleet
	recorder *promises.Recorder
	advanced time.Time
	// known has the jobs whose tasks have been started, queues their queues.
	known   map[string]bool
	queues  map[string]*catalog.Queue
	pool    string
	entries map[string]worker.Entry
}

// New registers the workers of a pool in the store; each task takes taskTime. All queues use the
// pool.
func New(store *kvfake.Fake, pool string, workers int, capacity resource.Amount, taskTime time.Duration) (*Fleet, error) {
	_, s, err := emulation.Parse("workerfake", []byte("[pool."+pool+"]\n"))
	if err != nil {
		return nil, err
	}
	s.Pools[0].Capacity = capacity
	f := &Fleet{
		store: store, recorder: promises.New(), advanced: time.Now(), pool: pool,
		known: make(map[string]bool), queues: make(map[string]*catalog.Queue), entries: make(map[string]worker.Entry),
	}
	f.recorder.StopTime = s.Workers.StopTime
	f.model = fleetmodel.New(s, f.recorder)
	f.model.SetRunTime(taskTime)
	for n := range workers {
		if _, ok := f.model.AddMachine(f.advanced, pool, "", n, netip.MustParseAddrPort("127.0.0.1:9")); !ok {
			return nil, fmt.Errorf("pool %q has no machine %d", pool, n)
		}
	}
	f.register()
	return f, nil
}

// register writes the changed registrations to the store.
func (f *Fleet) register() {
	for _, r := range f.model.Registrations() {
		if r.Entry == nil {
			f.store.Delete(Prefix + r.ID)
			continue
		}
		f.entries[r.ID] = *r.Entry
		f.store.Put(Prefix+r.ID, nil)
	}
}

// advance carries out what is due, in steps so that events keep their order.
func (f *Fleet) advance() time.Time {
	now := time.Now()
	for f.advanced.Add(step).Before(now) {
		f.advanced = f.advanced.Add(step)
		f.model.Advance(f.advanced)
	}
	f.advanced = now
	f.model.Advance(now)
	f.register()
	return now
}

// Calls returns the functions with which an owner calls the workers.
func (f *Fleet) Calls() dispatch.Calls {
	return dispatch.Calls{
		Start: f.start, Stop: f.stop, Poll: f.poll,
		Pace:         func(context.Context, scheduler.Pace) bool { return true },
		Advise:       func(context.Context, scheduler.AdviceRequest) (map[string]string, error) { return nil, nil },
		ListMachines: func(context.Context) ([]worker.Machine, error) { return nil, nil },
		Order: func(context.Context, scheduler.MachineOrder) (scheduler.OrderResult, error) {
			return scheduler.OrderImpossible, nil
		},
		DecodeWorker: f.decode, WorkerPrefix: Prefix,
		WaveStatus: func(bool) ([]byte, error) { return nil, nil }, WaveStatusPrefix: "status/",
	}
}

func (f *Fleet) decode(item kv.Item) (worker.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[strings.TrimPrefix(item.Key, Prefix)], nil
}

// Runs returns how often each task was started.
func (f *Fleet) Runs() map[job.Task]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := make(map[job.Task]int)
	for _, s := range f.model.Starts() {
		runs[s.Task]++
	}
	return runs
}

// Starts returns the starts of tasks so far, in order of their times.
func (f *Fleet) Starts() []fleetmodel.Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.model.Starts())
}

// Violations returns the promises that were broken so far.
func (f *Fleet) Violations() []promises.Violation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recorder.Violations()
}

// learn reads a job whose task is started from the store, where it was accepted before.
func (f *Fleet) learn(now time.Time, id string) {
	if f.known[id] {
		return
	}
	j, err := job.Decode(f.store.Item(storekeys.Job(id)).Value)
	if err != nil {
		// The start counts as that of an unknown job.
		return
	}
	f.known[id] = true
	f.model.AddJob(j)
	if f.queues[j.Queue] == nil {
		f.queues[j.Queue] = &catalog.Queue{Name: j.Queue, Pool: f.pool}
		f.recorder.Configure(now, catalog.New(1, slices.Collect(maps.Values(f.queues)), nil, nil, 0))
	}
	f.recorder.Submit(j)
	f.recorder.Accept(now, id)
}

func (f *Fleet) start(_ context.Context, a scheduler.Start) scheduler.StartAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.advance()
	f.learn(now, a.Task.Job)
	result, clock, err := f.model.Start(now, a.Worker.Machine, a.Worker.ID, &fleetmodel.StartOrder{
		Order: workermodel.Order{Task: a.Task, Run: a.Run, Fence: a.Fence, LeaseEnd: a.LeaseEnd, Checkpoint: a.Checkpoint}, Payload: a.Spec,
	})
	switch {
	case errors.Is(err, fleetmodel.ErrOtherWorker):
		return scheduler.StartAnswer{Result: scheduler.StartOtherIncarnation, Reason: err.Error()}
	case err != nil:
		return scheduler.StartAnswer{Result: scheduler.StartUnanswered, Reason: err.Error()}
	case result == workermodel.Started, result == workermodel.Present:
		return scheduler.StartAnswer{Result: scheduler.StartAccepted, Clock: clock}
	case result == workermodel.Fenced:
		return scheduler.StartAnswer{Result: scheduler.StartFenced, Reason: string(result), Clock: clock}
	}
	return scheduler.StartAnswer{Result: scheduler.StartRejected, Reason: string(result), Clock: clock}
}

func (f *Fleet) stop(_ context.Context, a scheduler.Stop) scheduler.StopAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.model.Stop(f.advance(), a.Worker.Machine, a.Worker.ID, a.Task, a.Run, a.Fence)
	switch {
	case errors.Is(err, fleetmodel.ErrOtherWorker):
		return scheduler.StopAnswer{Result: scheduler.StopOtherIncarnation, Reason: err.Error()}
	case errors.Is(err, fleetmodel.ErrFenced):
		return scheduler.StopAnswer{Result: scheduler.StopFenced, Reason: err.Error()}
	case err != nil:
		return scheduler.StopAnswer{Result: scheduler.StopUnanswered, Reason: err.Error()}
	}
	return scheduler.StopAnswer{Result: scheduler.StopAccepted}
}

// poll waits until a run has ended or a.Wait has passed, as workers do.
func (f *Fleet) poll(ctx context.Context, a scheduler.Poll) (*worker.Listing, bool, error) {
	tick := time.NewTicker(step)
	defer tick.Stop()
	f.mu.Lock()
	l, err := f.model.Poll(f.advance(), a.Worker.Machine, a.Worker.ID, fleetmodel.Poll{Fence: a.Fence, Acknowledged: a.AckedEnd, LeaseEnd: a.Deadline})
	f.mu.Unlock()
	for deadline := time.Now().Add(a.Wait); err == nil && len(l.Ended) == 0 && time.Now().Before(deadline); {
		select {
		case <-tick.C:
			f.mu.Lock()
			l, err = f.model.List(f.advance(), a.Worker.Machine, l.Incarnation)
			f.mu.Unlock()
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
	if errors.Is(err, fleetmodel.ErrFenced) {
		err = scheduler.ErrFenced
	}
	if err != nil {
		return nil, errors.Is(err, fleetmodel.ErrOtherWorker), err
	}
	return l, false, nil
}
