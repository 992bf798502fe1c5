// Package evacuation holds which availability zones are under evacuation: no task is started on
// their workers until the zones are restored. It does no input or output.
package evacuation

import (
	"maps"
	"slices"
)

// Zones is the set of availability zones under evacuation as one process knows it. Notices may
// arrive late, twice and in any order: each has the revision at which the store made the change,
// and an older one never replaces a newer one. The zero value knows of no evacuation. It is not
// safe for concurrent use.
type Zones struct {
	// notices has the newest notice of each zone; restored zones stay, so that a late notice of
	// their evacuation is recognized as old.
	notices map[string]notice
	// listed is the revision of the newest complete list. Older notices of zones that were not
	// on it tell of evacuations that had ended by then.
	listed int64
}

type notice struct {
	revision  int64
	evacuated bool
}

// Set applies a notice about one zone, and reports whether the zone has changed.
func (z *Zones) Set(zone string, evacuated bool, revision int64) bool {
	if revision <= z.listed && !mutation.ignoreRevision {
		return false
	}
	return z.set(zone, evacuated, revision)
}

func (z *Zones) set(zone string, evacuated bool, revision int64) bool {
	known := z.notices[zone]
	if zone == "" || revision <= known.revision && !mutation.ignoreRevision {
		return false
	}
	if z.notices == nil {
		z.notices = make(map[string]notice)
	}
	z.notices[zone] = notice{revision, evacuated}
	return known.evacuated != evacuated
}

// Listed applies a complete list of the zones under evacuation with their revisions. A zone that
// is missing was restored by the given revision, unless a newer notice says otherwise. Listed
// returns the zones that have changed, sorted.
func (z *Zones) Listed(zones map[string]int64, revision int64) []string {
	var changed []string
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if z.set(zone, true, zones[zone]) {
			changed = append(changed, zone)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(z.notices)) {
		if _, listed := zones[zone]; !listed && z.notices[zone].evacuated && !mutation.keepMissing && z.set(zone, false, revision) {
			changed = append(changed, zone)
		}
	}
	z.listed = max(z.listed, revision)
	return changed
}

// Evacuated returns the zones under evacuation with the revisions of their evacuations.
func (z *Zones) Evacuated() map[string]int64 {
	zones := make(map[string]int64)
	for zone, n := range z.notices {
		if n.evacuated {
			zones[zone] = n.revision
		}
	}
	return zones
}
