package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"sync"
	"time"
)

const scheduledSettings = `
[pool.rounds]
workers = 4
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
[account.clubs]
keys = key-2
cores = 4
`

const (
	// memoryLimit is limits.memoryMb of the first deployment, in MB.
	memoryLimit = 284
	// restartDelay is how long the platform waits before it restarts a process that has ended.
	restartDelay       = time.Second
	memoryReadInterval = 10 * time.Millisecond

	scheduledID, lastingID, ordinaryID = "5c0e7a21d94b3001", "5c0e7a21d94b3002", "5c0e7a21d94b3003"
	lastingTasks, ordinaryTasks        = 2, 2
	otherJobs                          = 19
	// finishTime is bounds.finish_s, idleTime how long a job may have nothing running.
	finishTime, idleTime = 14 * time.Second, 3 * time.Second
)

// playScheduled submits a scheduled job whose occurrences are all overdue, and judges whether the jobs of
// another account go on.
func playScheduled(c *cluster, trouble bool) error {
	for _, h := range c.hosts {
		if err := setMemoryLimit(h.settings); err != nil {
			return err
		}
	}
	if err := c.startHosts(); err != nil {
		return err
	}
	killed := c.enforceMemoryLimit()
	defer killed.stop()
	if err := c.submit(lastingID, "key-1", submission{Spec: "lasts", Steps: []step{{Count: lastingTasks, CPU: 500, LongRunning: true}}}); err != nil {
		return err
	}
	if _, err := c.awaitStarts(lastingID, lastingTasks, 5*time.Second); err != nil {
		return err
	}
	// With these, the scheduled job is one of 22 that callers send.
	for n := range otherJobs {
		if err := c.submit(fmt.Sprintf("5c0e7a21d94b31%02d", n), "key-2", submission{Spec: "run-time=200ms", Steps: []step{{Count: 1, CPU: 500}}}); err != nil {
			return err
		}
	}
	if trouble {
		overdue := submission{Spec: "run-time=1s", Steps: []step{{Count: 24, CPU: 500}}, RepeatCount: 100000, IntervalMs: 60000}
		if err := c.submit(scheduledID, "key-2", overdue); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	if err := c.submitAgain(ordinaryID, "key-1", submission{Spec: "run-time=1s", Steps: []step{{Count: ordinaryTasks, CPU: 500}}}); err != nil {
		return err
	}
	time.Sleep(finishTime)
	before, err := c.observed("starts", ordinaryID)
	if err != nil {
		return err
	}
	time.Sleep(idleTime)
	after, err := c.observed("starts", ordinaryID)
	if err != nil {
		return err
	}
	status, answer := c.call(http.MethodGet, ordinaryID, "key-1", nil, "")
	c.add("GET %s: %d %s; %d of its %d work units have begun", ordinaryID, status, answer, len(after), ordinaryTasks)
	running, err := c.running(lastingID)
	if err != nil {
		return err
	}
	c.add("%d of %d work units that last are running; processes killed over the memory limit: %d", running, lastingTasks, killed.count())
	if len(before) == 0 && len(after) == 0 {
		return &brokenError{"LOST", fmt.Sprintf("an accepted job has had nothing running for %v after finish_s, in an idle pool; hosts were killed %d times over their memory limit", idleTime, killed.count())}
	}
	return c.awaitSuccess(ordinaryID, 5*time.Second)
}

// submitAgain repeats a submission as a caller does, until it is accepted.
func (c *cluster) submitAgain(id, key string, body any) error {
	var err error
	for range 10 {
		if err = c.submit(id, key, body); err == nil {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return err
}

// running returns the number of runs of a job that have begun and not ended.
func (c *cluster) running(id string) (int, error) {
	starts, err := c.observed("starts", id)
	if err != nil {
		return 0, err
	}
	ends, err := c.observed("ends", id)
	return len(starts) - len(ends), err
}

var memorySetting = regexp.MustCompile(`(?m)^limits\.memoryMb=.*$`)

func setMemoryLimit(settings string) error {
	b, err := os.ReadFile(settings)
	if err != nil {
		return err
	}
	b = memorySetting.ReplaceAll(b, fmt.Appendf(nil, "limits.memoryMb=%d", memoryLimit))
	return os.WriteFile(settings, b, 0o600)
}

// kills counts the processes that were killed over their memory limit.
type kills struct {
	mu   sync.Mutex
	n    int
	done chan struct{}
	wg   sync.WaitGroup
}

func (k *kills) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.n
}

func (k *kills) stop() {
	close(k.done)
	k.wg.Wait()
}

// enforceMemoryLimit kills each host above its memory limit and restarts it, as the platform does.
func (c *cluster) enforceMemoryLimit() *kills {
	k := &kills{done: make(chan struct{})}
	for _, h := range c.hosts {
		k.wg.Add(1)
		go func() { defer k.wg.Done(); c.watchMemory(h, k) }()
	}
	return k
}

func (c *cluster) watchMemory(h *hostProcess, k *kills) {
	for {
		select {
		case <-k.done:
			return
		case <-time.After(memoryReadInterval):
		}
		used := residentMB(h.cmd.Process.Pid)
		if used <= memoryLimit {
			continue
		}
		_ = h.cmd.Process.Kill()
		<-h.ended
		k.mu.Lock()
		k.n++
		k.mu.Unlock()
		c.add("%s uses %d MB of %d MB and is killed", h.name, used, memoryLimit)
		select {
		case <-k.done:
			return
		case <-time.After(restartDelay):
		}
		if err := c.startHost(h); err != nil {
			c.add("%s not restarted: %v", h.name, err)
			return
		}
	}
}

var residentSize = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

// residentMB returns the resident memory of a process, zero if it has ended.
func residentMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	m := residentSize.FindSubmatch(bytes.TrimSpace(b))
	if err != nil || m == nil {
		return 0
	}
	kb, err := strconv.Atoi(string(m[1]))
	if err != nil {
		return 0
	}
	return kb / 1024
}
