package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// waveSettings has one service of four workers of 16 cores, as in tengri-pair.
const waveSettings = `[emulation]
control-port = 0
ingress-port = 0
first-host-port = 0

[pool.rounds]
workers = 4
cores = 16
memory = 32768
zones = zone-a,zone-b

[queue.rounds]
host = rounds.example
prefix = /rounds/
pool = rounds

[account.arbiters]
keys = key-1
`

const (
	waveJob  = "11b0c9e25d7f4a80"
	largeJob = "22b0c9e25d7f4a81"
	// twoLasting has two small work units that last, of which one may miss; they are placed together.
	twoLasting = `{"spec":"ledger","steps":[{"count":2,"cpu":1300,"memMb":2400,"estRuntimeMs":900,"longRunning":true,"mayMiss":1}]}`
	// threeLarge has three work units that last and take a worker each, so that no other fits beside them.
	threeLarge = `{"spec":"ledger","steps":[{"count":3,"cpu":15000,"memMb":2400,"estRuntimeMs":900,"antiAffinity":1,"longRunning":true}]}`
	waveTerm   = 26 * time.Second
	// waveWatch is how long the work units are watched: the term, and some time after it.
	waveWatch = 45 * time.Second
	// lostAfter is the time after the last run of a work unit that lasts from which it has to run again, and
	// the time for which nothing has run then.
	lostAfter = 9 * time.Second
)

// playWave has the machine of two work units that last due for upkeep. No other worker of the service has
// room for them; their own has room for ten.
func playWave(c *cluster, trouble bool) error {
	if err := c.submit("/rounds/"+waveJob, twoLasting); err != nil {
		return err
	}
	if err := c.await("the small work units have begun", startTime, func() bool { return len(c.starts()) >= 2 }); err != nil {
		return err
	}
	if err := c.submit("/rounds/"+largeJob, threeLarge); err != nil {
		return err
	}
	if err := c.await("the large work units have begun", startTime, func() bool { return len(c.starts()) >= 5 }); err != nil {
		return err
	}
	first, second := c.newest(waveJob+".0.0.0"), c.newest(waveJob+".0.0.1")
	if first.Worker != second.Worker {
		return fmt.Errorf("the work units run on %s and %s", first.Worker, second.Worker)
	}
	time.Sleep(2 * time.Second)
	var state struct {
		Workers []struct {
			ID      string `json:"id"`
			Machine string `json:"machine"`
		} `json:"workers"`
	}
	if err := c.command(http.MethodGet, "/state", nil, &state); err != nil {
		return err
	}
	machine := ""
	for _, w := range state.Workers {
		if w.ID == first.Worker {
			machine = w.Machine
		}
	}
	c.logf("platform: %s is on machine %s", first.Worker, machine)
	if trouble {
		body := map[string]any{"machines": []string{machine}, "limit": 1, "term": waveTerm.String()}
		if err := c.command(http.MethodPost, "/waves", body, nil); err != nil {
			return err
		}
	}
	longest, absent := time.Duration(0), map[string]time.Time{}
	for end := time.Now().Add(waveWatch); time.Now().Before(end); time.Sleep(pollTime) {
		running := c.running(waveJob)
		for _, task := range []string{waveJob + ".0.0.0", waveJob + ".0.0.1"} {
			if running[task] {
				delete(absent, task)
				continue
			}
			if absent[task].IsZero() {
				absent[task] = time.Now()
				c.logf("workers: %s does not run", task)
			}
			longest = max(longest, time.Since(absent[task]))
		}
	}
	c.state("/rounds/" + waveJob)
	c.recordRuns()
	c.keepLog("machine-cordoned", "run-stopped", "tasks-wait", "machine-ordered", "wave-stored")
	if longest < lostAfter {
		return nil
	}
	return fmt.Errorf("%w: a work unit that lasts did not run for %v; its worker was up and had room for ten of them", errBroken, longest.Round(time.Second))
}

// running returns the tasks of a job that run on workers.
func (c *cluster) running(job string) map[string]bool {
	running := make(map[string]int)
	for _, s := range c.starts() {
		running[s.Task]++
	}
	for _, e := range c.ends() {
		running[e.Task]--
	}
	tasks := make(map[string]bool)
	for task, n := range running {
		if strings.HasPrefix(task, job) && n > 0 {
			tasks[task] = true
		}
	}
	return tasks
}
