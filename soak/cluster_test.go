package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/election"
	"egretdrum.example/kv"
	"egretdrum.example/storekeys"
)

const (
	// grace is the time between SIGTERM and SIGKILL; two thirds of what hosts assume if their
	// settings do not say, so that a run has more stops.
	grace = 4 * time.Second
	// evacuateWithin is when nothing may start in an evacuated zone any more.
	evacuateWithin = 4 * time.Second
	// configWithin is when a new configuration has to be in force.
	configWithin = 2 * time.Second
	// maxReported is how many failures of one promise are reported.
	maxReported = 10
	// portsPerHost is the number of ports that the emulator sets aside for each host.
	portsPerHost = 8
	// observer is the name of a host that is never started. Its store listener serves the test.
	observerOffset = 1
)

// cluster is an emulator and its hosts, each in a process of its own.
type cluster struct {
	t       testing.TB
	dir     string
	started time.Time

	emulator *process
	control  *control
	ingress  string
	store    string
	hosts    []*host

	mu       sync.Mutex
	timeline []string
	broken   []string
	// failures counts the failures by their promises.
	failures map[string]int
	// disturbed are the spans in which something that all hosts need was disturbed.
	disturbed []span
	faults    map[string]int
	processes int
	// tokens holds the host that has used a fencing token at a worker.
	tokens map[usedToken]string
}

type usedToken struct {
	worker netip.AddrPort
	token  string
}

// span is a time span; an end of zero means that it lasts.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// host is an entry host that may be restarted.
type host struct {
	c        *cluster
	name     string
	settings string
	logPath  string
	callers  netip.AddrPort
	// store and machines are the links to the services; the first leads to the view.
	view            *view
	store, machines *link

	mu        sync.Mutex
	binary    string
	process   *process
	stopping  bool
	disturbed []span
	// down is positive while a fault keeps the process from being restarted.
	down int
	// frozen is positive while the process is stopped by SIGSTOP.
	frozen int
}

// nextBlock separates the ports of the clusters of one test process.
var nextBlock atomic.Uint32

// freePorts returns the first of n ports below the range for outgoing connections. It checks by
// dialing, since a listener could be inherited by a process that starts at the same moment.
func freePorts(n int) int {
	const first, last = 12_000, 32_000
	for {
		at := first + (os.Getpid()*400+int(nextBlock.Add(1))*(n+1))%(last-first-n)
		free := true
		for port := at; port < at+n && free; port++ {
			conn, err := net.Dial("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if err == nil {
				_ = conn.Close()
				free = false
			}
		}
		if free {
			return at
		}
	}
}

// newCluster starts an emulator with the given description and prepares hosts, which are not
// started yet.
func newCluster(t testing.TB, description string, seed uint64, hosts int) *cluster {
	dir, err := os.MkdirTemp(logDirectory(), fmt.Sprintf("egretdrum-soak-%d-", seed))
	qt.Assert(t, err, qt.IsNil)
	c := &cluster{t: t, dir: dir, started: time.Now(), faults: make(map[string]int), failures: make(map[string]int), tokens: make(map[usedToken]string)}
	t.Cleanup(c.close)
	file := filepath.Join(dir, "emulation.ini")
	first := freePorts(portsPerHost * (hosts + observerOffset))
	description = fmt.Sprintf("[emulation]\nseed = %d\ncontrol-port = 0\ningress-port = 0\nfirst-host-port = %d\n", seed, first) + description
	qt.Assert(t, os.WriteFile(file, []byte(description), 0o600), qt.IsNil)
	callers := make(map[string]netip.AddrPort)
	c.emulator, err = startProcess(filepath.Join(dir, "emulator.log"), nil, func(line string) bool {
		return c.readLine(line, callers)
	}, binary, "emulate", file, "--seed", fmt.Sprint(seed), "--hosts", fmt.Sprint(hosts+observerOffset), "--settings-dir", dir)
	qt.Assert(t, err, qt.IsNil)
	c.processes++
	for n := 1; n <= hosts; n++ {
		name := fmt.Sprintf("entry-%d", n)
		h := &host{c: c, name: name, logPath: filepath.Join(dir, name+".log"), callers: callers[name], binary: binary}
		qt.Assert(t, h.prepare(filepath.Join(dir, name+".conf")), qt.IsNil)
		c.hosts = append(c.hosts, h)
	}
	observed, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("entry-%d.conf", hosts+observerOffset)))
	qt.Assert(t, err, qt.IsNil)
	c.store = settingOf(string(observed), "platform.address")
	return c
}

// readLine reads a line of the emulator's output and reports whether it is ready.
func (c *cluster) readLine(line string, callers map[string]netip.AddrPort) bool {
	words := strings.Fields(line)
	switch {
	case len(words) == 2 && words[0] == "control":
		c.control = newControl(words[1])
	case len(words) == 2 && words[0] == "ingress":
		c.ingress = words[1]
	case len(words) >= 4 && words[0] == "host":
		if a, err := netip.ParseAddrPort(words[3]); err == nil {
			callers[words[1]] = a
		}
	}
	return line == "ready"
}

func settingOf(content, key string) string {
	match := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(key) + `=(.*)$`).FindStringSubmatch(content)
	if match == nil {
		return ""
	}
	return strings.TrimSpace(match[1])
}

// prepare makes the links of a host and changes its settings so that it uses them.
func (h *host) prepare(settings string) error {
	b, err := os.ReadFile(settings)
	if err != nil {
		return err
	}
	content := string(b)
	store, err := netip.ParseAddrPort(settingOf(content, "platform.address"))
	if err != nil {
		return err
	}
	var first uint16
	if _, err := fmt.Sscanf(settingOf(content, "portRange"), "%d,", &first); err != nil {
		return err
	}
	if h.view, err = newView(h.name, store, netip.AddrPortFrom(h.callers.Addr(), first+1)); err != nil {
		return err
	}
	h.view.sent = h.noteTokens
	if h.store, err = newLink(h.name+" to store", h.view.address(), nil); err != nil {
		return err
	}
	content = strings.Replace(content, "platform.address="+store.String(), "platform.address="+h.store.address().String(), 1)
	if machines, err := netip.ParseAddrPort(settingOf(content, "cloud.address")); err == nil {
		if h.machines, err = newLink(h.name+" to machines", machines, nil); err != nil {
			return err
		}
		content = strings.Replace(content, "cloud.address="+machines.String(), "cloud.address="+h.machines.address().String(), 1)
	}
	// The last value of a key counts.
	content += fmt.Sprintf("\nbounds.graceS=%d\nbounds.evacuateMs=%d\nbounds.configApplyMs=%d\n", int(grace.Seconds()), evacuateWithin.Milliseconds(), configWithin.Milliseconds())
	h.settings = strings.TrimSuffix(settings, ".conf") + ".linked.conf"
	return os.WriteFile(h.settings, []byte(content), 0o600)
}

// tokenText matches the fencing token of an order or a poll.
var tokenText = regexp.MustCompile(`"fencingToken":(\d+)`)

// noteTokens checks that no other host has used the fencing tokens of what this host sends to a
// worker.
func (h *host) noteTokens(worker netip.AddrPort, b []byte) {
	for _, match := range tokenText.FindAllSubmatch(b, -1) {
		used := usedToken{worker, string(match[1])}
		h.c.mu.Lock()
		other := h.c.tokens[used]
		h.c.tokens[used] = h.name
		h.c.mu.Unlock()
		if other != "" && other != h.name {
			h.c.fail("shared-token", "%s and %s both use fencing token %s at %s", other, h.name, used.token, worker)
		}
	}
}

// start starts the process of a host, unless it runs or the test is over.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping || h.down > 0 || h.process != nil && h.process.running() {
		return
	}
	p, err := startProcess(h.logPath, []string{"EGRETDRUM_SETTINGS=" + h.settings}, nil, h.binary, "platform-host")
	if err != nil {
		h.c.fail("start", "%s: %v", h.name, err)
		return
	}
	h.process = p
	h.c.mu.Lock()
	h.c.processes++
	h.c.mu.Unlock()
	go h.watch(p)
}

// watch reports a process that ended by itself, and restarts it as the platform does.
func (h *host) watch(p *process) {
	<-p.ended
	if p.wasEnded() {
		return
	}
	h.c.fail("own-end", "%s ended by itself: %v; see %s", h.name, p.err, h.logPath)
	if sleep(context.Background(), time.Second) {
		h.start()
	}
}

func (h *host) current() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// disturb notes that the host is disturbed until the returned function is called.
func (h *host) disturb() func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.disturbed)
	h.disturbed = append(h.disturbed, span{from: time.Now()})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.disturbed[n].to = time.Now()
	}
}

// calm reports whether neither the host nor what it needs was disturbed in a time span.
func (h *host) calm(from, to time.Time) bool {
	h.c.mu.Lock()
	all := h.c.disturbed
	h.c.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range append(append([]span(nil), all...), h.disturbed...) {
		if s.overlaps(from, to) {
			return false
		}
	}
	return true
}

// disturbAll notes that something that all hosts need is disturbed.
func (c *cluster) disturbAll() func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.disturbed)
	c.disturbed = append(c.disturbed, span{from: time.Now()})
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.disturbed[n].to = time.Now()
	}
}

// note adds a line to the timeline.
func (c *cluster) note(format string, args ...any) {
	line := fmt.Sprintf("%s +%7.3f ", time.Now().UTC().Format("15:04:05.000"), time.Since(c.started).Seconds()) + fmt.Sprintf(format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeline = append(c.timeline, line)
}

// fail notes a broken promise.
func (c *cluster) fail(promise, format string, args ...any) {
	c.mu.Lock()
	c.failures[promise]++
	n := c.failures[promise]
	c.mu.Unlock()
	if n > maxReported {
		return
	}
	text := promise + ": " + fmt.Sprintf(format, args...)
	c.note("BROKEN %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, text)
}

// ownerHost returns the current owner, nil if there is none or the store does not say.
func (c *cluster) ownerHost() *host {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + c.store + "/-/kv-key?key=" + url.QueryEscape(storekeys.Owner))
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var item struct {
		Value    []byte `json:"value"`
		Revision int64  `json:"revision"`
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil || json.Unmarshal(b, &item) != nil {
		return nil
	}
	name, err := election.Holder(kv.Item{Value: item.Value, Revision: item.Revision})
	if err != nil {
		return nil
	}
	for _, h := range c.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// waitReady waits until all hosts are ready and there is an owner.
func (c *cluster) waitReady(d time.Duration) bool {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); sleep(context.Background(), 100*time.Millisecond) {
		e, err := c.control.state()
		if err != nil {
			continue
		}
		ready := 0
		for _, h := range e.Hosts {
			if h.Ready {
				ready++
			}
		}
		if ready >= len(c.hosts) && c.ownerHost() != nil {
			return true
		}
	}
	return false
}

// close ends all processes and links. The logs stay if a promise was broken.
func (c *cluster) close() {
	for _, h := range c.hosts {
		h.mu.Lock()
		h.stopping = true
		p := h.process
		h.mu.Unlock()
		if p != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
		h.store.close()
		if h.machines != nil {
			h.machines.close()
		}
		h.view.close()
	}
	if c.emulator != nil {
		c.emulator.kill()
	}
	c.mu.Lock()
	lines := strings.Join(c.timeline, "\n")
	c.mu.Unlock()
	if !c.t.Failed() && !*keepLogs {
		_ = os.RemoveAll(c.dir)
		return
	}
	c.save("timeline.txt", lines+"\n")
	c.t.Logf("logs of all processes and the timeline are kept in %s", c.dir)
}

// save writes a file beside the logs.
func (c *cluster) save(name, content string) {
	if err := os.WriteFile(filepath.Join(c.dir, name), []byte(content), 0o600); err != nil {
		c.t.Logf("%s: %v", name, err)
	}
}
