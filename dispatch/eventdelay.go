package dispatch

import (
	"time"

	"go.uber.org/zap"
)

const (
	// lagThreshold is the event delay at which the owner is logged as lagging, and
	// lagCleared the one at which it is logged as having caught up.
	lagThreshold = 300 * time.Millisecond
	lagCleared   = 60 * time.Millisecond
)

// eventDelay tracks how late the loop applies events. It decays with the time that passes
// instead of dropping to zero, so that a pause between two late events does not hide them.
type eventDelay struct {
	current time.Duration
	updated time.Time
	// lagLogged is set after the owner was logged as lagging, until it has caught up.
	lagLogged bool
}

// observe records the age of an event that is being applied.
func (d *eventDelay) observe(age time.Duration, now time.Time) {
	d.decay(now)
	d.current = max(d.current, age)
}

func (d *eventDelay) decay(now time.Time) {
	d.current = max(0, d.current-now.Sub(d.updated))
	d.updated = now
}

// updateEventDelay passes the event delay to the scheduler, and logs when the owner starts or
// stops lagging.
func (o *Owner) updateEventDelay(now time.Time) {
	d := &o.eventDelay
	d.decay(now)
	o.core.SetEventDelay(d.current, now)
	if lagging := d.current >= lagThreshold; lagging != d.lagLogged && (lagging || d.current <= lagCleared) {
		d.lagLogged = lagging
		// Both changes are logged as owner-behind; the key behind tells them apart.
		sum := o.core.Summary()
		o.Log.Warn("owner-behind", zap.Bool("behind", lagging), zap.Duration("delay", d.current), zap.Int("events", len(o.events)), zap.Int("workers", sum.Workers), zap.Int("running", sum.Running), zap.Int("waiting", sum.Waiting))
	}
}
