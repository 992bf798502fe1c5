package scheduler

import (
	"maps"
	"slices"
	"strings"
)

// SetEvacuated sets the availability zones under evacuation: no task is started on their workers.
// What runs there goes on. A task whose start is not sent yet is started elsewhere.
func (s *Scheduler) SetEvacuated(zones map[string]int64) {
	before := s.evacuatedZones
	s.evacuatedZones = zones
	if maps.Equal(before, zones) {
		return
	}
	for _, w := range s.sortedWorkers {
		if s.evacuated(w) {
			s.dropUnsent(w, "zone under evacuation")
		}
	}
	for _, m := range s.sortedMachines {
		if s.evacuatedMachine(m) && m.cordoned && m.moveTo != "" && !m.orderInFlight {
			m.cordoned, m.moveTo = false, ""
		}
	}
	s.changeAll()
}

// SetZonesKnown reports whether the owner knows which zones are under evacuation. While it
// doesn't, any zone may be, and no task is started.
func (s *Scheduler) SetZonesKnown(known bool) {
	if s.zonesUnknown == !known {
		return
	}
	s.zonesUnknown = !known
	s.changeAll()
}

// evacuated reports whether the availability zone of a worker is under evacuation.
func (s *Scheduler) evacuated(w *workerState) bool {
	if len(s.evacuatedZones) == 0 || mutation.ignoreEvacuation {
		return false
	}
	zone := w.registration.Zone
	if m := s.machines[w.registration.Machine]; zone == "" && m != nil {
		zone = m.Zone
	}
	_, evacuated := s.evacuatedZones[zone]
	return evacuated
}

// evacuatedMachine reports whether the availability zone of a machine is under evacuation. Its
// capacity is none for tasks that wait, so it is neither lent nor counted in its pool.
func (s *Scheduler) evacuatedMachine(m *machine) bool {
	_, evacuated := s.evacuatedZones[m.Zone]
	return evacuated
}

// evacuationNote names the zones under evacuation for the log, or is empty.
func (s *Scheduler) evacuationNote() string {
	if len(s.evacuatedZones) == 0 {
		return ""
	}
	return "; zones under evacuation: " + strings.Join(slices.Sorted(maps.Keys(s.evacuatedZones)), ", ")
}
