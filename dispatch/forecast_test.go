package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/ownerlink"
)

// forecast asks the owner when a job would be done, as a link does.
func (c *testCluster) forecast(t *testing.T, j *job.Job) *ownerlink.Forecast {
	t.Helper()
	b, err := j.Encode()
	qt.Assert(t, err, qt.IsNil)
	answer := make(chan *ownerlink.Forecast, 1)
	c.owner.Forecast(b, func(f *ownerlink.Forecast) { answer <- f })
	return <-answer
}

// Guards against forecasts of an owner that does not know yet what runs, or that is no longer the owner.
func TestForecastsOfTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.close()
		kill := c.startOwner()
		defer func() { kill() }()
		j := &job.Job{ID: "new", Queue: "rounds", Steps: []job.Step{{Count: 1, Need: taskNeed}}}
		submit := func(name string, n int) {
			for i := range n {
				c.submit(t, fmt.Sprint(name, i), j.Steps...)
			}
		}
		qt.Assert(t, c.owner.ShortPools(), qt.HasLen, 0)
		qt.Assert(t, c.forecast(t, j), qt.IsNil)
		submit("learn", 60)
		time.Sleep(time.Minute)
		qt.Assert(t, c.owner.ShortPools(), qt.HasLen, 0)
		submit("burst", 100)
		time.Sleep(200 * time.Millisecond)
		qt.Assert(t, c.owner.ShortPools(), qt.DeepEquals, []string{"desk"})
		f := c.forecast(t, j)
		qt.Assert(t, f, qt.IsNotNil)
		qt.Assert(t, f.Objective > time.Second && f.DoneIn > 0 && f.PlanAge < time.Second, qt.IsTrue, qt.Commentf("%+v", f))
		c.owner.Forecast([]byte("no job"), func(f *ownerlink.Forecast) { qt.Check(t, f, qt.IsNil) })
		kill()
		kill = func() {}
		qt.Assert(t, c.owner.ShortPools(), qt.HasLen, 0)
		qt.Assert(t, c.forecast(t, j), qt.IsNil)
	})
}
