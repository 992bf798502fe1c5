package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// hostProgram and hostCommand are those of the deploy file.
	hostProgram = "target/egretdrum"
	hostCommand = "platform-host"
	// platformProgram is built by build-2.sh.
	platformProgram = "target/review-2/egretdrum"

	// portsPerHost and otherPorts are the ports that the emulated platform needs.
	portsPerHost = 8
	otherPorts   = 2

	startTimeout = 20 * time.Second
	callTimeout  = 5 * time.Second
	stopTimeout  = 8 * time.Second

	queueHost   = "rounds.example"
	queuePrefix = "/rounds/"
)

// cluster is an emulated platform with hosts.
type cluster struct {
	*record
	dir              string
	control, ingress string
	platform         *exec.Cmd
	hosts            []*hostProcess
	client           *http.Client
}

// hostProcess is the process of a host.
type hostProcess struct {
	name, settings string
	cmd            *exec.Cmd
	ended          chan struct{}
}

// startCluster starts the platform and its hosts, and waits until all hosts serve callers.
func startCluster(r *record, settings string, hosts int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: r, dir: dir, client: &http.Client{Timeout: callTimeout}}
	if err := c.start(settings, hosts); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(settings string, hosts int) error {
	base, err := freePorts(otherPorts + portsPerHost*hosts)
	if err != nil {
		return err
	}
	c.control, c.ingress = fmt.Sprintf("http://127.0.0.1:%d", base), fmt.Sprintf("http://127.0.0.1:%d", base+1)
	file := filepath.Join(c.dir, "platform.ini")
	content := fmt.Sprintf("[emulation]\nseed = 1\ncontrol-port = %d\ningress-port = %d\nfirst-host-port = %d\n%s", base, base+1, base+otherPorts, settings)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		return err
	}
	if err := c.startPlatform(file, hosts); err != nil {
		return err
	}
	for n := 1; n <= hosts; n++ {
		name := fmt.Sprintf("entry-%d", n)
		h := &hostProcess{name: name, settings: filepath.Join(c.dir, name+".conf")}
		c.hosts = append(c.hosts, h)
	}
	return nil
}

// startPlatform starts the emulated platform and waits until it is ready.
func (c *cluster) startPlatform(file string, hosts int) error {
	cmd := exec.Command(platformProgram, "emulate", file, "--hosts", fmt.Sprint(hosts), "--settings-dir", c.dir)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.platform = cmd
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if lines.Text() == "ready" {
			go func() { _, _ = io.Copy(io.Discard, out) }()
			return nil
		}
	}
	return errors.New("the emulated platform has not become ready")
}

// startHosts starts all hosts and waits until each serves callers.
func (c *cluster) startHosts() error {
	for _, h := range c.hosts {
		if err := c.startHost(h); err != nil {
			return err
		}
	}
	for _, h := range c.hosts {
		deadline := time.Now().Add(startTimeout)
		for {
			status, _ := c.call(http.MethodGet, "", "key-1", nil, h.name)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("host %s does not serve callers", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// The ingress asks each second whether a host is ready.
	time.Sleep(2 * time.Second)
	c.add("%d hosts serve callers", len(c.hosts))
	return nil
}

func (c *cluster) startHost(h *hostProcess) error {
	log, err := os.OpenFile(filepath.Join(c.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.cmd = exec.Command(hostProgram, hostCommand)
	h.cmd.Env = append(os.Environ(), "EGRETDRUM_SETTINGS="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := h.cmd, make(chan struct{})
	h.ended = ended
	go func() { _ = cmd.Wait(); close(ended) }()
	return nil
}

// stop ends all processes that were started.
func (c *cluster) stop() {
	for _, h := range c.hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, h := range c.hosts {
		if h.cmd == nil {
			continue
		}
		select {
		case <-h.ended:
		case <-time.After(stopTimeout):
			_ = h.cmd.Process.Kill()
			<-h.ended
		}
	}
	if c.platform != nil {
		_ = c.platform.Process.Signal(syscall.SIGTERM)
		_ = c.platform.Wait()
	}
	if err := os.RemoveAll(c.dir); err != nil {
		c.add("folder of the processes not removed: %v", err)
	}
}

// freePorts returns the first of n consecutive ports that are free.
func freePorts(n int) (int, error) {
	for range 200 {
		base := 20000 + rand.IntN(12000)
		if portsFree(base, n) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func portsFree(base, n int) bool {
	for port := base; port < base+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// call makes a call of a caller about a job, or about the queue without an ID. It goes to the given host,
// or to one of those that are ready. The status is zero without an answer.
func (c *cluster) call(method, id, key string, body any, host string) (int, string) {
	var payload io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		payload = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, c.ingress+queuePrefix+id, payload)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Deadline-Ms", "3000")
	if host != "" {
		req.Header.Set("Egretdrum-Host", host)
	}
	return c.send(req)
}

func (c *cluster) send(req *http.Request) (int, string) {
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(b))
}

// submit submits a job and records the answer.
func (c *cluster) submit(id, key string, body any) error {
	status, answer := c.call(http.MethodPost, id, key, body, "")
	c.add("POST %s with %s: %d %s", id, key, status, answer)
	if status != http.StatusOK {
		return fmt.Errorf("job %s was answered with %d %s", id, status, answer)
	}
	return nil
}

// command sends a command to the emulated platform.
func (c *cluster) command(path string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	c.add("platform: %s %s", path, b)
	resp, err := c.client.Post(c.control+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s was answered with %d", path, resp.StatusCode)
	}
	return nil
}

// observation is a start or an end that a worker has seen.
type observation struct {
	At     time.Time `json:"at"`
	Worker string    `json:"worker"`
	Task   string    `json:"task"`
	Run    int64     `json:"run"`
	Reason string    `json:"reason"`
}

// observed returns all starts or ends of a job, of all jobs if id is empty.
func (c *cluster) observed(kind, id string) ([]observation, error) {
	resp, err := c.client.Get(c.control + "/" + kind + "?after=0")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var answer map[string]json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, err
	}
	var all, ofJob []observation
	if err := json.Unmarshal(answer[kind], &all); err != nil {
		return nil, err
	}
	for _, o := range all {
		if strings.HasPrefix(o.Task, id) {
			ofJob = append(ofJob, o)
		}
	}
	return ofJob, nil
}

// awaitStarts waits until n runs of a job have begun.
func (c *cluster) awaitStarts(id string, n int, within time.Duration) ([]observation, error) {
	for deadline := time.Now().Add(within); ; time.Sleep(100 * time.Millisecond) {
		starts, err := c.observed("starts", id)
		if err != nil {
			return nil, err
		}
		if len(starts) >= n {
			return starts, nil
		}
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("%d of %d runs of %s have begun", len(starts), n, id)
		}
	}
}
