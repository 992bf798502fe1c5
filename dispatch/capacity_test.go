package dispatch

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/kv"
	"egretdrum.example/kvfake"
	"egretdrum.example/progress"
	"egretdrum.example/resource"
	"egretdrum.example/scheduler"
	"egretdrum.example/storekeys"
	"egretdrum.example/worker"
)

// enforcing is the configuration in which the workers reject what exceeds their capacity.
const enforcing = "workers enforce their capacity"

// startCapacityOwner starts an owner of one worker whose registration has its capacity.
func startCapacityOwner(c *testCluster) (kill func()) {
	kill, _ = c.runOwner(newCapacityOwner(c))
	return kill
}

func newCapacityOwner(c *testCluster) *Owner {
	o := c.newOwner()
	o.Calls.DecodeWorker = func(item kv.Item) (worker.Entry, error) {
		machine, cpu, _ := strings.Cut(string(item.Value), " ")
		item.Value = []byte(machine)
		e, err := decodeWorker(item)
		e.Capacity = resource.Amount{CPU: 4000, Memory: 4000}
		if n, err := strconv.Atoi(cpu); err == nil {
			e.Capacity.CPU = n
		}
		return e, err
	}
	return o
}

// setCapacity registers the worker w0 with another capacity.
func (c *testCluster) setCapacity(cpu int) {
	c.store.Put(workerPrefix+"w0", fmt.Append(nil, "mw0 ", cpu))
}

// maxRuns returns the highest number of runs on the worker w0 during d.
func (c *testCluster) maxRuns(d time.Duration) int {
	highest := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c.mu.Lock()
		running := 0
		for _, r := range c.workers["w0"].runs {
			if time.Now().Before(r.until) {
				running++
			}
		}
		c.mu.Unlock()
		highest = max(highest, running)
	}
	return highest
}

// Guards against an owner that does not learn of a shrunk or grown capacity: by a watch, by a read
// after the history was dropped, or while watches get no response.
func TestOwnerFollowsCapacity(t *testing.T) {
	faults := map[string]func(c *testCluster){
		"watch":              func(*testCluster) {},
		"history dropped":    func(c *testCluster) { c.store.Compact() },
		"watches unanswered": func(c *testCluster) { c.store.SetFault(loseWatches) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1)
				defer c.close()
				defer startCapacityOwner(c)()
				time.Sleep(time.Second)
				c.setCapacity(1000)
				fault(c)
				time.Sleep(2 * time.Second)
				c.submit(t, "a", job.Step{Count: 4, Need: taskNeed})
				qt.Assert(t, c.maxRuns(5*time.Second), qt.Equals, 1)
				c.setCapacity(3000)
				fault(c)
				time.Sleep(2 * time.Second)
				c.submit(t, "b", job.Step{Count: 4, Need: taskNeed})
				qt.Assert(t, c.maxRuns(5*time.Second), qt.Equals, 3)
			})
		})
	}
}

// Guards against starts that wait for a slot of their worker and are sent after its capacity has
// shrunk: the worker would run twice what it has room for.
func TestStartsWaitingForASlotLeaveShrunkWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.close()
		o := newCapacityOwner(c)
		sent := make(chan job.Task, 100)
		o.Calls.Start = func(ctx context.Context, a scheduler.Start) scheduler.StartAnswer {
			sent <- a.Task
			time.Sleep(80 * time.Millisecond)
			return c.start(ctx, a)
		}
		kill, _ := c.runOwner(o)
		defer kill()
		time.Sleep(time.Second)
		c.submit(t, "a", job.Step{Count: 4, Need: taskNeed})
		<-sent
		c.setCapacity(2000)
		qt.Assert(t, c.maxRuns(5*time.Second), qt.Equals, 2)
		assertStored(t, c, "a", progress.Succeeded)
	})
}

// Guards against an owner that goes on starting tasks although no answer of the store has told it for
// long what capacity the workers have. Its term lasts on, as in a partition in which renewals still
// pass. Workers that enforce their capacity are used on.
func TestOwnerWithoutNewsOfCapacities(t *testing.T) {
	for configuration, want := range map[string]int{"": 0, enforcing: 2} {
		t.Run(configuration, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1)
				defer c.close()
				c.store.Put(configKey, []byte(configuration))
				defer startCapacityOwner(c)()
				// The pool that a queue uses has to be stored before its first task starts.
				c.submit(t, "early", job.Step{Count: 1, Need: taskNeed})
				time.Sleep(2 * time.Second)
				c.store.SetFault(func(string) kvfake.Fault { return kvfake.RequestLost })
				time.Sleep(4 * time.Second)
				b, err := (&job.Job{ID: "late", Queue: "rounds", Steps: []job.Step{{Count: 2, Need: taskNeed}}}).Encode()
				qt.Assert(t, err, qt.IsNil)
				c.store.Put(storekeys.Job("late"), b)
				c.owner.Notify(c.store.Item(storekeys.Job("late")))
				qt.Assert(t, c.maxRuns(time.Second), qt.Equals, want)
				c.store.SetFault(nil)
				time.Sleep(5 * time.Second)
				assertStored(t, c, "late", progress.Succeeded)
			})
		})
	}
}
