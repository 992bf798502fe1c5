package subscription

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/kv"
)

// zoneOf returns the availability zone that a key evacuates.
func (s *Subscription) zoneOf(key string) (string, bool) {
	if s.EvacuationPrefix == "" {
		return "", false
	}
	return strings.CutPrefix(key, s.EvacuationPrefix)
}

// applyZone applies an item that evacuates a zone, or its deletion, which restores the zone. It
// reports whether the key names a zone.
func (s *Subscription) applyZone(item kv.Item, evacuated bool) bool {
	zone, ok := s.zoneOf(item.Key)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.zones.Set(zone, evacuated, item.Revision) {
		s.announceZone(zone, evacuated, item.Revision)
	}
	return true
}

// applyListedZones restores the zones whose keys a complete read does not have.
func (s *Subscription) applyListedZones(items []kv.Item, revision int64) {
	listed := make(map[string]int64)
	for _, item := range items {
		if zone, ok := s.zoneOf(item.Key); ok {
			listed[zone] = item.Revision
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, zone := range s.zones.Listed(listed, revision) {
		_, evacuated := listed[zone]
		s.announceZone(zone, evacuated, revision)
	}
}

func (s *Subscription) announceZone(zone string, evacuated bool, revision int64) {
	event := "zone-restored"
	if evacuated {
		event = "zone-evacuated"
	}
	s.Log.Info(event, zap.String("availability-zone", zone), zap.Int64("revision", revision), zap.Duration("confirmed-ago", s.Now()-s.confirmed))
	s.evacuated = s.zones.Evacuated()
	s.announce()
}

// Evacuated returns the availability zones under evacuation with the revisions of their
// evacuations, and the time since the store confirmed that there are no others. The map must
// not be changed.
func (s *Subscription) Evacuated() (zones map[string]int64, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuated, s.Now() - s.confirmed
}
