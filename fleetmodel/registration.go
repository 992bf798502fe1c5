package fleetmodel

import (
	"reflect"
	"time"

	"egretdrum.example/worker"
)

// silentBeats is the number of heartbeats after which the registration of a silent worker is removed.
const silentBeats = 3

// registration is what the store has about a worker.
type registration struct {
	registered *worker.Entry
	// lastBeat is when the worker last wrote, nextBeat when it writes again.
	lastBeat, nextBeat time.Time
	// cut is set while the worker does not reach the store.
	cut bool
}

// Registration is a change of a registration in the store.
type Registration struct {
	ID string
	// Entry is nil if the registration is removed.
	Entry *worker.Entry
}

// Registrations returns the changes since the last call.
func (f *Fleet) Registrations() []Registration {
	changed := f.changed
	f.changed = nil
	return changed
}

// CutRegistration lets a worker no longer reach the store, or reach it again.
func (f *Fleet) CutRegistration(machineID string, cut bool) {
	if m := f.byID[machineID]; m != nil {
		m.cut = cut
	}
}

// register writes the registration of a worker, if it reaches the store.
func (f *Fleet) register(now time.Time, m *machine) {
	m.nextBeat = now.Add(f.settings.Workers.Heartbeat)
	if m.cut {
		return
	}
	m.lastBeat = now
	e := f.entry(m)
	if m.draining {
		e.Remaining = m.leaveAt.Sub(now)
	}
	if m.registered != nil && m.registered.ID != e.ID {
		f.deregister(m)
	}
	// The remaining time alone is no reason to write again.
	if m.registered != nil {
		known := *m.registered
		known.Remaining = e.Remaining
		if reflect.DeepEqual(known, e) {
			return
		}
	}
	m.registered = &e
	f.changed = append(f.changed, Registration{ID: e.ID, Entry: &e})
}

// deregister removes the registration of the last worker of a machine.
func (f *Fleet) deregister(m *machine) {
	if m.registered != nil {
		f.changed = append(f.changed, Registration{ID: m.registered.ID})
		m.registered = nil
	}
}

// silence notes that a worker no longer writes.
func (*Fleet) silence(m *machine) { m.nextBeat = time.Time{} }

// beat writes the registration of a running worker, and removes that of a silent one.
func (f *Fleet) beat(now time.Time, m *machine) {
	if m.model != nil && !now.Before(m.nextBeat) {
		f.register(now, m)
	}
	if m.registered != nil && now.After(m.lastBeat.Add(silentBeats*f.settings.Workers.Heartbeat)) {
		f.deregister(m)
	}
}
