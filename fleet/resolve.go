package fleet

import (
	"maps"
	"slices"
	"strings"

	"egretdrum.example/change"
)

// Resolve returns the qualified name of an existing object for its qualified or unqualified
// name. The two former fleets have some names in common, so an unqualified name resolves
// only if it is unique.
func (cfg *Config) Resolve(kind, name string) (string, error) {
	return ResolveAmong(kind, name, cfg.Names(kind))
}

// ResolveAmong is Resolve among the given names.
func ResolveAmong(kind, name string, names []string) (string, error) {
	if slices.Contains(names, name) {
		return name, nil
	}
	var found []string
	for _, n := range names {
		if _, bare, ok := strings.Cut(n, "/"); ok && bare == name {
			found = append(found, n)
		}
	}
	switch len(found) {
	case 0:
		return "", &ReferenceError{Kind: kind, Name: name, From: "the command"}
	case 1:
		return found[0], nil
	default:
		return "", &AmbiguousError{Kind: kind, Name: name, Candidates: found}
	}
}

// Names returns the sorted names of all objects of a kind.
func (cfg *Config) Names(kind string) []string {
	switch kind {
	case change.KindContract:
		return slices.Sorted(maps.Keys(cfg.Contracts))
	case change.KindService:
		return slices.Sorted(maps.Keys(cfg.Services))
	case change.KindPool:
		return slices.Sorted(maps.Keys(cfg.Pools))
	case change.KindWave:
		return slices.Sorted(maps.Keys(cfg.Waves))
	case change.KindZone:
		return slices.Sorted(maps.Keys(cfg.Zones))
	default:
		return slices.Sorted(maps.Keys(cfg.Workers))
	}
}
