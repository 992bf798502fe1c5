package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/kvfake"
	"egretdrum.example/progress"
	"egretdrum.example/scheduler"
	"egretdrum.example/storekeys"
)

// The workers of a testCluster are all in this zone.
const (
	onlyZone  = "north"
	zonesKey  = "operators/zone/"
	withinFor = 4 * time.Second
)

// newZoneCluster returns a cluster in which zones can be evacuated.
func newZoneCluster(t *testing.T) *testCluster {
	c := newCluster(t, 2)
	c.evacuateWithin = withinFor
	return c
}

func assertNotStarted(t *testing.T, c *testCluster) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	qt.Assert(t, c.starts, qt.HasLen, 0)
}

// Guards against an owner that does not learn of an evacuation or of its end: by a watch, by a
// read after the history was dropped, or while watches get no response.
func TestOwnerObeysEvacuation(t *testing.T) {
	faults := map[string]func(c *testCluster){
		"watch":              func(*testCluster) {},
		"history dropped":    func(c *testCluster) { c.store.Compact() },
		"watches unanswered": func(c *testCluster) { c.store.SetFault(loseWatches) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newZoneCluster(t)
				defer c.close()
				defer c.startOwner()()
				time.Sleep(time.Second)
				c.store.Put(zonesKey+onlyZone, nil)
				fault(c)
				time.Sleep(withinFor)
				c.submit(t, "a", job.Step{Count: 2, Need: taskNeed})
				time.Sleep(withinFor)
				assertNotStarted(t, c)
				c.store.Delete(zonesKey + onlyZone)
				fault(c)
				time.Sleep(withinFor)
				assertStored(t, c, "a", progress.Succeeded)
			})
		})
	}
}

func loseWatches(call string) kvfake.Fault {
	if call == "watch" {
		return kvfake.RequestLost
	}
	return kvfake.Answered
}

// Guards against a new owner that starts tasks in a zone that was evacuated in an earlier term.
func TestNewOwnerObeysEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newZoneCluster(t)
		defer c.close()
		c.store.Put(zonesKey+onlyZone, nil)
		time.Sleep(time.Second)
		defer c.startOwner()()
		c.submit(t, "a", job.Step{Count: 2, Need: taskNeed})
		time.Sleep(withinFor)
		assertNotStarted(t, c)
	})
}

// Guards against an owner that goes on starting tasks although no answer of the store has told it
// for long that the zone is not under evacuation. Its term lasts on, as in a partition in which
// renewals still pass.
func TestOwnerWithoutNewsOfZonesStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newZoneCluster(t)
		defer c.close()
		defer c.startOwner()()
		time.Sleep(time.Second)
		submissions, err := (&job.Job{ID: "late", Queue: "rounds", Steps: []job.Step{{Count: 1, Need: taskNeed}}}).Encode()
		qt.Assert(t, err, qt.IsNil)
		c.store.SetFault(func(string) kvfake.Fault { return kvfake.RequestLost })
		time.Sleep(withinFor)
		revision := c.store.Put(storekeys.Job("late"), submissions)
		c.owner.Notify(c.store.Item(storekeys.Job("late")))
		qt.Assert(t, revision > 0, qt.IsTrue)
		time.Sleep(time.Second)
		assertNotStarted(t, c)
		c.store.SetFault(nil)
		time.Sleep(withinFor)
		assertStored(t, c, "late", progress.Succeeded)
	})
}

// Guards against a start that was decided before the evacuation became known and is sent after it.
func TestStartIsNotSentIntoEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newZoneCluster(t)
		defer c.close()
		o := c.newOwner()
		o.ctx = context.Background()
		var a scheduler.Start
		a.Worker.Zone = onlyZone
		qt.Assert(t, o.mayStart(a), qt.IsTrue)
		c.store.Put(zonesKey+onlyZone, nil)
		time.Sleep(time.Second)
		qt.Assert(t, o.mayStart(a), qt.IsFalse)
		a.Worker.Zone = "south"
		qt.Assert(t, o.mayStart(a), qt.IsTrue)
		// A process that was suspended knows nothing newer than before.
		c.suspended.Add(int64(withinFor))
		qt.Assert(t, o.mayStart(a), qt.IsFalse)
	})
}
