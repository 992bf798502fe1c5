package fleet

import (
	"fmt"
	"strings"

	"egretdrum.example/contract"
)

// maxSlots bounds the slots of one worker, so that the sum over all workers does not
// overflow.
const maxSlots = 100_000

// maxWorkers bounds the absence budgets of a pool. It is above the 28,000 workers that
// are expected in two years.
const maxWorkers = 100_000

// Validate checks the whole document: qualified names, references, the sum of the shares,
// and budgets that cannot be met.
func (cfg *Config) Validate() error {
	if mutation.skipValidation {
		return nil
	}
	if err := cfg.validateContracts(); err != nil {
		return err
	}
	for name, s := range cfg.Services {
		if err := checkQualified("service", name); err != nil {
			return err
		}
		if _, ok := cfg.Pools[s.Pool]; !ok {
			return &ReferenceError{Kind: "pool", Name: s.Pool, From: "service " + name}
		}
	}
	if err := cfg.validateWaves(); err != nil {
		return err
	}
	if err := cfg.validateZones(); err != nil {
		return err
	}
	return cfg.validatePools()
}

func (cfg *Config) validateContracts() error {
	var shares int64
	teamOf := make(map[string]string)
	for team, c := range cfg.Contracts {
		if err := checkQualified("team", team); err != nil {
			return err
		}
		if c.Team != team {
			return &RangeError{Field: "contract " + team + ": team", Value: c.Team, Accepted: team}
		}
		if err := c.Validate(); err != nil {
			return err
		}
		for _, k := range c.Keys {
			if other, ok := teamOf[k.ID]; ok {
				return &RangeError{Field: "contract " + team + ": key " + k.ID, Value: "used by " + other, Accepted: "an id of its own"}
			}
			teamOf[k.ID] = team
		}
		shares += c.Share
	}
	if shares > contract.ShareWhole {
		return &RangeError{Field: "sum of shares", Value: contract.FormatShare(shares), Accepted: "at most " + contract.FormatShare(contract.ShareWhole)}
	}
	return nil
}

func (cfg *Config) validatePools() error {
	for name, w := range cfg.Workers {
		if !isWorkerName(name) {
			return &RangeError{Field: "worker name", Value: fmt.Sprintf("%q", name), Accepted: "1 to 64 characters a-z, 0-9, - and ."}
		}
		if _, ok := cfg.Pools[w.Pool]; !ok {
			return &ReferenceError{Kind: "pool", Name: w.Pool, From: "worker " + name}
		}
		if w.Slots < 0 || w.Slots > maxSlots {
			return &RangeError{Field: "worker " + name + ": slots", Value: fmt.Sprint(w.Slots), Accepted: fmt.Sprintf("0 to %d", maxSlots)}
		}
		if w.Permit != nil && w.Permit.ID == "" {
			return &RangeError{Field: "worker " + name + ": permit id", Value: `""`, Accepted: "a unique id"}
		}
		if err := validateMaintenance(name, w); err != nil {
			return err
		}
		if err := cfg.validateMove(name, w); err != nil {
			return err
		}
	}
	size := cfg.poolSizes()
	for name, p := range cfg.Pools {
		if err := checkQualified("pool", name); err != nil {
			return err
		}
		for field, n := range map[string]int{"max-absent-per-rack": p.MaxAbsentPerRack, "max-absent-per-zone": p.MaxAbsentPerZone} {
			if n < 0 || n > maxWorkers {
				return &RangeError{Field: "pool " + name + ": " + field, Value: fmt.Sprint(n), Accepted: fmt.Sprintf("0 (no bound) to %d", maxWorkers)}
			}
		}
		if serving := size[name].serving; p.MinAvailable < 0 || p.MinAvailable > serving {
			return &RangeError{Field: "pool " + name + ": min-available", Value: fmt.Sprint(p.MinAvailable), Accepted: fmt.Sprintf("0 to %d, the workers in the pool that are not leaving", serving)}
		}
	}
	return nil
}

// poolSize counts the workers of a pool, and those that are not leaving.
type poolSize struct{ all, serving int }

func (cfg *Config) poolSizes() map[string]poolSize {
	size := make(map[string]poolSize, len(cfg.Pools))
	for _, w := range cfg.Workers {
		n := size[w.Pool]
		n.all++
		if !w.Leaving {
			n.serving++
		}
		size[w.Pool] = n
	}
	return size
}

func isWorkerName(s string) bool {
	return s != "" && len(s) <= 64 && !strings.ContainsFunc(s, func(r rune) bool { return r != '.' && !isWord(string(r)) })
}

// IsQualified reports whether name has the form side/name.
func IsQualified(name string) bool {
	side, bare, ok := strings.Cut(name, "/")
	return ok && isWord(side) && isWord(bare)
}

func checkQualified(kind, name string) error {
	if IsQualified(name) {
		return nil
	}
	return &RangeError{Field: kind + " name", Value: fmt.Sprintf("%q", name), Accepted: "side/name with a-z, 0-9 and -"}
}

func isWord(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}
