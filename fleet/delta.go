package fleet

import (
	"slices"

	"egretdrum.example/change"
)

// Changes returns the changes after the given version, oldest first, which bring an entry
// host at that version up to date. It reports false when the document no longer holds all
// of them; the caller then sends the whole document.
func (cfg *Config) Changes(after uint64) ([]change.Change, bool) {
	if after >= cfg.Version {
		return nil, true
	}
	missing := cfg.Version - after
	held := uint64(len(cfg.Recent))
	if missing > held || cfg.Recent[held-missing].Version != after+1 {
		return nil, false
	}
	return slices.Clone(cfg.Recent[held-missing:]), true
}

// ApplyDelta returns the version that results from the changes. Changes that the document
// already holds are skipped, so a repeated delta is harmless. A delta with a missing
// version is refused with a GapError, and one that does not match the current objects with
// a ConflictError; the caller then fetches the whole document.
func (cfg *Config) ApplyDelta(changes []change.Change) (*Config, error) {
	next := cfg.clone()
	for _, c := range changes {
		if c.Version <= next.Version {
			continue
		}
		if c.Version != next.Version+1 && !mutation.acceptGap {
			return nil, &GapError{Have: next.Version, Next: c.Version}
		}
		if err := c.Validate(); err != nil {
			return nil, err
		}
		if err := next.replaceObject(c); err != nil {
			return nil, err
		}
	}
	if next.Version == cfg.Version {
		return cfg, nil
	}
	if err := next.Validate(); err != nil {
		return nil, err
	}
	next.keyOwners()
	return next, nil
}

// replaceObject applies c, whose Version is set, to the document. It checks that the object
// has the value that c expects, but does not validate the document.
func (cfg *Config) replaceObject(c change.Change) error {
	current, err := cfg.object(c.Kind, c.Name)
	if err != nil {
		return err
	}
	if !equalJSON(current, c.Before) && !mutation.ignoreBefore {
		return cfg.conflictError(c, current)
	}
	if err := cfg.setObject(c.Kind, c.Name, c.After); err != nil {
		return err
	}
	cfg.Version = c.Version
	cfg.Recent = append(cfg.Recent, c)
	if drop := Overflow(len(cfg.Recent)); drop > 0 {
		cfg.Recent = slices.Clone(cfg.Recent[drop:])
	}
	return nil
}

// Overflow returns how many of the oldest changes a document with n changes drops. It drops
// half of RecentChanges at once, so that an audit key is written once per 32 changes. Every
// entry host uses the same rule, so a delta results in the same document as in the store.
func Overflow(n int) int {
	if n <= RecentChanges {
		return 0
	}
	return RecentChanges / 2
}
