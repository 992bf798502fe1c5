package wave

import (
	"fmt"
	"slices"
	"time"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
)

// maxWindow is the maximum length of a window: the maintenance cycle of four weeks.
const maxWindow = 28 * 24 * time.Hour

// Start returns the change that starts a wave. If w names a pool, the workers of the pool are
// added to the workers that w lists.
func Start(cfg *fleet.Config, now time.Time, name string, w fleet.Wave) (change.Change, error) {
	field := "wave " + name + ": "
	if old, ok := cfg.Waves[name]; ok && !isOver(cfg, old) {
		return change.Change{}, &fleet.RangeError{Field: field + "state", Value: string(old.State), Accepted: "a name without a wave, or whose wave has ended with no worker out"}
	}
	if w.Pool != "" {
		if _, ok := cfg.Pools[w.Pool]; !ok {
			return change.Change{}, &fleet.ReferenceError{Kind: change.KindPool, Name: w.Pool, From: "wave " + name}
		}
		for worker, r := range cfg.Workers {
			if r.Pool == w.Pool {
				w.Workers = append(w.Workers, worker)
			}
		}
	}
	slices.Sort(w.Workers)
	w.Workers = slices.Compact(w.Workers)
	for _, worker := range w.Workers {
		if _, ok := cfg.Workers[worker]; !ok {
			return change.Change{}, &fleet.ReferenceError{Kind: change.KindWorker, Name: worker, From: "wave " + name}
		}
	}
	switch {
	case !w.To.After(now):
		return change.Change{}, &fleet.RangeError{Field: field + "window end", Value: w.To.Format(time.RFC3339), Accepted: "a time after " + now.Format(time.RFC3339)}
	case w.To.Sub(w.From) > maxWindow:
		return change.Change{}, &fleet.RangeError{Field: field + "window", Value: w.To.Sub(w.From).String(), Accepted: fmt.Sprintf("at most %s", maxWindow)}
	case w.Reason == "":
		return change.Change{}, &fleet.RangeError{Field: field + "reason", Value: `""`, Accepted: "why the workers are maintained"}
	}
	w.State, w.At, w.Cause, w.Return = fleet.WaveRunning, now, "started", false
	return waveChange(cfg, name, w, w.ID+"/start", "start-wave", w.Reason)
}

// isOver reports whether the wave has ended or was aborted and has no worker out.
func isOver(cfg *fleet.Config, w fleet.Wave) bool {
	active := slices.ContainsFunc(w.Workers, func(worker string) bool { return maintenanceIn(w, cfg.Workers[worker]).IsActive() })
	return !active && (w.State == fleet.WaveEnded || w.State == fleet.WaveAborted)
}

// Set returns the change that pauses, resumes or aborts a wave. Workers that are being
// rebooted finish in any case; an abort returns those that are drained but not yet rebooting.
func Set(cfg *fleet.Config, now time.Time, id, name string, state fleet.WaveState, cause string) (change.Change, error) {
	w, ok := cfg.Waves[name]
	if !ok {
		return change.Change{}, &fleet.ReferenceError{Kind: change.KindWave, Name: name, From: "the command"}
	}
	accepted, allowed := "running or paused", w.State == fleet.WaveRunning || w.State == fleet.WavePaused
	switch state {
	case fleet.WavePaused:
		accepted, allowed = "running", w.State == fleet.WaveRunning
	case fleet.WaveRunning:
		accepted, allowed = "paused", w.State == fleet.WavePaused
	}
	if !allowed {
		return change.Change{}, &fleet.RangeError{Field: "wave " + name + ": state", Value: string(w.State), Accepted: accepted + ", to become " + string(state)}
	}
	w.State, w.Cause, w.At, w.Return = state, cause, now, state == fleet.WaveAborted
	return waveChange(cfg, name, w, id, actions[state], cause)
}

var actions = map[fleet.WaveState]string{fleet.WavePaused: "pause-wave", fleet.WaveRunning: "resume-wave", fleet.WaveAborted: "abort-wave"}
