package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const crashesSettings = `[emulation]
control-port = 0
ingress-port = 0
first-host-port = 0

[pool.rounds]
workers = 9
cores = 16
memory = 32768
zones = zone-a,zone-b,zone-c

[queue.rounds]
host = rounds.example
prefix = /rounds/
pool = rounds
max-attempts = 4

[account.arbiters]
keys = key-1
`

const (
	crashJob  = "5c0e7a21d94b36f8"
	crashPath = "/rounds/" + crashJob
	// crashTask is the task whose workers crash.
	crashTask = crashJob + ".0.0.0"
	// lastingTasks last; each on a worker of its own, and one of them may be absent by the system's actions.
	lastingJob   = `{"spec":"ledger","steps":[{"count":4,"cpu":1300,"memMb":2400,"estRuntimeMs":900,"antiAffinity":1,"longRunning":true,"mayMiss":1}]}`
	lastingTasks = 4
	crashes      = 3
	// workTime is how long a task is at work when its worker crashes.
	workTime = 600 * time.Millisecond
	downTime = 500 * time.Millisecond
	// backTime is when the worker is back and registered, so that one worker is down at a time.
	backTime = 900 * time.Millisecond
	// watchTime is how long the job is watched after the last crash.
	watchTime = 12 * time.Second
)

// playCrashes has the workers of one task crash one after the other. The task is sound: it never ends as
// failed, and goes on for as long as its worker does.
func playCrashes(c *cluster, trouble bool) error {
	if err := c.submit(crashPath, lastingJob); err != nil {
		return err
	}
	if err := c.await("all tasks have begun", startTime, func() bool { return len(c.starts()) >= lastingTasks }); err != nil {
		return err
	}
	number := int64(0)
	for range crashes {
		var s *start
		if err := c.await("the task is started", startTime, func() bool {
			s = c.newest(crashTask)
			return s != nil && s.Number > number
		}); err != nil {
			// A job that was given up is not started any more.
			c.logf("%v", err)
			break
		}
		number = s.Number
		time.Sleep(workTime)
		if !trouble {
			break
		}
		body := map[string]any{"down-for": downTime.String()}
		if err := c.command(http.MethodPost, "/workers/"+s.Worker+"/restart", body, nil); err != nil {
			return err
		}
		time.Sleep(backTime - workTime)
	}
	failed := ""
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(time.Second) {
		if status, answer := c.state(crashPath); status == http.StatusOK && strings.Contains(answer, "failed") {
			failed = answer
		}
	}
	c.recordRuns()
	c.keepLog("task-suspected", "worker-crashed-under-tasks", "job-given-up", "job-ended", "run-stopped")
	failures, stops := 0, 0
	for _, e := range c.ends() {
		switch e.Reason {
		case "failed":
			failures++
		case "stopped":
			stops++
		}
	}
	if failed == "" && stops == 0 {
		return nil
	}
	return fmt.Errorf("%w: an accepted job that lasts is shown as %s; %d of its work units ended as failed, and %d that were at work on sound minions were stopped, where 1 may miss", errBroken, failed, failures, stops)
}
