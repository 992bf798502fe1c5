package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const routeSettings = `[emulation]
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

[queue.other]
host = other.example
prefix = /other/
pool = rounds

[account.arbiters]
keys = key-1
`

const (
	routeJob  = "7b1d20c94ee05a63"
	routePath = "/rounds/" + routeJob
	// twoSteps takes some seconds, then its second step some more.
	twoSteps = `{"spec":"run-time=4s","steps":[{"count":2,"cpu":500,"memMb":256,"estRuntimeMs":4000},{"count":2,"cpu":500,"memMb":256,"estRuntimeMs":4000,"after":[0]}]}`
	// applyTime is above configApplyMs and visible_ms.
	applyTime = 3500 * time.Millisecond
	// doneTime is when the job is done without trouble, with time to spare.
	doneTime = 30 * time.Second
)

// begin hands the job in and waits until its first step runs.
func begin(c *cluster) error {
	if err := c.submit(routePath, twoSteps); err != nil {
		return err
	}
	return c.await("the first step runs", startTime, func() bool { return len(c.starts()) >= 2 })
}

// playRename replaces the route of a running job by one of another name with the same host, prefix and
// service, in one version.
func playRename(c *cluster, trouble bool) error {
	if err := begin(c); err != nil {
		return err
	}
	if trouble {
		body := map[string]any{
			"set":    map[string]any{"queue.rounds-2": map[string]string{"host": "rounds.example", "prefix": "/rounds/", "pool": "rounds"}},
			"remove": []string{"queue.rounds"},
		}
		if err := c.command(http.MethodPost, "/configuration", body, nil); err != nil {
			return err
		}
	}
	time.Sleep(applyTime)
	unknown, last := 0, ""
	for end := time.Now().Add(doneTime); time.Now().Before(end) && !strings.Contains(last, "succeeded"); time.Sleep(time.Second) {
		var status int
		if status, last = c.state(routePath); status == http.StatusGone {
			unknown++
		}
	}
	c.recordRuns()
	if unknown == 0 {
		return nil
	}
	return fmt.Errorf("%w: GET for an accepted job that nobody has cancelled was answered 410, %d times", errBroken, unknown)
}

// playRemove removes the route of a running job.
func playRemove(c *cluster, trouble bool) error {
	if err := begin(c); err != nil {
		return err
	}
	if trouble {
		body := map[string]any{"remove": []string{"queue.rounds"}}
		if err := c.command(http.MethodPost, "/configuration", body, nil); err != nil {
			return err
		}
	}
	if err := c.await("the first step is done", startTime, func() bool { return len(c.ends()) >= 2 }); err != nil {
		return err
	}
	err := c.await("the second step is started", doneTime, func() bool { return len(c.starts()) >= 4 })
	c.state(routePath)
	c.recordRuns()
	c.keepLog("tasks-wait", "configuration-adopted")
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: the turn of the second step had come for %v, its service was empty, and no work unit was started", errBroken, doneTime)
}
