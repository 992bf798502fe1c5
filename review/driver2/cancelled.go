package main

import (
	"fmt"
	"net/http"
	"time"
)

// cancelledSettings has workers of the size of the second deployment.
const cancelledSettings = `
[pool.rounds]
workers = 2
cores = 64
memory = 131072
zones = zone-a,zone-b
racks = 2
[queue.rounds]
host = rounds.example
prefix = /rounds/
pool = rounds
[account.arbiters]
keys = key-1
`

const (
	// cancelWithin and workerStopTime are bounds.cancel_ms and bounds.stopTimeoutMs.
	cancelWithin   = 3 * time.Second
	workerStopTime = 900 * time.Millisecond

	cancelledTasks = 3000
	keptJobs       = 19
	cancelledID    = "5c0e7a21d94b0001"
)

// step is a step of a submitted job.
type step struct {
	Count       int  `json:"count"`
	CPU         int  `json:"cpu"`
	Memory      int  `json:"memMb,omitempty"`
	Gang        bool `json:"gang,omitempty"`
	LongRunning bool `json:"longRunning,omitempty"`
}

// submission is the body of a submission.
type submission struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeatCount,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
}

// playCancelled cancels a job of many small tasks, and judges how long they run on.
func playCancelled(c *cluster, trouble bool) error {
	if err := c.startHosts(); err != nil {
		return err
	}
	if err := c.submit(cancelledID, "key-1", submission{Spec: "run-time=25s", Steps: []step{{Count: cancelledTasks, CPU: 40, Memory: 64}}}); err != nil {
		return err
	}
	if _, err := c.awaitStarts(cancelledID, cancelledTasks, 15*time.Second); err != nil {
		return err
	}
	c.add("%d runs have begun", cancelledTasks)
	// With these, the cancelled job is one of 20 that callers send.
	for n := range keptJobs {
		if err := c.submit(fmt.Sprintf("5c0e7a21d94b01%02d", n), "key-1", submission{Spec: "run-time=200ms", Steps: []step{{Count: 1, CPU: 40}}}); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	if !trouble {
		return c.awaitSuccess(cancelledID, 45*time.Second)
	}
	status, answer := c.call(http.MethodDelete, cancelledID, "key-1", nil, "")
	acknowledged := time.Now()
	c.add("DELETE %s: %d %s", cancelledID, status, answer)
	if status != http.StatusOK {
		return fmt.Errorf("the cancellation was answered with %d", status)
	}
	time.Sleep(15 * time.Second)
	ends, err := c.observed("ends", cancelledID)
	if err != nil {
		return err
	}
	late, last := cancelledTasks-len(ends), time.Duration(0)
	for _, e := range ends {
		after := e.At.Sub(acknowledged)
		last = max(last, after)
		if after > cancelWithin+workerStopTime {
			late++
		}
	}
	c.add("%d runs have ended, the last one %v after the answer; %d ran on for more than %v", len(ends), last.Round(time.Millisecond), late, cancelWithin+workerStopTime)
	if late > 0 {
		return &brokenError{"UNASKED", fmt.Sprintf("%d of %d work units ran on for more than cancel_ms + stopTimeoutMs, the last one for %v", late, cancelledTasks, last.Round(time.Millisecond))}
	}
	return nil
}

// awaitSuccess waits until a job is shown as succeeded.
func (c *cluster) awaitSuccess(id string, within time.Duration) error {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		status, answer := c.call(http.MethodGet, id, "key-1", nil, "")
		if status == http.StatusOK && answer == `{"state":"succeeded"}` {
			c.add("GET %s: %d %s", id, status, answer)
			return nil
		}
	}
	return fmt.Errorf("job %s is not shown as succeeded", id)
}
