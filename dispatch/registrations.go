package dispatch

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/kv"
)

// setWorker applies a registration. One that can't be decoded names no worker: the worker of that key
// counts as not registered until it writes a valid one.
func (o *Owner) setWorker(item kv.Item, now time.Time) {
	if o.workersSetAside[item.Key] == item.Revision {
		o.removeWorker(item.Key, now)
		return
	}
	// It stays set if the decoder or the scheduler panics on the registration.
	o.applyingWorker = item
	if e, err := o.Calls.DecodeWorker(item); err == nil {
		delete(o.oddEntries, item.Key)
		o.core.SetWorker(e, now)
	} else {
		o.logOddEntry(item, err)
		o.core.RemoveWorker(strings.TrimPrefix(item.Key, o.Calls.WorkerPrefix), now)
	}
	o.applyingWorker = kv.Item{}
}

// logOddEntry logs a registration that can't be decoded, once for each revision: each read of all
// registrations has it again.
func (o *Owner) logOddEntry(item kv.Item, err error) {
	if o.oddEntries[item.Key] != item.Revision {
		o.oddEntries[item.Key] = item.Revision
		o.Log.Info("worker-not-decoded", zap.String("key", item.Key), zap.Int64("revision", item.Revision), zap.Error(err))
	}
}

// removeWorker applies the removal of a registration.
func (o *Owner) removeWorker(key string, now time.Time) {
	delete(o.oddEntries, key)
	o.core.RemoveWorker(strings.TrimPrefix(key, o.Calls.WorkerPrefix), now)
}

const (
	// maxRegistrationsAge is the age of the registrations from which on no task is started on
	// workers that do not enforce their capacity, as it may have shrunk since. A worker reports a
	// shrunk capacity within 1.5 s, and a start above it is a fault 3 s after that; the rest is for
	// starts in flight. Watches without a response, each followed by a read, leave them up to 2 s
	// old.
	maxRegistrationsAge = 2500 * time.Millisecond
	// registrationsReadInterval is the least time between two notes of a watch without events.
	registrationsReadInterval = 200 * time.Millisecond
)

// readTime is the time of a read, and the same on the clock of the term.
type readTime struct {
	at     time.Time
	onTerm time.Duration
}

func (o *Owner) readTime() readTime { return readTime{time.Now(), o.term.Now()} }

// noteRegistrationsRead returns a function that notes, behind the events that it has brought, a read
// of the registrations which was requested at the given time.
func (o *Owner) noteRegistrationsRead() func(requested readTime) {
	var last time.Time
	return func(requested readTime) {
		if requested.at.Sub(last) < registrationsReadInterval {
			return
		}
		last = requested.at
		o.post(func(time.Time) { o.registrationsRead.Store(&requested) })
	}
}

// capacitiesKnown reports whether the registrations are recent enough to start tasks by the
// capacities in them, and how old they are.
func (o *Owner) capacitiesKnown() (known bool, age time.Duration) {
	read := o.registrationsRead.Load()
	if read == nil {
		return false, 0
	}
	// The clock of the term counts suspensions.
	age = max(time.Since(read.at), o.term.Now()-read.onTerm)
	return age <= maxRegistrationsAge, age
}

// checkCapacities tells the scheduler whether the capacities of the workers are known.
func (o *Owner) checkCapacities() {
	known, age := o.capacitiesKnown()
	o.core.SetCapacitiesKnown(known)
	if known == o.capacitiesUnknown {
		o.capacitiesUnknown = !known
		o.Log.Info("capacities-known", zap.Bool("known", known), zap.Duration("age", age))
	}
}

// mayHaveRoom reports whether a start may be sent to a worker of the pool: the capacities of workers
// are known now, or the worker rejects what exceeds its own.
func (o *Owner) mayHaveRoom(pool string) bool {
	if known, _ := o.capacitiesKnown(); known {
		return true
	}
	c, _, _ := o.Config.Current()
	return c != nil && c.EnforcesCapacity(pool)
}
