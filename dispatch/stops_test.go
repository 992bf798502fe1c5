package dispatch

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/resource"
	"egretdrum.example/scheduler"
	"egretdrum.example/storekeys"
	"egretdrum.example/worker"
)

const (
	// workerConnections is how many calls a worker takes at the same time, workerCallTime how long each
	// of them takes.
	workerConnections = 64
	workerCallTime    = 3 * time.Millisecond
)

// stopCalls carries out the stops of an owner on the workers of a cluster.
type stopCalls struct {
	*testCluster
	inFlight, calls, unsent, fenced atomic.Int64
}

func (s *stopCalls) stop(_ context.Context, a scheduler.Stop) scheduler.StopAnswer {
	s.calls.Add(1)
	defer s.inFlight.Add(-1)
	if s.inFlight.Add(1) > workerConnections {
		s.unsent.Add(1)
		return scheduler.StopAnswer{Result: scheduler.StopNotSent}
	}
	time.Sleep(workerCallTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[a.Worker.ID]
	if a.Fence < w.fence {
		s.fenced.Add(1)
		return scheduler.StopAnswer{Result: scheduler.StopFenced}
	}
	w.fence = a.Fence
	if r := w.runs[a.Task]; r != nil && r.number == a.Run {
		delete(w.runs, a.Task)
		w.next++
		w.ended = append(w.ended, worker.End{Number: w.next, Task: a.Task, Run: a.Run, Reason: worker.Stopped})
	}
	return scheduler.StopAnswer{Result: scheduler.StopAccepted}
}

// observe returns the fencing token that a worker has seen, and the number of its runs.
func (c *testCluster) observe(id string) (fence int64, runs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[id].fence, len(c.workers[id].runs)
}

// runLong has a worker run as many long tasks of a job.
func (c *testCluster) runLong(t *testing.T, id string, tasks int) {
	c.submit(t, id, job.Step{Count: tasks, Need: resource.Amount{CPU: 1}, LongRunning: true})
	time.Sleep(300 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, w := range c.workers {
		n += len(w.runs)
		for _, r := range w.runs {
			r.until = time.Now().Add(time.Hour)
		}
	}
	qt.Assert(t, n, qt.Equals, tasks)
}

// Guards against the stops of a large cancelled job that take the connections of a worker from each
// other and raise its fencing token, so that those on their way are refused: runs of a cancelled job
// went on for seconds.
func TestStopsOfLargeJobAreSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 1500
		c := newCluster(t, 1)
		defer c.close()
		calls := &stopCalls{testCluster: c}
		o := c.newOwner()
		o.Calls.Stop = calls.stop
		kill, _ := c.runOwner(o)
		defer kill()
		time.Sleep(time.Second)
		c.runLong(t, "a", tasks)
		fence, _ := c.observe("w0")
		c.store.Put(storekeys.Cancel("a"), nil)
		time.Sleep(time.Second)
		assertStored(t, c, "a", progress.Cancelled)
		fenceAfter, runs := c.observe("w0")
		qt.Check(t, runs, qt.Equals, 0)
		qt.Check(t, calls.calls.Load(), qt.Equals, int64(tasks))
		qt.Check(t, calls.unsent.Load(), qt.Equals, int64(0))
		qt.Check(t, calls.fenced.Load(), qt.Equals, int64(0))
		qt.Check(t, fenceAfter, qt.Equals, fence)
	})
}

// newTestLanes returns lanes whose calls wait until they are released, and the names of the calls that
// have begun.
func newTestLanes(perWorker, maxCalls int) (l *lanes, begun func() []string, add func(worker, name string) (release func())) {
	var mu sync.Mutex
	var names []string
	l = &lanes{ctx: context.Background(), perWorker: perWorker, maxCalls: maxCalls, run: func(f func()) { go f() }}
	begun = func() []string {
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(names)
	}
	add = func(worker, name string) func() {
		end := make(chan struct{})
		l.add(worker, func() {
			mu.Lock()
			names = append(names, name)
			mu.Unlock()
			<-end
		})
		synctest.Wait()
		return func() { close(end) }
	}
	return l, begun, add
}

// Guards against calls to a worker that overtake each other or take more connections than they may, and
// against a worker that does not answer and holds up calls to others.
func TestCallsWaitForTheirWorkerOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, begun, add := newTestLanes(2, 3)
		first, second := add("w0", "a"), add("w0", "b")
		third, fourth := add("w0", "c"), add("w0", "d")
		qt.Check(t, begun(), qt.DeepEquals, []string{"a", "b"})
		others := []func(){add("w1", "e"), add("w1", "f"), add("w2", "g")}
		qt.Check(t, begun(), qt.DeepEquals, []string{"a", "b", "e", "g"}, qt.Commentf("each worker may have a call beyond the limit of all"))
		second()
		qt.Check(t, begun(), qt.DeepEquals, []string{"a", "b", "e", "g", "c"})
		for _, release := range append(others, first, third, fourth) {
			release()
		}
		qt.Check(t, begun(), qt.HasLen, 7)
	})
}

// Guards against calls of a term that are made after its end.
func TestWaitingCallsEndWithTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, begun, add := newTestLanes(1, 1)
		ctx, cancel := context.WithCancel(context.Background())
		l.ctx = ctx
		release := add("w0", "a")
		add("w0", "b")
		cancel()
		release()
		qt.Check(t, begun(), qt.DeepEquals, []string{"a"})
	})
}
