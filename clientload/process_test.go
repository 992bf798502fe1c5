// Package clientload plays crowds of clients that nobody controls against an entry host that runs
// as a process with little memory, and checks that the host stays alive, within its memory and
// its descriptors, and answers ordinary callers. It has test code only, as no other code may
// start processes.
package clientload

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// binary is the program of this source, built once for all tests of this package.
var binary string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "egretdrum-clientload-build")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(dir)
		binary = filepath.Join(dir, "egretdrum")
		if out, err := exec.Command("go", "build", "-o", binary, "egretdrum.example/cmd/egretdrum").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

const (
	// memoryMB and descriptors are the limits of the host: half of the memory of the smallest
	// machines, so that a small crowd suffices.
	memoryMB    = 96
	descriptors = 1000
	// description is the deployment that the emulator plays.
	description = `[emulation]
seed = 1
control-port = 0
ingress-port = 0
first-host-port = %d
[pool.rounds]
workers = 2
[queue.rounds]
host = rounds.example
prefix = /rounds/
pool = rounds
[account.arbiters]
keys = arbiters-0
`
	queueHost = "rounds.example"
	key       = "arbiters-0"
	// portsPerHost is the number of ports that the emulator sets aside for a host.
	portsPerHost = 8
	// patience bounds all waits of this package for something that has to happen.
	patience = 20 * time.Second
)

// process is a process that this test started. It is only ever signalled by its own handle.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts the program with its output in a log file. If lines is set, it gets each line of
// the standard output and returns true when the process is ready.
func start(t *testing.T, logPath string, env []string, lines func(string) bool, args ...string) *process {
	log, err := os.Create(logPath)
	qt.Assert(t, err, qt.IsNil)
	p := &process{cmd: exec.Command(binary, args...), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The process ends with the test, even if it is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ready := make(chan bool, 1)
	read := make(chan struct{})
	if lines == nil {
		ready <- true
		close(read)
	} else {
		p.cmd.Stdout = nil
		out, err := p.cmd.StdoutPipe()
		qt.Assert(t, err, qt.IsNil)
		go func() {
			defer close(read)
			for s := bufio.NewScanner(out); s.Scan(); {
				if lines(s.Text()) {
					ready <- true
				}
			}
			close(ready)
		}()
	}
	qt.Assert(t, p.cmd.Start(), qt.IsNil)
	go func() {
		<-read
		// The state of the process says how it has ended.
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			b, _ := os.ReadFile(logPath)
			t.Logf("end of %s:\n%s", filepath.Base(logPath), b[max(0, len(b)-4096):])
		}
	})
	qt.Assert(t, <-ready, qt.IsTrue, qt.Commentf("%v has ended before it was ready", args))
	return p
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// peakMB returns the peak of the resident memory in MiB.
func (p *process) peakMB(t *testing.T) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(b)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	t.Fatalf("no VmHWM in %s", b)
	return 0
}

// openDescriptors returns the number of open descriptors, 0 if the process has ended.
func (p *process) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// platform is the emulated platform of one entry host.
type platform struct {
	dir string
	// settings is the settings file of the host.
	settings string
	// callers, readiness, metrics, links and jobs are the addresses on which the host listens.
	callers, readiness, metrics, links, jobs netip.AddrPort
}

// freePorts returns the first of n ports below the range for outgoing connections.
func freePorts(n int) int {
	const first, last = 12_000, 32_000
	for at := first + os.Getpid()*(n+1)%(last-first-n); ; at = first + (at+n)%(last-first-n) {
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

func newPlatform(t *testing.T) *platform {
	p := &platform{dir: t.TempDir()}
	file := filepath.Join(p.dir, "emulation.ini")
	qt.Assert(t, os.WriteFile(file, fmt.Appendf(nil, description, freePorts(portsPerHost)), 0o600), qt.IsNil)
	start(t, filepath.Join(p.dir, "emulator.log"), nil, func(line string) bool {
		if words := strings.Fields(line); len(words) >= 4 && words[0] == "host" {
			p.callers, _ = netip.ParseAddrPort(words[3])
		}
		return line == "ready"
	}, "emulate", file, "--hosts", "1", "--settings-dir", p.dir)
	qt.Assert(t, p.callers.IsValid(), qt.IsTrue)
	port := func(offset uint16) netip.AddrPort {
		return netip.AddrPortFrom(p.callers.Addr(), p.callers.Port()+offset)
	}
	p.readiness, p.metrics, p.links, p.jobs = port(1), port(2), port(3), port(4)
	p.settings = filepath.Join(p.dir, "entry-1.conf")
	b, err := os.ReadFile(p.settings)
	qt.Assert(t, err, qt.IsNil)
	// The last value of a key counts.
	b = fmt.Appendf(b, "\nlimits.memoryMb=%d\nlimits.maxFds=%d\n", memoryMB, descriptors)
	qt.Assert(t, os.WriteFile(p.settings, b, 0o600), qt.IsNil)
	return p
}

// startHost starts the entry host and waits until it is ready.
func (p *platform) startHost(t *testing.T) *process {
	h := start(t, filepath.Join(p.dir, "host.log"), []string{"EGRETDRUM_SETTINGS=" + p.settings}, nil, "platform-host")
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + p.readiness.String())
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return h
			}
		}
		qt.Assert(t, h.running() && time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the host is not ready: %v", err))
	}
}
