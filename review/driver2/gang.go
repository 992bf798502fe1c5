package main

import (
	"fmt"
	"time"
)

const gangSettings = `
[pool.rounds]
workers = 8
cores = 4
zones = zone-a,zone-b
racks = 2
[queue.rounds]
host = rounds.example
prefix = /rounds/
pool = rounds
[account.arbiters]
keys = key-1
cores = 8
`

const (
	gangTasks = 6
	gangID    = "5c0e7a21d94b2001"
	// loweredCores is the limit of the account after the change, gangCores what one member uses.
	loweredCores, gangCores = 2.0, 1.0
	quotaOverage            = 0.1
)

// playGang lowers the limit of an account below what a gang needs, and judges what then runs.
func playGang(c *cluster, trouble bool) error {
	if err := c.startHosts(); err != nil {
		return err
	}
	limit := 8.0
	if trouble {
		limit = loweredCores
		if err := c.command("/configuration", map[string]any{"set": map[string]any{"account.arbiters": map[string]string{"cores": "2"}}}); err != nil {
			return err
		}
	}
	// bounds.configApplyMs is two seconds.
	time.Sleep(5 * time.Second)
	if err := c.submit(gangID, "key-1", submission{Spec: "run-time=3s", Steps: []step{{Count: gangTasks, CPU: 1000, Gang: true}}}); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	starts, err := c.observed("starts", gangID)
	if err != nil {
		return err
	}
	for _, s := range starts {
		c.add("start of %s, run %d, on %s at %s", s.Task, s.Run, s.Worker, s.At.Format("15:04:05.000"))
	}
	ends, err := c.observed("ends", gangID)
	if err != nil {
		return err
	}
	used := gangCores * float64(len(starts)-len(ends))
	c.add("%v cores in use, the limit of the account is %v", used, limit)
	if allowed := limit*(1+quotaOverage) + gangCores; used > allowed {
		return &brokenError{"QUOTA", fmt.Sprintf("%v cores run for an account with a cap of %v, at most %v are allowed", used, limit, allowed)}
	}
	if !trouble {
		return c.awaitSuccess(gangID, 15*time.Second)
	}
	return nil
}
