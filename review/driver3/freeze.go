package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const freezeSettings = `[emulation]
control-port = 0
ingress-port = 0
first-host-port = 0

[pool.rounds]
workers = 4
cores = 16
memory = 32768
zones = zone-a,zone-b,zone-c

[queue.rounds]
host = rounds.example
prefix = /rounds/
pool = rounds

[account.arbiters]
keys = key-1
`

const (
	fullJob = "33c0c9e25d7f4a82"
	// fourLarge has a work unit for each worker, which it takes as a whole, so that other jobs wait.
	fourLarge = `{"spec":"run-time=300s","steps":[{"count":4,"cpu":16000,"memMb":2400,"estRuntimeMs":300000,"antiAffinity":1}]}`
	smallJob  = `{"spec":"run-time=1s","steps":[{"count":1,"cpu":500,"memMb":256,"estRuntimeMs":1000}]}`
	waiting   = 12
	// freezes is how often the host that owns is frozen, each time for frozenFor, freezeGap after the last one.
	freezes   = 15
	frozenFor = 1600 * time.Millisecond
	freezeGap = 1700 * time.Millisecond
	// countedAfter is visible_ms and 2 s, and contactAfter is contactMs, each with some time to spare.
	countedAfter = 5500 * time.Millisecond
	contactAfter = 3500 * time.Millisecond
)

// playFreeze freezes the host that owns, again and again, while jobs wait, and asks hosts that were not
// frozen for contactMs how many wait.
func playFreeze(c *cluster, trouble bool) error {
	if err := c.submit("/rounds/"+fullJob, fourLarge); err != nil {
		return err
	}
	if err := c.await("the workers are full", startTime, func() bool { return len(c.starts()) >= 4 }); err != nil {
		return err
	}
	time.Sleep(contactAfter)
	thawed := make(map[string]time.Time)
	var accepted time.Time
	wrong := 0
	for n := range freezes {
		if owner := c.owner(); trouble && owner != "" && time.Since(thawed[owner]) > 0 {
			thawed[owner] = time.Now().Add(frozenFor)
			c.freeze(owner)
		}
		if n == 0 {
			// The jobs arrive while there is no owner.
			if err := c.submitWaiting(thawed); err != nil {
				return err
			}
			accepted = time.Now()
		}
		next := time.Now().Add(freezeGap)
		if time.Since(accepted) > countedAfter {
			wrong += c.countWaiting(thawed)
		}
		time.Sleep(time.Until(next))
	}
	c.recordRuns()
	c.keepLog("ownership-taken", "ownership-ended", "state-loaded")
	if wrong == 0 {
		return nil
	}
	return fmt.Errorf("%w: hosts that were not frozen gave under half of the %d jobs that wait as pendingCount, %d times", errBroken, waiting, wrong)
}

// submitWaiting hands the jobs in that wait, at a host that is not frozen.
func (c *cluster) submitWaiting(thawed map[string]time.Time) error {
	for _, h := range c.hosts {
		if !thawed[h].IsZero() {
			continue
		}
		for i := range waiting {
			path := fmt.Sprintf("/rounds/44c0c9e25d7f4a%02x", i)
			status, answer := c.callHost(h, http.MethodPost, path, smallJob)
			c.logf("caller: POST %s at %s -> %d %s", path, h, status, answer)
			if status != http.StatusOK {
				return fmt.Errorf("job %s was not accepted", path)
			}
		}
		return nil
	}
	return errors.New("no host is left")
}

// owner returns the host that has become the owner last, by the logs.
func (c *cluster) owner() string {
	last, owner := "", ""
	for _, h := range c.hosts {
		b, err := os.ReadFile(filepath.Join(c.dir, h+".log"))
		if err != nil {
			continue
		}
		for line := range bytes.Lines(b) {
			if at := string(line[:min(len(line), len("ts=2006-01-02T15:04:05.000000"))]); bytes.Contains(line, []byte("event=ownership-taken ")) && at > last {
				last, owner = at, h
			}
		}
	}
	return owner
}

// freeze stops the process of a host and continues it later.
func (c *cluster) freeze(host string) {
	p := c.process(host)
	c.logf("%s is frozen for %v", host, frozenFor)
	_ = p.Signal(syscall.SIGSTOP)
	time.AfterFunc(frozenFor, func() { _ = p.Signal(syscall.SIGCONT) })
}

// process returns the process of a host; the emulator is the first one that was started.
func (c *cluster) process(host string) *os.Process {
	for i, h := range c.hosts {
		if h == host {
			return c.procs[i+1].Process
		}
	}
	return nil
}

// countWaiting asks each host that was not frozen for contactMs for the number of jobs that wait, and
// returns how many gave less than half of them.
func (c *cluster) countWaiting(thawed map[string]time.Time) int {
	wrong := 0
	for _, h := range c.hosts {
		if time.Since(thawed[h]) < contactAfter {
			continue
		}
		status, answer := c.callHost(h, http.MethodGet, "/rounds/", "")
		if status != http.StatusOK {
			continue
		}
		n := 0
		_, err := fmt.Sscanf(strings.TrimSpace(answer), `{"pendingCount":%d}`, &n)
		c.logf("caller: GET /rounds/ at %s -> %d %s", h, status, answer)
		if err == nil && n < waiting/2 {
			wrong++
		}
	}
	return wrong
}
