package dispatch

import (
	"time"

	"go.uber.org/zap"

	"egretdrum.example/scheduler"
)

// evacuationMargin is the part of EvacuateWithin that is left for starts in flight.
const evacuationMargin = time.Second

// zonesKnown reports whether this host knows which availability zones are under evacuation, and
// how old that knowledge is. Without a sound path to the store it does not learn of evacuations,
// so it must stop starting tasks before a missed one has to be obeyed.
func (o *Owner) zonesKnown() (known bool, age time.Duration) {
	within := o.EvacuateWithin()
	_, age = o.Config.Evacuated()
	return within <= 0 || age <= max(within/2, within-evacuationMargin), age
}

// checkZones tells the scheduler whether the evacuated zones are known.
func (o *Owner) checkZones() {
	known, age := o.zonesKnown()
	o.core.SetZonesKnown(known)
	if known == o.zonesUnknown {
		o.zonesUnknown = !known
		o.Log.Info("zones-known", zap.Bool("known", known), zap.Duration("age", age))
	}
}

// mayStart reports whether the zone of a start is not under evacuation as far as this host knows
// now; the scheduler may have decided on the start earlier.
func (o *Owner) mayStart(a scheduler.Start) bool {
	zones, _ := o.Config.Evacuated()
	if revision, evacuated := zones[a.Worker.Zone]; evacuated {
		o.Log.Info("start-withdrawn", zap.String("request", a.Task.Job), zap.Stringer("task", a.Task), zap.String("availability-zone", a.Worker.Zone), zap.Int64("evacuation-revision", revision))
		return false
	}
	known, _ := o.zonesKnown()
	return known
}
