package maintenance

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
	"egretdrum.example/wave"
)

const (
	// maxStepsPerTick limits the writes for one wave in one tick. All hosts share the several
	// hundred writes a second of the store, and the limit is far below that.
	maxStepsPerTick = 64
	// waveInterval is the time between checks of the waves. One check needs about 13 ms
	// with 28,000 workers in 38 waves, so it does not run at each Tick.
	waveInterval = 5 * time.Second
	// rebootPollInterval is the time between requests to the platform about one reboot.
	rebootPollInterval = 5 * time.Second
)

// tickWaves performs the due steps of each wave that this host drives.
func (d *Driver) tickWaves(ctx context.Context, now time.Time) {
	if now.Sub(d.wavesChecked) < waveInterval {
		return
	}
	d.wavesChecked = now
	cfg := d.Config()
	var unfinished []string
	for _, name := range cfg.Names(change.KindWave) {
		if cfg.Waves[name].State != fleet.WaveEnded {
			unfinished = append(unfinished, name)
		}
	}
	if len(unfinished) == 0 {
		d.absences, d.rebootPolled = wave.AbsenceTracker{}, nil
		return
	}
	list, ok := d.hosts(ctx)
	if !ok {
		return
	}
	d.absences.Observe(now, cfg, list)
	for _, name := range unfinished {
		if d.DrivesWave(now, name) {
			d.driveWave(ctx, now, cfg, name, list)
		}
	}
}

func (d *Driver) driveWave(ctx context.Context, now time.Time, cfg *fleet.Config, name string, list map[string]hostlist.Host) {
	w := cfg.Waves[name]
	facts := wave.Facts{Hosts: list, Reboots: d.pollReboots(ctx, now, cfg, w)}
	facts.Failures, facts.FailureLimit = d.absences.Failures(cfg, now, w)
	changes, err := wave.Next(cfg, now, name, facts)
	if err != nil {
		d.Log.Error("wave-step-not-made", zap.String("wave", name), zap.Error(err))
		return
	}
	for _, c := range changes[:min(len(changes), maxStepsPerTick)] {
		if ctx.Err() != nil {
			return
		}
		if d.accept(ctx, c) == nil {
			d.Log.Info("wave-step", zap.String("wave", name), zap.String("action", c.Action), zap.String("object", c.Name), zap.String("reason", c.Reason))
		}
	}
}

// pollReboots requests the reboot of each worker at the rebooting step and returns the states
// that the platform answers with. A request carries an id, so repeating it only reads the state
// and does not reboot the worker again.
func (d *Driver) pollReboots(ctx context.Context, now time.Time, cfg *fleet.Config, w fleet.Wave) map[string]wave.RebootState {
	states := make(map[string]wave.RebootState)
	for _, worker := range w.Workers {
		r := cfg.Workers[worker]
		if r.Permit == nil || r.Maintenance == nil || r.Maintenance.WaveID != w.ID || r.Maintenance.Step != fleet.MaintenanceRebooting {
			delete(d.rebootPolled, worker)
			continue
		}
		if now.Sub(d.rebootPolled[worker]) < rebootPollInterval {
			continue
		}
		if d.rebootPolled == nil {
			d.rebootPolled = make(map[string]time.Time)
		}
		d.rebootPolled[worker] = now
		state, err := d.Reboot(ctx, worker, r.Permit.ID)
		if err != nil {
			d.Log.Warn("wave-reboot-not-answered", zap.String("worker", worker), zap.Error(err))
			continue
		}
		states[worker] = state
	}
	return states
}

// tickDrains confirms that draining workers of waves are empty, if this host owns the workers'
// slots.
func (d *Driver) tickDrains(ctx context.Context, now time.Time) {
	cfg := d.Config()
	var draining []string
	for name, r := range cfg.Workers {
		if r.Maintenance != nil && r.Maintenance.Step == fleet.MaintenanceDraining {
			draining = append(draining, name)
		}
	}
	if len(draining) == 0 {
		return
	}
	slices.Sort(draining)
	version, use := d.SlotUse(now, draining)
	if version < cfg.Version {
		return
	}
	lagging := d.LaggingHosts(cfg.Version)
	for _, name := range draining {
		if !use[name].Owned {
			continue
		}
		c, wait, err := wave.Confirm(cfg, now, name, evidence(use[name], nil, name, lagging))
		if err != nil {
			d.Log.Error("wave-step-not-made", zap.String("worker", name), zap.Error(err))
		}
		if err == nil && wait == "" {
			_ = d.accept(ctx, c)
		}
	}
}
