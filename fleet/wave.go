package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// MaxWaveWorkers bounds the workers of one wave. A change of a wave holds the list of
// its workers twice, so 64 recent changes of a larger wave would exceed the size limit of
// the document.
const MaxWaveWorkers = 2000

// WaveState is the state of a wave.
type WaveState string

// States of a wave. Workers that are already out finish their maintenance in every state.
const (
	WaveRunning WaveState = "running"
	WavePaused  WaveState = "paused"
	WaveAborted WaveState = "aborted"
	// WaveEnded: the window is over or no worker remains.
	WaveEnded WaveState = "ended"
)

// Wave is the maintenance of a list of workers within a window.
type Wave struct {
	ID      string    `json:"id"`
	Pool    string    `json:"pool,omitempty"`
	Workers []string  `json:"workers"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	Reason  string    `json:"reason"`
	State   WaveState `json:"state"`
	// Cause is the reason for State, and At is when State was set.
	Cause string    `json:"cause,omitempty"`
	At    time.Time `json:"at"`
	// Return is set when workers that are drained but not yet rebooted return to service.
	Return bool `json:"return,omitempty"`
}

// MaintenanceStep is the last completed step of a worker's maintenance.
type MaintenanceStep string

// Steps of the maintenance of one worker, in order up to MaintenanceDone. The others are
// final steps of a maintenance that was not completed.
const (
	MaintenanceDraining  MaintenanceStep = "draining"
	MaintenanceEmpty     MaintenanceStep = "empty"
	MaintenanceRebooting MaintenanceStep = "rebooting"
	// MaintenanceReturning: the worker may serve; it is not on the host list yet.
	MaintenanceReturning MaintenanceStep = "returning"
	MaintenanceDone      MaintenanceStep = "done"
	// MaintenanceWithdrawn: the worker was returned to service before its reboot.
	MaintenanceWithdrawn MaintenanceStep = "withdrawn"
	// MaintenanceQuarantined: the worker did not come back, or came back faulty.
	MaintenanceQuarantined MaintenanceStep = "quarantined"
)

// Maintenance is the state of one worker in a wave. WaveID distinguishes waves of the same
// name. Attempt counts how often the wave has drained the worker.
type Maintenance struct {
	Wave    string          `json:"wave"`
	WaveID  string          `json:"wave-id"`
	Attempt int             `json:"attempt"`
	Step    MaintenanceStep `json:"step"`
	Began   time.Time       `json:"began"`
	At      time.Time       `json:"at"`
	Reason  string          `json:"reason,omitempty"`
}

// KeepsFromServing reports whether the maintenance keeps the worker from serving.
func (m *Maintenance) KeepsFromServing() bool {
	return m.IsActive() && m.Step != MaintenanceReturning || m != nil && m.Step == MaintenanceQuarantined
}

// IsActive reports whether the maintenance has begun and not ended.
func (m *Maintenance) IsActive() bool {
	if m == nil {
		return false
	}
	switch m.Step {
	case MaintenanceDraining, MaintenanceEmpty, MaintenanceRebooting, MaintenanceReturning:
		return true
	default:
		return false
	}
}

func validateMaintenance(name string, w Worker) error {
	m := w.Maintenance
	if m == nil {
		return nil
	}
	field := "worker " + name + ": "
	switch m.Step {
	case MaintenanceDraining, MaintenanceEmpty, MaintenanceRebooting, MaintenanceReturning, MaintenanceDone, MaintenanceWithdrawn, MaintenanceQuarantined:
	default:
		return &RangeError{Field: field + "maintenance step", Value: fmt.Sprintf("%q", m.Step), Accepted: "draining, empty, rebooting, returning, done, withdrawn or quarantined"}
	}
	if m.KeepsFromServing() && (!w.Leaving || w.Permit == nil) {
		return &RangeError{Field: field + "leaving", Value: fmt.Sprintf("%t", w.Leaving), Accepted: fmt.Sprintf("true with a permit while the worker is %s in wave %s", m.Step, m.Wave)}
	}
	return nil
}

func (cfg *Config) validateWaves() error {
	waveOf := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(cfg.Waves)) {
		w := cfg.Waves[name]
		field := "wave " + name + ": "
		switch {
		case !isWord(name):
			return &RangeError{Field: "wave name", Value: fmt.Sprintf("%q", name), Accepted: "1 to 64 characters a-z, 0-9 and -"}
		case w.ID == "":
			return &RangeError{Field: field + "id", Value: `""`, Accepted: "a unique id"}
		case len(w.Workers) == 0 || len(w.Workers) > MaxWaveWorkers:
			return &RangeError{Field: field + "workers", Value: fmt.Sprint(len(w.Workers)), Accepted: fmt.Sprintf("1 to %d", MaxWaveWorkers)}
		case !w.To.After(w.From):
			return &RangeError{Field: field + "window", Value: w.From.Format(time.RFC3339) + "," + w.To.Format(time.RFC3339), Accepted: "an end after its beginning"}
		}
		switch w.State {
		case WaveRunning, WavePaused, WaveAborted, WaveEnded:
		default:
			return &RangeError{Field: field + "state", Value: fmt.Sprintf("%q", w.State), Accepted: "running, paused, aborted or ended"}
		}
		if w.State != WaveRunning && w.State != WavePaused {
			continue
		}
		// A worker's record holds its state in one wave only; two unfinished waves would
		// drain it alternately.
		for _, worker := range w.Workers {
			if other, ok := waveOf[worker]; ok && !mutation.skipOverlapCheck {
				return &RangeError{Field: field + "worker " + worker, Value: "in wave " + other, Accepted: "workers that are in no other wave that is running or paused"}
			}
			waveOf[worker] = name
		}
	}
	return nil
}
