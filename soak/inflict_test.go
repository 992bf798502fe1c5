package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// contact is how long something has to be undisturbed before promises with a time count.
	contact = 3 * time.Second
	// revokeWithin is when a withdrawn key has to be refused by every host, in touch or not.
	revokeWithin = 5 * time.Second
	// startTime is how old a process is that certainly handles signals.
	startTime = time.Second
	// drainTime is how long a leaving worker goes on.
	drainTime = 4 * time.Second
)

// inflictor carries out the faults of a schedule.
type inflictor struct {
	c       *cluster
	callers *callers
	wait    sync.WaitGroup

	mu    sync.Mutex
	waves []int64
	// queues is the number of queues that were added by changes of the configuration.
	queues int
	// evacuations are the spans in which nothing may start in a zone; evacuating counts the faults
	// that evacuate a zone now.
	evacuations []evacuated
	evacuating  map[string]int
}

type evacuated struct {
	zone string
	span span
}

// run inflicts faults until all have ended.
func (i *inflictor) run(ctx context.Context, faults []*fault) {
	start := time.Now()
	for _, f := range faults {
		if !sleep(ctx, time.Until(start.Add(f.at))) {
			break
		}
		i.wait.Add(1)
		go func() { defer i.wait.Done(); i.inflict(f) }()
	}
	i.wait.Wait()
}

func (i *inflictor) inflict(f *fault) {
	i.c.mu.Lock()
	i.c.faults[f.kind]++
	i.c.mu.Unlock()
	h := i.c.target(f)
	name := ""
	if h != nil {
		name = h.name
	} else if f.host == ownerTarget {
		i.c.note("%s: there is no owner", f.kind)
		return
	}
	i.c.note("begin %s %s %s for %v delay %v share %.1f", f.kind, name, f.mode, f.length, f.delay, f.share)
	var err error
	switch f.kind {
	case "term", "kill", "freeze", "kill-all", "reload":
		i.process(f, h)
	case "store-link", "machines-link", "worker-links", "one-worker-link", "owner-links":
		i.link(f, h)
	case "store-calls", "worker-calls", "machine-calls", "registrations":
		err = i.calls(f, name)
	case "worker-restart", "worker-replace", "worker-drain", "worker-capacity":
		err = i.worker(f)
	case "burst":
		i.callers.burst(f.length)
	default:
		err = i.operate(f)
	}
	if err != nil {
		i.c.note("%s failed: %v", f.kind, err)
	}
	i.c.note("end %s %s %s", f.kind, name, f.mode)
}

// target returns the host that a fault is for, nil for all.
func (c *cluster) target(f *fault) *host {
	switch f.host {
	case allTargets:
		return nil
	case ownerTarget:
		return c.ownerHost()
	}
	return c.hosts[f.host]
}

func (i *inflictor) process(f *fault, h *host) {
	switch f.kind {
	case "term":
		h.stop()
		sleep(context.Background(), f.length/4)
		h.start()
	case "kill":
		h.crash(f.length)
	case "kill-all":
		var all sync.WaitGroup
		for _, h := range i.c.hosts {
			all.Go(func() { h.crash(f.length) })
		}
		all.Wait()
	case "freeze":
		h.freeze(f.length)
	case "reload":
		h.reload(int(f.pick % 64))
	}
}

// stop stops a host as planned. It has to end by itself, within the time that it is given.
func (h *host) stop() {
	h.mu.Lock()
	h.down++
	p := h.process
	frozen := h.frozen > 0
	h.mu.Unlock()
	defer func() { h.mu.Lock(); h.down--; h.mu.Unlock() }()
	if p == nil || !p.running() {
		return
	}
	asked := time.Now()
	p.signal(syscall.SIGTERM)
	if p.waitFor(grace) {
		if p.err != nil && !p.wasKilled() && asked.Sub(p.started) > startTime {
			h.c.fail("planned-stop", "%s: %v", h.name, p.err)
		}
		return
	}
	if !frozen && h.calm(asked, time.Now()) {
		h.c.fail("planned-stop", "%s still runs %v after SIGTERM", h.name, grace)
	}
	done := h.disturb()
	defer done()
	p.kill()
}

// crash kills a host and starts it again after d.
func (h *host) crash(d time.Duration) {
	done := h.disturb()
	h.mu.Lock()
	h.down++
	p := h.process
	h.mu.Unlock()
	if p != nil {
		p.kill()
	}
	sleep(context.Background(), d)
	h.mu.Lock()
	h.down--
	h.mu.Unlock()
	h.start()
	done()
}

func (h *host) freeze(d time.Duration) {
	done := h.disturb()
	defer done()
	h.mu.Lock()
	h.frozen++
	p := h.process
	h.mu.Unlock()
	if p != nil && p.running() {
		p.signal(syscall.SIGSTOP)
	}
	sleep(context.Background(), d)
	h.mu.Lock()
	h.frozen--
	thawed := h.frozen == 0
	h.mu.Unlock()
	if thawed && p != nil && p.running() {
		p.signal(syscall.SIGCONT)
	}
}

// reload changes the settings of a host and signals it.
func (h *host) reload(n int) {
	b, err := os.ReadFile(h.settings)
	if err != nil {
		h.c.fail("reload", "%v", err)
		return
	}
	content := strings.ReplaceAll(string(b), "limits.memoryMb="+settingOf(string(b), "limits.memoryMb"), fmt.Sprintf("limits.memoryMb=%d", 256+n))
	if err := os.WriteFile(h.settings, []byte(content), 0o600); err != nil {
		h.c.fail("reload", "%v", err)
		return
	}
	if p := h.current(); p != nil && time.Since(p.started) > startTime && p.running() {
		p.signal(syscall.SIGHUP)
	}
}

// newLinkFault returns the fault of a mode.
func newLinkFault(f *fault) *linkFault {
	switch f.mode {
	case "cut":
		return &linkFault{held: [directions]bool{true, true}}
	case "cut-up":
		return &linkFault{held: [directions]bool{towardsTarget: true}}
	case "cut-down":
		return &linkFault{held: [directions]bool{towardsSource: true}}
	case "delay":
		return &linkFault{delay: f.delay}
	case "refuse":
		return &linkFault{refuse: true, reset: true}
	case "reset":
		return &linkFault{reset: true}
	}
	return &linkFault{silence: true}
}

func (i *inflictor) link(f *fault, h *host) {
	done := h.disturb()
	defer done()
	fault := newLinkFault(f)
	switch f.kind {
	case "store-link":
		h.store.add(fault)
		defer h.store.remove(fault)
	case "machines-link":
		if h.machines != nil {
			h.machines.add(fault)
			defer h.machines.remove(fault)
		}
	case "worker-links":
		defer h.view.add(fault, func(a netip.AddrPort) bool { return !i.c.isHost(a) })()
	case "one-worker-link":
		defer h.view.add(fault, func(a netip.AddrPort) bool { return !i.c.isHost(a) && uint64(a.Port())%4 == f.pick%4 })()
	case "owner-links":
		defer h.view.add(fault, i.c.isHost)()
	}
	sleep(context.Background(), f.length)
}

// isHost reports whether an address is one at which a host accepts links of others.
func (c *cluster) isHost(a netip.AddrPort) bool {
	for _, h := range c.hosts {
		if h.view.self[a] {
			return true
		}
	}
	return false
}

// calls disturbs a service in the emulator, for one host or all.
func (i *inflictor) calls(f *fault, host string) error {
	body := struct {
		Target string  `json:"target"`
		Name   string  `json:"name,omitempty"`
		Host   string  `json:"host,omitempty"`
		Kind   string  `json:"kind"`
		Delay  string  `json:"delay"`
		Share  float64 `json:"share"`
		For    string  `json:"for"`
	}{Host: host, Kind: f.mode, Delay: f.delay.String(), Share: f.share, For: f.length.String()}
	switch f.kind {
	case "store-calls":
		body.Target = "store"
	case "machine-calls":
		body.Target = "machines"
	case "worker-calls", "registrations":
		body.Target = "workers"
		if f.kind == "registrations" {
			body.Target, body.Kind = "registrations", "silent"
		}
		if body.Name = "*"; f.kind == "registrations" || f.pick%3 > 0 {
			w, err := i.c.pickWorker(f.pick)
			if err != nil {
				return err
			}
			body.Name = w.ID
		}
	}
	done := i.c.disturbAll()
	defer done()
	if err := i.c.control.call(http.MethodPost, "/faults", body, nil); err != nil {
		return err
	}
	sleep(context.Background(), f.length)
	return nil
}

// pickWorker returns a worker that is up.
func (c *cluster) pickWorker(pick uint64) (*emulatedWorker, error) {
	e, err := c.control.state()
	if err != nil {
		return nil, err
	}
	var up []*emulatedWorker
	for n := range e.Workers {
		if e.Workers[n].State == "ready" {
			up = append(up, &e.Workers[n])
		}
	}
	if len(up) == 0 {
		return nil, fmt.Errorf("no worker is ready")
	}
	return up[pick%uint64(len(up))], nil
}
