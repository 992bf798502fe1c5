package emulator

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"egretdrum.example/platform/emulated"
)

// fault is an injected fault.
type fault struct {
	number int
	target string
	// name is the machine whose worker is concerned, host the calling host; empty means all.
	name, host string
	kind       emulated.FaultKind
	delay      time.Duration
	share      float64
	operations []string
	until      time.Time
}

// faultList is the list of faults that are in force.
type faultList struct {
	random *rand.Rand
	last   int
	faults []fault
}

var (
	faultTargets = []string{"store", "workers", "machines", "ingress", registrationsTarget}
	faultKinds   = []emulated.FaultKind{
		emulated.Refused, emulated.Limited, emulated.Silent, emulated.Slow, emulated.AnswerLost, emulated.Late,
	}
)

// registrationsTarget are the heartbeats of workers; they can only be silent.
const registrationsTarget = "registrations"

func (l *faultList) add(f *fault) (int, error) {
	switch {
	case !slices.Contains(faultTargets, f.target):
		return 0, errors.New("unknown target of a fault")
	case f.target != registrationsTarget && !slices.Contains(faultKinds, f.kind):
		return 0, errors.New("unknown kind of a fault")
	case f.share < 0 || f.share > 1:
		return 0, errors.New("share is not between 0 and 1")
	case f.share == 0:
		f.share = 1
	}
	l.last++
	f.number = l.last
	l.faults = append(l.faults, *f)
	return f.number, nil
}

// remove removes a fault, or all of them for zero. It reports whether there was one.
func (l *faultList) remove(number int) bool {
	before := len(l.faults)
	l.faults = slices.DeleteFunc(l.faults, func(f fault) bool { return number == 0 || f.number == number })
	return len(l.faults) < before
}

// expire removes the faults whose time is over, and reports whether there were any.
func (l *faultList) expire(now time.Time) bool {
	before := len(l.faults)
	l.faults = slices.DeleteFunc(l.faults, func(f fault) bool { return !f.until.IsZero() && now.After(f.until) })
	return len(l.faults) < before
}

func (l *faultList) any() bool { return len(l.faults) > 0 }

// choose returns the fault of a call: that of the first entry that concerns it.
func (l *faultList) choose(c emulated.Call) emulated.Fault {
	for i := range l.faults {
		f := &l.faults[i]
		concerned := f.target == c.Target && (f.name == "" || f.name == c.Name) && (f.host == "" || f.host == c.Host) &&
			(len(f.operations) == 0 || slices.Contains(f.operations, c.Operation))
		if concerned && (f.share == 1 || l.random.Float64() < f.share) {
			return emulated.Fault{Kind: f.kind, Delay: f.delay}
		}
	}
	return emulated.Fault{}
}

// cut reports whether the heartbeats of a machine's worker are lost.
func (l *faultList) cut(machine string) bool {
	return slices.ContainsFunc(l.faults, func(f fault) bool {
		return f.target == registrationsTarget && (f.name == "" || f.name == machine)
	})
}

func (e *Emulator) chooseFault(c emulated.Call) emulated.Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.choose(c)
}

// cutRegistrations applies the faults of the heartbeats to the fleet.
func (e *Emulator) cutRegistrations() {
	for _, m := range e.fleet.Machines() {
		e.fleet.CutRegistration(m.ID, e.faults.cut(m.ID))
	}
}
