package soak

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binary is the program of this source, built once for all tests of this package.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(func() int {
		if binary = *binaryFlag; binary != "" {
			return m.Run()
		}
		dir, err := os.MkdirTemp("", "egretdrum-soak-build")
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

// process is a process that this test started. It is only ever signalled by its own handle.
type process struct {
	cmd     *exec.Cmd
	log     *os.File
	started time.Time
	ended   chan struct{}
	// err is what the process ended with; it is set before ended is closed.
	err error

	mu sync.Mutex
	// expected is set once the test ended the process, which is not a failure then.
	expected, killed bool
}

// startProcess starts a program with its output appended to a log file. If lines is set, it gets
// each line of the standard output and returns true when the process is ready.
func startProcess(logPath string, env []string, lines func(string) bool, name string, args ...string) (*process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command(name, args...), log: log, started: time.Now(), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The processes end with the test, even if it is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var out io.ReadCloser
	if lines != nil {
		p.cmd.Stdout = nil
		if out, err = p.cmd.StdoutPipe(); err != nil {
			return nil, err
		}
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	ready := make(chan bool, 1)
	read := make(chan struct{})
	go func() {
		defer close(read)
		if lines == nil {
			return
		}
		s := bufio.NewScanner(out)
		for s.Scan() {
			if lines(s.Text()) {
				ready <- true
			}
		}
		ready <- false
	}()
	go func() {
		<-read
		p.err = p.cmd.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	if lines == nil {
		return p, nil
	}
	if !<-ready {
		<-p.ended
		return nil, fmt.Errorf("%s %v ended before it was ready: %v; its output is in %s", name, args, p.err, logPath)
	}
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	p.expected = p.expected || s == syscall.SIGTERM || s == syscall.SIGKILL || s == syscall.SIGQUIT
	p.killed = p.killed || s == syscall.SIGKILL
	p.mu.Unlock()
	// The process may just have ended.
	_ = p.cmd.Process.Signal(s)
}

func (p *process) wasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.expected
}

func (p *process) wasKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// waitFor reports whether the process ended within d.
func (p *process) waitFor(d time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(d):
		return false
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// descriptors returns the number of open descriptors, 0 if the process has ended.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// residentMB returns the resident memory in MB.
func (p *process) residentMB() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}

// dumpGoroutines ends the process with SIGQUIT and returns how many goroutines the runtime
// listed.
func (p *process) dumpGoroutines(logPath string) int {
	before := fileSize(logPath)
	p.signal(syscall.SIGQUIT)
	if !p.waitFor(5 * time.Second) {
		p.kill()
	}
	b, err := os.ReadFile(logPath)
	if err != nil || int64(len(b)) < before {
		return 0
	}
	return strings.Count(string(b[before:]), "\ngoroutine ")
}

func fileSize(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.Size()
}
