package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"egretdrum.example/election"
	"egretdrum.example/emulation"
	"egretdrum.example/emulator"
	"egretdrum.example/platform"
	"egretdrum.example/storekeys"
)

const (
	emulatedFleet = `[emulation]
control-port = 0
ingress-port = 0
first-host-port = 0
[machines]
maintenance-time = 300ms
[pool.rounds]
workers = 3
[queue.rounds]
host = rounds.example
prefix = /rounds/
pool = rounds
[account.arbiters]
keys = key-1
`
	emulatedHosts = 2
	// emulationTimeout bounds each wait; the waits usually take a second.
	emulationTimeout = 30 * time.Second
	pollPause        = 50 * time.Millisecond
)

// emulatedCluster is an emulated platform with real hosts, all in this process.
type emulatedCluster struct {
	t        *testing.T
	dir      string
	ingress  string
	control  string
	settings []*platform.Settings
	stop     []func()
}

// newEmulatedCluster starts the platform and the hosts, and waits until the hosts are ready.
func newEmulatedCluster(t *testing.T) *emulatedCluster {
	c := &emulatedCluster{t: t, dir: t.TempDir()}
	file, s, err := emulation.Parse("emulation.ini", []byte(emulatedFleet))
	qt.Assert(t, err, qt.IsNil)
	var listeners bytes.Buffer
	e := emulator.New(&emulator.Config{File: file, Settings: s, Hosts: emulatedHosts, SettingsDir: c.dir, Listeners: &listeners, Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	qt.Assert(t, e.Listen(ctx), qt.IsNil)
	ended := make(chan error)
	go func() { ended <- e.Run(ctx) }()
	t.Cleanup(func() { cancel(); qt.Check(t, <-ended, qt.IsNil) })
	for line := range strings.Lines(listeners.String()) {
		switch words := strings.Fields(line); words[0] {
		case "control":
			c.control = "http://" + words[1]
		case "ingress":
			c.ingress = "http://" + words[1]
		}
	}
	for n := range emulatedHosts {
		c.startHost(n)
	}
	c.await("hosts that are ready", func() bool {
		var state struct{ Hosts []struct{ Ready bool } }
		c.get(c.control+"/state", &state)
		for _, h := range state.Hosts {
			if !h.Ready {
				return false
			}
		}
		return len(state.Hosts) == emulatedHosts
	})
	return c
}

// startHost starts a host with a grace time that is short enough for a test.
func (c *emulatedCluster) startHost(n int) {
	path := filepath.Join(c.dir, fmt.Sprintf("entry-%d.conf", n+1))
	content, err := os.ReadFile(path)
	qt.Assert(c.t, err, qt.IsNil)
	s, err := platform.ParseSettings(path, append(content, "bounds.graceS=1\n"...))
	qt.Assert(c.t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	h, ended := newPlatformHost(s), make(chan error, 1)
	go func() { ended <- h.run(ctx) }()
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			cancel()
			qt.Check(c.t, <-ended, qt.IsNil)
			qt.Check(c.t, h.meter.Close(), qt.IsNil)
		}
	}
	c.t.Cleanup(stop)
	c.settings, c.stop = append(c.settings, s), append(c.stop, stop)
}

func (c *emulatedCluster) await(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(emulationTimeout); !condition(); time.Sleep(pollPause) {
		if time.Now().After(deadline) {
			c.t.Fatalf("no %s within %s", what, emulationTimeout)
		}
	}
}

func (c *emulatedCluster) call(method, url, body string, answer any) int {
	c.t.Helper()
	req, err := http.NewRequestWithContext(c.t.Context(), method, url, strings.NewReader(body))
	qt.Assert(c.t, err, qt.IsNil)
	req.Header.Set("Authorization", "Token key-1")
	if strings.HasPrefix(url, c.ingress) {
		req.Host = "rounds.example"
	}
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(c.t, err, qt.IsNil)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	qt.Assert(c.t, err, qt.IsNil)
	// The ingress notices a stopped host after some time; until then it answers otherwise.
	if answer != nil && resp.StatusCode == http.StatusOK {
		qt.Assert(c.t, json.Unmarshal(b, answer), qt.IsNil, qt.Commentf("%d %s", resp.StatusCode, b))
	}
	return resp.StatusCode
}

func (c *emulatedCluster) get(url string, answer any) { c.call(http.MethodGet, url, "", answer) }

func (c *emulatedCluster) command(path, body string) {
	c.t.Helper()
	qt.Assert(c.t, c.call(http.MethodPost, c.control+path, body, nil), qt.Equals, http.StatusOK)
}

func (c *emulatedCluster) jobURL(id int) string {
	return fmt.Sprintf("%s/rounds/%016x", c.ingress, id)
}

// submit submits a job until a host has accepted it.
func (c *emulatedCluster) submit(id int, body string) {
	c.t.Helper()
	c.await("host that accepts a job", func() bool {
		return c.call(http.MethodPost, c.jobURL(id), body, nil) == http.StatusOK
	})
}

func (c *emulatedCluster) awaitState(id int, state string) {
	c.t.Helper()
	c.await("job in state "+state, func() bool {
		var answer struct{ State string }
		c.get(c.jobURL(id), &answer)
		return answer.State == state
	})
}

// running returns the number of tasks that run on the workers.
func (c *emulatedCluster) running() int {
	var state struct {
		Workers []struct{ Running []struct{} }
	}
	c.get(c.control+"/state", &state)
	n := 0
	for _, w := range state.Workers {
		n += len(w.Running)
	}
	return n
}

func (c *emulatedCluster) checkNoViolations() {
	c.t.Helper()
	var answer struct {
		Violations []struct{ Check, Detail string }
	}
	c.get(c.control+"/violations", &answer)
	qt.Assert(c.t, answer.Violations, qt.HasLen, 0)
}

// owner returns the number of the host that is the owner, -1 without one.
func (c *emulatedCluster) owner() int {
	item, err := platform.NewClient("test").Store(c.settings[0].Store).Get(c.t.Context(), storekeys.Owner)
	if err != nil {
		return -1
	}
	name, err := election.Holder(item)
	qt.Assert(c.t, err, qt.IsNil)
	for n, s := range c.settings {
		if s.Host == name {
			return n
		}
	}
	return -1
}

const (
	twoSteps    = `{"spec":"run-time=100ms","steps":[{"count":3,"cpu":1000,"memMb":64,"estRuntimeMs":100},{"count":1,"cpu":500,"memMb":64,"estRuntimeMs":100,"after":[0]}]}`
	longRunning = `{"spec":"x","steps":[{"count":2,"cpu":1000,"memMb":64,"estRuntimeMs":1000,"longRunning":true}]}`
)

// Guards against an emulated platform that real hosts cannot work on: they accept and run jobs,
// cancel them, carry out maintenance, and go on after the owner was stopped.
func TestEmulatedPlatform(t *testing.T) {
	c := newEmulatedCluster(t)
	c.submit(1, twoSteps)
	c.awaitState(1, "succeeded")

	c.submit(2, longRunning)
	c.await("long-running tasks", func() bool { return c.running() == 2 })
	qt.Assert(t, c.call(http.MethodDelete, c.jobURL(2), "", nil), qt.Equals, http.StatusOK)
	c.await("end of the cancelled tasks", func() bool { return c.running() == 0 })
	c.awaitState(2, "cancelled")

	c.command("/waves", `{"machines":["m-0001"],"limit":1,"term":"10s"}`)
	c.await("end of the wave", func() bool {
		var answer struct{ State string }
		c.get(c.control+"/waves/1", &answer)
		return answer.State == "succeeded"
	})

	before := c.owner()
	qt.Assert(t, before >= 0, qt.IsTrue)
	c.stop[before]()
	c.submit(3, twoSteps)
	c.awaitState(3, "succeeded")
	qt.Assert(t, c.owner(), qt.Equals, 1-before)
	c.checkNoViolations()
}

// Guards against faults that the commands inject and that have no effect, or that stay after
// they were removed.
func TestEmulatedFaults(t *testing.T) {
	c := newEmulatedCluster(t)
	c.command("/faults", `{"target":"store","kind":"refused","calls":["commit"]}`)
	qt.Assert(t, c.call(http.MethodPost, c.jobURL(1), twoSteps, nil), qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, c.call(http.MethodDelete, c.control+"/faults", "", nil), qt.Equals, http.StatusOK)
	c.command("/faults", `{"target":"workers","kind":"late","delay":"300ms","calls":["start"],"share":0.5}`)
	c.submit(2, twoSteps)
	c.awaitState(2, "succeeded")
	c.checkNoViolations()
	var state struct{ Faults []struct{} }
	c.get(c.control+"/state", &state)
	qt.Assert(t, state.Faults, qt.HasLen, 1)
}
