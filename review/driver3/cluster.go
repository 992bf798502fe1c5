package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	hostProgram     = "target/egretdrum"
	emulatorProgram = "target/review-3/egretdrum"
	// callTimeout is the time budget of the callers.
	callTimeout = 3 * time.Second
	startTime   = 20 * time.Second
	stopTime    = 8 * time.Second
	pollTime    = 100 * time.Millisecond
)

// errBroken reports an observation that breaks the rule of a case.
var errBroken = errors.New("the rule is broken")

// cluster is an emulated platform with entry hosts, each a process.
type cluster struct {
	record  *os.File
	started time.Time
	dir     string
	control string
	ingress string
	hosts   []string
	procs   []*exec.Cmd
	client  *http.Client
}

// newCluster starts the emulator with the given settings, and entry hosts against it.
func newCluster(record *os.File, settings string, hosts int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: record, started: time.Now(), dir: dir, client: &http.Client{Timeout: callTimeout}}
	if err := os.WriteFile(filepath.Join(dir, "emulation.ini"), []byte(settings), 0o600); err != nil {
		return c, err
	}
	emulator := exec.Command(emulatorProgram, "emulate", filepath.Join(dir, "emulation.ini"), "--hosts", fmt.Sprint(hosts), "--settings-dir", dir)
	if err := c.start(emulator, "emulator"); err != nil {
		return c, err
	}
	if err := c.await("the emulator listens", startTime, c.readListeners); err != nil {
		return c, err
	}
	for _, h := range c.hosts {
		host := exec.Command(hostProgram, "platform-host")
		host.Env = append(os.Environ(), "EGRETDRUM_SETTINGS="+filepath.Join(dir, h+".conf"))
		if err := c.start(host, h); err != nil {
			return c, err
		}
	}
	return c, nil
}

// start starts a process whose output goes to a file of the cluster's folder.
func (c *cluster) start(cmd *exec.Cmd, name string) error {
	out, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	c.procs = append(c.procs, cmd)
	c.logf("%s started as a process", name)
	return nil
}

// readListeners reads the addresses that the emulator prints.
func (c *cluster) readListeners() bool {
	b, err := os.ReadFile(filepath.Join(c.dir, "emulator.log"))
	if err != nil || !bytes.Contains(b, []byte("ready\n")) {
		return false
	}
	for line := range strings.Lines(string(b)) {
		words := strings.Fields(line)
		switch {
		case len(words) == 2 && words[0] == "control":
			c.control = words[1]
		case len(words) == 2 && words[0] == "ingress":
			c.ingress = words[1]
		case len(words) > 2 && words[0] == "host":
			c.hosts = append(c.hosts, words[1])
		}
	}
	return true
}

// stop ends all processes that were started, and removes the folder of the cluster.
func (c *cluster) stop() {
	for _, p := range c.procs {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range c.procs {
		timer := time.AfterFunc(stopTime, func() { _ = p.Process.Kill() })
		_ = p.Wait()
		timer.Stop()
	}
	_ = os.RemoveAll(c.dir)
}

// keepLog copies the lines of the hosts' logs that contain one of the events to the record.
func (c *cluster) keepLog(events ...string) {
	for _, h := range c.hosts {
		b, err := os.ReadFile(filepath.Join(c.dir, h+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(b)) {
			for _, e := range events {
				if strings.Contains(line, "event="+e+" ") {
					fmt.Fprintf(c.record, "log of %s: %s", h, line)
				}
			}
		}
	}
}

// logf writes a line to the record, with the time since the start.
func (c *cluster) logf(format string, args ...any) {
	fmt.Fprintf(c.record, "%8.3f  %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...))
}

// await waits until f reports true.
func (c *cluster) await(what string, limit time.Duration, f func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollTime) {
		if f() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// command sends a command to the emulator and decodes the answer into result.
func (c *cluster) command(method, path string, body, result any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, "http://"+c.control+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if method != http.MethodGet {
		c.logf("platform: %s %s %s -> %d %s", method, path, b, resp.StatusCode, bytes.TrimSpace(answer))
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d, %s", method, path, resp.StatusCode, answer)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(answer, result)
}

// call is a call of a caller through the ingress. It returns the status and the body.
func (c *cluster) call(method, path, body string) (int, string) {
	return c.callHost("", method, path, body)
}

// callHost is a call that the ingress forwards to a host, or to one that is ready if the name is empty.
func (c *cluster) callHost(host, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+c.ingress+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "rounds.example"
	if host != "" {
		req.Header.Set("Egretdrum-Host", host)
	}
	req.Header.Set("Authorization", "Token key-1")
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(answer))
}

// submit hands a job in until it is accepted.
func (c *cluster) submit(path, body string) error {
	return c.await("the job is accepted", startTime, func() bool {
		status, answer := c.call(http.MethodPost, path, body)
		c.logf("caller: POST %s %s -> %d %s", path, body, status, answer)
		return status == http.StatusOK
	})
}

// state returns the answer to a query for a job, and records it.
func (c *cluster) state(path string) (int, string) {
	status, answer := c.call(http.MethodGet, path, "")
	c.logf("caller: GET %s -> %d %s", path, status, answer)
	return status, answer
}

// start is a start that a worker has carried out, end an end of a run.
type start struct {
	Number int64  `json:"number"`
	Task   string `json:"task"`
	Worker string `json:"worker"`
	Run    int64  `json:"run"`
}

type end struct {
	Number int64  `json:"number"`
	Task   string `json:"task"`
	Worker string `json:"worker"`
	Run    int64  `json:"run"`
	Reason string `json:"reason"`
}

// starts returns what workers have begun.
func (c *cluster) starts() []start {
	var answer struct {
		Starts []start `json:"starts"`
	}
	if err := c.command(http.MethodGet, "/starts?after=0", nil, &answer); err != nil {
		c.logf("starts: %v", err)
	}
	return answer.Starts
}

// ends returns what has ended on workers.
func (c *cluster) ends() []end {
	var answer struct {
		Ends []end `json:"ends"`
	}
	if err := c.command(http.MethodGet, "/ends?after=0", nil, &answer); err != nil {
		c.logf("ends: %v", err)
	}
	return answer.Ends
}

// recordRuns writes what workers have begun and ended to the record.
func (c *cluster) recordRuns() {
	for _, s := range c.starts() {
		c.logf("workers: began %s run %d on %s", s.Task, s.Run, s.Worker)
	}
	for _, e := range c.ends() {
		c.logf("workers: ended %s run %d on %s: %s", e.Task, e.Run, e.Worker, e.Reason)
	}
}

// newest returns the newest start of a task, nil if there is none.
func (c *cluster) newest(task string) *start {
	var found *start
	for _, s := range c.starts() {
		if s.Task == task {
			found = &s
		}
	}
	return found
}
