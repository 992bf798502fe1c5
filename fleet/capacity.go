package fleet

import (
	"fmt"
	"maps"
	"slices"

	"egretdrum.example/contract"
)

// Capacity returns the sum of the slots of all workers. It is known only if there are
// workers and every record states the slots; otherwise only the host list has them all.
func (cfg *Config) Capacity() (slots int, known bool) {
	for _, w := range cfg.Workers {
		if w.Slots == 0 {
			return 0, false
		}
		slots += w.Slots
	}
	return slots, len(cfg.Workers) > 0
}

// Warnings lists settings that are valid but probably not intended. Limits and capacity are
// compared here and not in Validate, because it must be possible to remove a failed worker
// even if a limit then exceeds the capacity.
func (cfg *Config) Warnings() []string {
	var out []string
	size := cfg.poolSizes()
	for _, name := range slices.Sorted(maps.Keys(cfg.Pools)) {
		if p := cfg.Pools[name]; p.MinAvailable > 0 && p.MinAvailable == size[name].all {
			out = append(out, fmt.Sprintf("pool %s: min-available %d leaves no worker for maintenance", name, p.MinAvailable))
		}
	}
	slots, known := cfg.Capacity()
	if !known {
		return out
	}
	limits := 0
	for _, team := range slices.Sorted(maps.Keys(cfg.Contracts)) {
		c := cfg.Contracts[team]
		limits += c.Limit
		if c.Limit > slots {
			out = append(out, fmt.Sprintf("contract %s: upper limit %d exceeds the capacity of %d slots", team, c.Limit, slots))
		}
		if guaranteed := int64(slots) * c.Share / contract.ShareWhole; guaranteed > int64(c.Limit) {
			out = append(out, fmt.Sprintf("contract %s: a share of %s is %d slots, more than the upper limit %d", team, contract.FormatShare(c.Share), guaranteed, c.Limit))
		}
	}
	if len(cfg.Contracts) > 0 && limits < slots {
		out = append(out, fmt.Sprintf("the upper limits add up to %d of %d slots; the rest cannot be used with a key", limits, slots))
	}
	return out
}
