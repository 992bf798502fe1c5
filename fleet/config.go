// Package fleet holds the configuration document of the whole fleet and the rules by
// which a change to it is accepted. It does no input or output.
package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"egretdrum.example/change"
	"egretdrum.example/contract"
)

// RecentChanges is the maximum number of changes in the document. Older ones are moved to
// the audit keys of the store.
const RecentChanges = 64

// Config is one version of the configuration. It is immutable, so goroutines share it
// without a lock.
type Config struct {
	Version   uint64                       `json:"version"`
	Contracts map[string]contract.Contract `json:"contracts"`
	Services  map[string]Service           `json:"services"`
	Pools     map[string]Pool              `json:"pools"`
	Workers   map[string]Worker            `json:"workers"`
	Waves     map[string]Wave              `json:"waves,omitempty"`
	Zones     map[string]Zone              `json:"zones,omitempty"`
	Recent    []change.Change              `json:"recent-changes"`

	indexOnce sync.Once
	byKeyID   map[string]keyOwner
}

// Service is a kind of work that the minions of one pool do.
type Service struct {
	Pool string `json:"pool"`
	// Open services accept requests without a key.
	Open bool `json:"open"`
}

// Pool is a set of workers with its availability budgets. MinAvailable is the number of
// workers that must serve at any time. The other two limit how many workers of the pool
// are absent at a time in one rack or one availability zone; 0 means no limit.
type Pool struct {
	MinAvailable     int `json:"min-available"`
	MaxAbsentPerRack int `json:"max-absent-per-rack,omitempty"`
	MaxAbsentPerZone int `json:"max-absent-per-zone,omitempty"`
}

// Worker is the record of a worker, which is in exactly one pool. Leaving workers get no new
// work. Slots is the number of requests that the worker runs at the same time, or 0 if
// only the host list states it.
type Worker struct {
	Pool    string `json:"pool"`
	Leaving bool   `json:"leaving"`
	Slots   int    `json:"slots,omitempty"`
	// Zone and Rack are the worker's failure domains. They are used while the worker is not
	// on the host list, which overrides them.
	Zone string `json:"zone,omitempty"`
	Rack string `json:"rack,omitempty"`
	// Permit allows the worker to be absent. The change that sets Leaving also takes the
	// permit. It is released when the worker serves again, which is after Leaving ends.
	Permit *Permit `json:"permit,omitempty"`
	// Move is the worker's move to another pool, nil when none is in progress.
	Move *Move `json:"move,omitempty"`
	// Maintenance is the state of the worker in its last wave.
	Maintenance *Maintenance `json:"maintenance,omitempty"`
}

// Decode decodes and validates a stored document.
func Decode(b []byte) (*Config, error) {
	cfg := &Config{}
	if err := json.Unmarshal(b, cfg); err != nil {
		return nil, decodeError(b, err)
	}
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	cfg.keyOwners()
	return cfg, nil
}

// Encode returns the document in its stored form.
func (cfg *Config) Encode() ([]byte, error) {
	b, err := json.Marshal(cfg)
	if err != nil {
		return nil, &DecodeError{Err: err}
	}
	return b, nil
}

// HasChange reports whether the change with this id is among the recent ones. After
// a lost response, this tells whether the write took effect.
func (cfg *Config) HasChange(id string) bool {
	return slices.ContainsFunc(cfg.Recent, func(c change.Change) bool { return c.ID == id })
}

func (cfg *Config) clone() *Config {
	return &Config{
		Version:   cfg.Version,
		Contracts: cloneMap(cfg.Contracts),
		Services:  cloneMap(cfg.Services),
		Pools:     cloneMap(cfg.Pools),
		Workers:   cloneMap(cfg.Workers),
		Waves:     cloneMap(cfg.Waves),
		Zones:     cloneMap(cfg.Zones),
		Recent:    slices.Clone(cfg.Recent),
	}
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}
