package maintenance

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/move"
)

// tickPermits releases the permits of returned workers that serve again, if this host owns the
// workers' slots.
func (d *Driver) tickPermits(ctx context.Context, now time.Time) {
	cfg := d.Config()
	var returning []string
	for name, w := range cfg.Workers {
		if w.Permit != nil && !w.Leaving {
			returning = append(returning, name)
		}
	}
	if len(returning) == 0 {
		return
	}
	slices.Sort(returning)
	_, use := d.SlotUse(now, returning)
	list, ok := d.hosts(ctx)
	if !ok {
		return
	}
	for _, name := range returning {
		host, listed := list[name]
		if !use[name].Owned || !listed || host.Leaving {
			continue
		}
		c, err := releaseChange(cfg, now, name)
		if err != nil {
			d.Log.Error("permit-release-not-made", zap.String("worker", name), zap.Error(err))
			continue
		}
		_ = d.accept(ctx, c)
	}
}

// releaseChange returns the change that removes the worker's permit and completes its
// maintenance. The id of the change is derived from the permit, so that two hosts cannot release
// it twice.
func releaseChange(cfg *fleet.Config, now time.Time, worker string) (change.Change, error) {
	w := cfg.Workers[worker]
	c := change.Change{
		ID: w.Permit.ID + "/release", Version: cfg.Version, Operator: move.Operator,
		Action: "release-permit", Kind: change.KindWorker, Name: worker,
	}
	w.Permit = nil
	if m := w.Maintenance; m != nil && m.Step == fleet.MaintenanceReturning {
		done := *m
		done.Step, done.At = fleet.MaintenanceDone, now
		w.Maintenance = &done
	}
	var err error
	if c.Before, err = cfg.Object(change.KindWorker, worker); err != nil {
		return c, err
	}
	c.After, err = json.Marshal(w)
	return c, err
}
