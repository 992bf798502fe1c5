package wave

import (
	"fmt"
	"slices"
	"time"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
)

// longestWindow bounds a window; the maintenance cycle is four weeks.
const longestWindow = 28 * 24 * time.Hour

// Start returns the change that starts a wave. The workers are those of the pool if no
// list is given.
func Start(cfg *fleet.Config, now time.Time, name string, w fleet.Wave) (change.Change, error) {
	field := "wave " + name + ": "
	if old, ok := cfg.Waves[name]; ok && !over(cfg, old) {
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
	case w.To.Sub(w.From) > longestWindow:
		return change.Change{}, &fleet.RangeError{Field: field + "window", Value: w.To.Sub(w.From).String(), Accepted: fmt.Sprintf("at most %s", longestWindow)}
	case w.Reason == "":
		return change.Change{}, &fleet.RangeError{Field: field + "reason", Value: `""`, Accepted: "why the workers are maintained"}
	}
	w.State, w.At, w.Cause, w.Return = fleet.WaveRunning, now, "started", false
	return put(cfg, name, w, w.ID+"/start", "start-wave", w.Reason)
}

// over tells whether the wave does nothing any more.
func over(cfg *fleet.Config, w fleet.Wave) bool {
	out := slices.ContainsFunc(w.Workers, func(worker string) bool { return part(w, cfg.Workers[worker]).IsActive() })
	return !out && (w.State == fleet.WaveEnded || w.State == fleet.WaveAborted)
}

// Set returns the change that pauses, resumes or aborts a wave. Workers that are being
// rebooted finish in any case; an abort returns those that are drained only.
func Set(cfg *fleet.Config, now time.Time, id, name string, state fleet.WaveState, cause string) (change.Change, error) {
	w, ok := cfg.Waves[name]
	if !ok {
		return change.Change{}, &fleet.ReferenceError{Kind: change.KindWave, Name: name, From: "the command"}
	}
	accepted, fits := "running or paused", w.State == fleet.WaveRunning || w.State == fleet.WavePaused
	switch state {
	case fleet.WavePaused:
		accepted, fits = "running", w.State == fleet.WaveRunning
	case fleet.WaveRunning:
		accepted, fits = "paused", w.State == fleet.WavePaused
	}
	if !fits {
		return change.Change{}, &fleet.RangeError{Field: "wave " + name + ": state", Value: string(w.State), Accepted: accepted + ", to become " + string(state)}
	}
	w.State, w.Cause, w.At, w.Return = state, cause, now, state == fleet.WaveAborted
	return put(cfg, name, w, id, actions[state], cause)
}

var actions = map[fleet.WaveState]string{fleet.WavePaused: "pause-wave", fleet.WaveRunning: "resume-wave", fleet.WaveAborted: "abort-wave"}
