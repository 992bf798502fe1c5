package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// entryHosts is the number of entry hosts of a case, portsPerHost how many ports each has.
	entryHosts   = 3
	portsPerHost = 8
	// firstPort and lastPort bound the ports that are tried for the entry hosts.
	firstPort    = 21000
	lastPort     = 31000
	startTimeout = 20 * time.Second
	stopTimeout  = 8 * time.Second
	callTimeout  = 10 * time.Second
)

// system is an emulated platform with entry hosts, each a process of its own.
type system struct {
	dir     string
	record  *record
	control string
	ingress string
	// emulated is the process of the platform.
	emulated *exec.Cmd
	hosts    []*entryHost
	// added has the workers of the machines that a case has added, by machine.
	added map[string]string
}

// entryHost is one entry host.
type entryHost struct {
	name, settings, logFile string
	process                 *exec.Cmd
	ended                   chan struct{}
}

// startSystem starts a platform with the settings of a case, and entry hosts by the command of the deploy
// file. binary is the program of the deploy file, standIn that of the emulated platform.
func startSystem(ctx context.Context, binary, standIn string, book playbook, rec *record) (*system, error) {
	dir, err := os.MkdirTemp("", "review-4-")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, record: rec, added: make(map[string]string)}
	port, err := freePorts()
	if err != nil {
		return s, err
	}
	file := filepath.Join(dir, "platform.ini")
	head := fmt.Sprintf("[emulation]\nseed = 1\ncontrol-port = 0\ningress-port = 0\nfirst-host-port = %d\n\n", port)
	if err := os.WriteFile(file, []byte(head+book.settings), 0o600); err != nil {
		return s, err
	}
	if err := s.startPlatform(ctx, standIn, file); err != nil {
		return s, err
	}
	for i := range entryHosts {
		name := "entry-" + strconv.Itoa(i+1)
		h := &entryHost{name: name, settings: filepath.Join(dir, name+".conf"), logFile: filepath.Join(dir, name+".log")}
		s.hosts = append(s.hosts, h)
		if err := h.limitMemory(book.memoryMb); err != nil {
			return s, err
		}
		if err := h.start(binary); err != nil {
			return s, err
		}
		rec.note("started %s", name)
	}
	return s, s.waitServing(ctx)
}

// freePorts returns the first of as many free ports in a row as the entry hosts need.
func freePorts() (int, error) {
	for first := firstPort + os.Getpid()%400*entryHosts*portsPerHost; first < lastPort; first += entryHosts * portsPerHost {
		if portsAreFree(first, entryHosts*portsPerHost) {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func portsAreFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// startPlatform starts the emulated platform and reads its addresses.
func (s *system) startPlatform(ctx context.Context, standIn, file string) error {
	s.emulated = exec.CommandContext(ctx, standIn, "emulate", file, "--hosts", strconv.Itoa(entryHosts), "--settings-dir", s.dir)
	log, err := os.Create(filepath.Join(s.dir, "platform.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	s.emulated.Stderr = log
	out, err := s.emulated.StdoutPipe()
	if err != nil {
		return err
	}
	if err := s.emulated.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		switch {
		case len(fields) == 2 && fields[0] == "control":
			s.control = fields[1]
		case len(fields) == 2 && fields[0] == "ingress":
			s.ingress = fields[1]
		case lines.Text() == "ready":
			s.record.note("started the emulated platform")
			return nil
		}
	}
	return errors.New("the emulated platform did not start")
}

// limitMemory sets the memory of the host's machine in its settings file; zero leaves it as it is.
func (h *entryHost) limitMemory(mb int) error {
	if mb == 0 {
		return nil
	}
	b, err := os.ReadFile(h.settings)
	if err != nil {
		return err
	}
	lines := strings.Split(string(b), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "limits.memoryMb=") {
			lines[i] = "limits.memoryMb=" + strconv.Itoa(mb)
		}
	}
	return os.WriteFile(h.settings, []byte(strings.Join(lines, "\n")), 0o600)
}

// start starts the process of an entry host.
func (h *entryHost) start(binary string) error {
	log, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.process = exec.Command(binary, "platform-host")
	h.process.Env = []string{"EGRETDRUM_SETTINGS=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.process.Stdout, h.process.Stderr = log, log
	if err := h.process.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) { _ = p.Wait(); close(ended) }(h.process, h.ended)
	return nil
}

// signal sends a signal to the process of an entry host.
func (h *entryHost) signal(sig syscall.Signal) { _ = h.process.Process.Signal(sig) }

// owner returns the entry host that took the ownership last, by the logs of the hosts.
func (s *system) owner() *entryHost {
	var newest *entryHost
	last := ""
	for _, h := range s.hosts {
		b, err := os.ReadFile(h.logFile)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(b), "\n") {
			if strings.Contains(line, "ownership-taken") && line > last {
				last, newest = line, h
			}
		}
	}
	return newest
}

// waitServing waits until the platform's ingress passes calls on and the workers are known.
func (s *system) waitServing(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if s.owner() != nil && s.ready() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the system does not serve")
}

// ready reports whether all entry hosts say that they are ready.
func (s *system) ready() bool {
	for _, h := range s.hosts {
		b, err := os.ReadFile(h.settings)
		if err != nil {
			return false
		}
		_, rest, _ := strings.Cut(string(b), "listen.ready=")
		address, _, _ := strings.Cut(rest, "\n")
		client := http.Client{Timeout: time.Second}
		resp, err := client.Get("http://" + address + "/-/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// command calls the control address of the platform.
func (s *system) command(method, path string, body, answer any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if body == nil {
		b = nil
	}
	req, err := http.NewRequest(method, "http://"+s.control+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	client := http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err = io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, path, b)
	}
	if method != http.MethodGet {
		s.record.note("platform: %s %s %v", method, path, body)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(b, answer)
}

// stop ends all processes.
func (s *system) stop() {
	for _, h := range s.hosts {
		if h.process != nil && h.process.Process != nil {
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGKILL)
			select {
			case <-h.ended:
			case <-time.After(stopTimeout):
			}
		}
	}
	if s.emulated != nil && s.emulated.Process != nil {
		_ = s.emulated.Process.Kill()
		_ = s.emulated.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}
