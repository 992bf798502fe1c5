package fleet

import (
	"fmt"
	"time"
)

// Zone is the record of an availability zone that operators have evacuated. Workers of the zone
// get no new work until the record is removed; what runs there goes on.
type Zone struct {
	Since  time.Time `json:"since"`
	Reason string    `json:"reason,omitempty"`
}

// Evacuated reports whether an availability zone is under evacuation.
func (cfg *Config) Evacuated(zone string) bool {
	_, evacuated := cfg.Zones[zone]
	return evacuated
}

func (cfg *Config) validateZones() error {
	for name, z := range cfg.Zones {
		if !isWord(name) {
			return &RangeError{Field: "zone name", Value: fmt.Sprintf("%q", name), Accepted: "1 to 64 characters a-z, 0-9 and -"}
		}
		if z.Since.IsZero() {
			return &RangeError{Field: "zone " + name + ": since", Value: "missing", Accepted: "the time of the evacuation"}
		}
	}
	return nil
}
