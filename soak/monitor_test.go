package soak

import (
	"context"
	"slices"
	"time"
)

const (
	monitorInterval = 250 * time.Millisecond
	// noOwnerWithin is the longest time without an owner while nothing is disturbed.
	noOwnerWithin = 4 * time.Second
)

// timeBound are the checks of the emulator that only count for undisturbed hosts. The emulator
// does not know of signals and links, so they count once the trouble is over.
var timeBound = []string{"start-after-cancel", "run-after-cancel"}

// monitor watches a cluster while it runs.
type monitor struct {
	c     *cluster
	zones map[string]string
	// calmFrom returns the end of the trouble, zero while it lasts.
	calmFrom func() time.Time
	seen     int
	// heldUp is the longest time by which this process itself was late.
	heldUp  time.Duration
	memory  int
	owners  int
	owner   string
	ownerAt time.Time
	done    chan struct{}
}

func (m *monitor) run(ctx context.Context) {
	defer close(m.done)
	for {
		before := time.Now()
		if !sleep(ctx, monitorInterval) {
			return
		}
		m.heldUp = max(m.heldUp, time.Since(before)-monitorInterval)
		m.look()
	}
}

func (m *monitor) look() {
	if e, err := m.c.control.state(); err == nil {
		for _, w := range e.Workers {
			m.zones[w.ID] = w.Zone
		}
	}
	m.readViolations()
	m.watchOwner()
	memory := 0
	for _, h := range m.c.hosts {
		p := h.current()
		if p != nil && p.running() {
			memory += p.residentMB()
		}
	}
	m.memory = max(m.memory, memory)
}

func (m *monitor) readViolations() {
	found, err := m.c.control.violations()
	if err != nil {
		m.c.note("the emulator does not answer: %v", err)
		return
	}
	for _, v := range found[min(m.seen, len(found)):] {
		if calm := m.calmFrom(); slices.Contains(timeBound, v.Check) && (calm.IsZero() || time.Since(calm) < contact+2*cancelWithin) {
			m.c.note("not counted, as hosts are disturbed: %s %s %s on %s: %s", v.Check, v.Job, v.Task, v.Worker, v.Detail)
			continue
		}
		m.c.fail(v.Check, "seen by the emulator: job %s task %s worker %s: %s", v.Job, v.Task, v.Worker, v.Detail)
	}
	m.seen = max(m.seen, len(found))
}

func (m *monitor) watchOwner() {
	name := ""
	if h := m.c.ownerHost(); h != nil {
		name = h.name
	}
	now := time.Now()
	if name != "" {
		m.ownerAt = now
	}
	if name != m.owner {
		m.c.note("the owner is %q, it was %q", name, m.owner)
		m.owner = name
		m.owners++
	}
	calm := m.calmFrom()
	if from := m.ownerAt; !calm.IsZero() && now.Sub(calm) > contact+noOwnerWithin && now.Sub(from) > noOwnerWithin {
		m.c.fail("no-owner", "there has been no owner for %v", now.Sub(from).Round(time.Millisecond))
		m.ownerAt = now
	}
}
