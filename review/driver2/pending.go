package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const pendingSettings = `
[pool.rounds]
workers = 12
cores = 4
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
	pendingWorkers = 12
	// pendingJobs is the number of jobs that wait for the worker with free capacity, which has room for all.
	pendingJobs = 8
	// greyTime is how long that worker answers starts with 503.
	greyTime = "6.4s"
	// countAge is bounds.visible_ms and two seconds.
	countAge = 5 * time.Second
)

// playPending fills all workers but one, which answers starts with 503 for some seconds, and compares the
// count of pending jobs with the jobs that have not begun.
func playPending(c *cluster, trouble bool) error {
	if err := c.startHosts(); err != nil {
		return err
	}
	if err := c.submit("5c0e7a21d94b1000", "key-1", submission{Spec: "run-time=60s", Steps: []step{{Count: pendingWorkers - 1, CPU: 4000}}}); err != nil {
		return err
	}
	if _, err := c.awaitStarts("5c0e7a21d94b1000", pendingWorkers-1, 5*time.Second); err != nil {
		return err
	}
	if err := c.submit("5c0e7a21d94b1001", "key-1", submission{Spec: "run-time=3s", Steps: []step{{Count: 1, CPU: 4000}}}); err != nil {
		return err
	}
	starts, err := c.awaitStarts("5c0e7a21d94b1001", 1, 5*time.Second)
	if err != nil {
		return err
	}
	// The worker becomes free one second after this.
	time.Sleep(time.Until(starts[0].At.Add(2 * time.Second)))
	if trouble {
		if err := c.command("/faults", map[string]any{"target": "workers", "name": starts[0].Worker, "kind": "refused", "calls": []string{"start"}, "for": greyTime}); err != nil {
			return err
		}
	}
	for n := range pendingJobs {
		if err := c.submit(pendingID(n), "key-1", submission{Spec: "run-time=2s", Steps: []step{{Count: 1, CPU: 500}}}); err != nil {
			return err
		}
	}
	accepted := time.Now()
	time.Sleep(time.Until(accepted.Add(countAge + 200*time.Millisecond)))
	return c.compareCounts()
}

func pendingID(n int) string { return fmt.Sprintf("5c0e7a21d94b11%02d", n) }

// compareCounts asks each host for the count, and compares the answers with the jobs that have not begun
// afterwards, which had not begun at the time of the answers either.
func (c *cluster) compareCounts() error {
	counts := make(map[string]int)
	for _, h := range c.hosts {
		status, answer := c.call(http.MethodGet, "", "key-1", nil, h.name)
		c.add("GET %s at %s: %d %s", queuePrefix, h.name, status, answer)
		var body struct {
			Count int `json:"pendingCount"`
		}
		if err := json.Unmarshal([]byte(answer), &body); status != http.StatusOK || err != nil {
			return fmt.Errorf("count was answered with %d %s", status, answer)
		}
		counts[h.name] = body.Count
	}
	notBegun := 0
	for n := range pendingJobs {
		starts, err := c.observed("starts", pendingID(n))
		if err != nil {
			return err
		}
		if len(starts) == 0 {
			notBegun++
		}
	}
	c.add("%d jobs that were accepted over %v before have not begun", notBegun, countAge)
	for host, count := range counts {
		if 2*count < notBegun {
			return &brokenError{"MIXED", fmt.Sprintf("%s gives %d as pendingCount, while %d jobs that were accepted over %v before have not begun", host, count, notBegun, countAge)}
		}
	}
	return nil
}
