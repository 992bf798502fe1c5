package operator

import (
	"maps"
	"slices"

	"egretdrum.example/fleet"
)

// Status is what one entry host knows about the fleet.
type Status struct {
	Host     string         `json:"host"`
	Version  uint64         `json:"version"`
	Epoch    uint64         `json:"epoch"`
	Members  []MemberStatus `json:"members"`
	Pools    []PoolStatus   `json:"pools"`
	Teams    []TeamStatus   `json:"teams"`
	Warnings []string       `json:"warnings"`
}

// MemberStatus is the state of one entry host as seen by the answering entry host.
type MemberStatus struct {
	Name      string `json:"name"`
	Zone      string `json:"zone"`
	Version   uint64 `json:"version"`
	Admitting bool   `json:"admitting"`
}

// PoolStatus counts the workers of one pool.
type PoolStatus struct {
	Name         string `json:"name"`
	Workers      int    `json:"workers"`
	Leaving      int    `json:"leaving"`
	MinAvailable int    `json:"min-available"`
}

// TeamStatus is the entitlement of one team and its current use.
type TeamStatus struct {
	Name    string `json:"name"`
	Share   int64  `json:"share-millionths"`
	Limit   int    `json:"upper-limit"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

// StatusOf returns the part of a status that the configuration determines. The entry
// host adds the members and the current use.
func StatusOf(cfg *fleet.Config) Status {
	s := Status{Version: cfg.Version, Members: []MemberStatus{}, Pools: []PoolStatus{}, Teams: []TeamStatus{}, Warnings: cfg.Warnings()}
	for _, name := range slices.Sorted(maps.Keys(cfg.Pools)) {
		p := PoolStatus{Name: name, MinAvailable: cfg.Pools[name].MinAvailable}
		for _, w := range cfg.Workers {
			if w.Pool != name {
				continue
			}
			p.Workers++
			if w.Leaving {
				p.Leaving++
			}
		}
		s.Pools = append(s.Pools, p)
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Contracts)) {
		c := cfg.Contracts[name]
		s.Teams = append(s.Teams, TeamStatus{Name: name, Share: c.Share, Limit: c.Limit})
	}
	return s
}
