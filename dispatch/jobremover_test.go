package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/kv"
	"egretdrum.example/kvfake"
	"egretdrum.example/progress"
	"egretdrum.example/storekeys"
)

// startForgetful runs an owner that keeps results for a second, until the job a has succeeded.
func (c *testCluster) startForgetful(t *testing.T) (o *Owner, kill func()) {
	o = c.newOwner()
	o.KeepResults = func() time.Duration { return time.Second - retentionMargin }
	kill, _ = c.runOwner(o)
	time.Sleep(time.Second)
	c.submit(t, "a", job.Step{Count: 1, Need: taskNeed})
	time.Sleep(2 * time.Second)
	assertStored(t, c, "a", progress.Succeeded)
	return o, kill
}

func (c *testCluster) assertStarts(t *testing.T, want int) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	qt.Assert(t, c.starts[job.Task{Job: "a"}], qt.Equals, want)
}

// Guards against a job that runs again after its result has expired: the owner forgets the job
// although the removal of its keys failed, and a later full read adds it as a new one. The keys
// have to be gone soon after the store is back.
func TestExpiredJobIsRemovedAfterStoreFault(t *testing.T) {
	for name, fault := range map[string]kvfake.Fault{"request lost": kvfake.RequestLost, "response lost": kvfake.ResponseLost} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1)
				defer c.close()
				_, kill := c.startForgetful(t)
				defer kill()
				c.store.SetFault(func(call string) kvfake.Fault {
					switch call {
					case "commit":
						return fault
					case "watch":
						return kvfake.RequestLost
					}
					return kvfake.Answered
				})
				time.Sleep(10 * time.Second)
				c.store.SetFault(nil)
				time.Sleep(2 * time.Second)
				c.assertStarts(t, 1)
				qt.Assert(t, c.store.Item(storekeys.Job("a")).Revision, qt.Equals, int64(0))
				qt.Assert(t, c.store.Item(storekeys.Result("a")).Revision, qt.Equals, int64(0))
			})
		})
	}
}

// Guards against a job that runs again because a full read from before its removal is applied
// after it, and against a cancellation in that read that ends a newer job with the same ID.
func TestReadFromBeforeRemovalAddsNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.close()
		o, kill := c.startForgetful(t)
		defer kill()
		cancelled := c.store.Put(storekeys.Cancel("a"), nil)
		read := []kv.Item{c.store.Item(storekeys.Job("a")), {Key: storekeys.Cancel("a"), Revision: cancelled}}
		for c.store.Item(storekeys.Job("a")).Revision > 0 {
			time.Sleep(time.Millisecond)
		}
		o.reloadSubmissions(read[:1])
		time.Sleep(time.Second)
		c.assertStarts(t, 1)
		c.submit(t, "a", job.Step{Count: 1, Need: taskNeed})
		time.Sleep(taskDuration / 4)
		o.reloadSubmissions(read)
		time.Sleep(time.Second)
		c.assertStarts(t, 2)
		assertStored(t, c, "a", progress.Succeeded)
	})
}

// Guards against a repeated removal whose first response was lost and that deletes a job which was
// submitted under the same ID since.
func TestRepeatedRemovalLeavesNewJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.close()
		_, kill := c.startForgetful(t)
		defer kill()
		c.store.SetFault(func(call string) kvfake.Fault {
			if call == "commit" {
				return kvfake.ResponseLost
			}
			return kvfake.Answered
		})
		for c.store.Item(storekeys.Job("a")).Revision > 0 {
			time.Sleep(time.Millisecond)
		}
		c.submit(t, "a", job.Step{Count: 1, Need: taskNeed})
		time.Sleep(taskDuration / 4)
		c.store.SetFault(nil)
		time.Sleep(time.Second)
		c.assertStarts(t, 2)
		qt.Assert(t, c.store.Item(storekeys.Job("a")).Revision > 0, qt.IsTrue)
	})
}
