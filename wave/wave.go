// Package wave decides the steps of a maintenance wave: which workers to drain next,
// when to reboot and return them, and when to stop. The state of a wave is in the
// configuration document, and each step is one change whose id is derived from the wave, the
// worker and the attempt. The package does no input or output.
package wave

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"egretdrum.example/budget"
	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
	"egretdrum.example/move"
)

const (
	// RebootTimeout is the time after which a rebooting worker counts as failed. A slow
	// reboot with a firmware update takes up to ten minutes.
	RebootTimeout = 15 * time.Minute
	// ReturnTimeout is the time within which the host list has to show a returned worker.
	ReturnTimeout = 10 * time.Minute
	// AssumedWorkerTime is the assumed time from drain to return of a worker, until the wave
	// has measured it.
	AssumedWorkerTime = 20 * time.Minute
)

// Facts is what the driver knows in addition to the document.
type Facts struct {
	Hosts map[string]hostlist.Host
	// Reboots is the platform's answer for each rebooting worker. A worker has no entry if
	// the platform was not asked or did not answer.
	Reboots map[string]RebootState
	// Failures counts recent unplanned absences, and FailureLimit is the largest number
	// of them that is expected to occur by chance.
	Failures, FailureLimit int
}

// RebootState is the state of a worker as the platform reports it.
type RebootState string

// States of a reboot.
const (
	Rebooting RebootState = "rebooting"
	Up        RebootState = "up"
	Bad       RebootState = "bad"
)

// mutation switches off single rules. Only tests set it, to show that the test of each
// rule fails without the rule.
var mutation struct {
	ignoreBudget, ignorePause, ignoreWindow, ignoreFailures, keepDrained, returnBad, waitForever, rebootUndrained, drainAgain bool
}

// pending reports whether the wave still has to drain the worker.
func pending(w fleet.Wave, r fleet.Worker) bool {
	m := r.Maintenance
	return m == nil || m.WaveID != w.ID || m.Step == fleet.MaintenanceWithdrawn || mutation.drainAgain && m.Step == fleet.MaintenanceDone
}

// maintenanceIn returns the worker's maintenance if it belongs to the wave, and nil otherwise.
func maintenanceIn(w fleet.Wave, r fleet.Worker) *fleet.Maintenance {
	if r.Maintenance == nil || r.Maintenance.WaveID != w.ID {
		return nil
	}
	return r.Maintenance
}

// Next returns the changes that are due for the wave, in order. The changes of different
// workers do not depend on each other; one that is refused is tried again later.
func Next(cfg *fleet.Config, now time.Time, name string, facts Facts) ([]change.Change, error) {
	w, ok := cfg.Waves[name]
	if !ok || w.State == fleet.WaveEnded {
		return nil, nil
	}
	if w.State == fleet.WaveRunning && facts.Failures > facts.FailureLimit && !mutation.ignoreFailures {
		cause := fmt.Sprintf("%d workers failed within %s, more than the %d expected by chance", facts.Failures, FailureWindow, facts.FailureLimit)
		w.State, w.Cause, w.At, w.Return = fleet.WavePaused, cause, now, true
		return single(waveChange(cfg, name, w, w.ID+"/pause-"+fmt.Sprint(cfg.Version), "pause-wave", cause))
	}
	var out []change.Change
	for _, worker := range w.Workers {
		c, err := nextStep(cfg, now, w, name, worker, facts)
		if err != nil {
			return nil, err
		}
		if c.ID != "" {
			out = append(out, c)
		}
	}
	more, err := planDrains(cfg, now, name, w, facts)
	if err != nil || len(out)+len(more) > 0 {
		return append(out, more...), err
	}
	return endWave(cfg, now, name, w)
}

// planDrains returns the changes that drain as many workers as the budgets allow.
func planDrains(cfg *fleet.Config, now time.Time, name string, w fleet.Wave, facts Facts) ([]change.Change, error) {
	if w.State != fleet.WaveRunning && !mutation.ignorePause || outsideWindow(cfg, now, w) != "" {
		return nil, nil
	}
	var out []change.Change
	tally := budget.NewFor(cfg, facts.Hosts, poolsOf(cfg, w))
	for _, worker := range sortByDomain(tally, w.Workers) {
		if !pending(w, cfg.Workers[worker]) || drainBlocker(cfg, tally, worker) != nil {
			continue
		}
		tally.MarkAbsent(worker)
		c, err := drainWorker(cfg, now, name, w, worker, tally)
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

// outsideWindow returns the reason why the window permits no drain now, or "".
func outsideWindow(cfg *fleet.Config, now time.Time, w fleet.Wave) string {
	switch {
	case mutation.ignoreWindow:
		return ""
	case now.Before(w.From):
		return "the window begins at " + w.From.Format(time.RFC3339)
	case !now.Before(w.To):
		return "the window is over"
	case now.Add(meanWorkerTime(cfg, w)).After(w.To):
		return fmt.Sprintf("the window ends at %s, too early for another worker (%s each)", w.To.Format(time.RFC3339), meanWorkerTime(cfg, w).Round(time.Second))
	default:
		return ""
	}
}

// poolsOf returns the pools of the workers of the waves.
func poolsOf(cfg *fleet.Config, waves ...fleet.Wave) map[string]bool {
	pools := make(map[string]bool)
	for _, w := range waves {
		for _, worker := range w.Workers {
			pools[cfg.Workers[worker].Pool] = true
		}
	}
	return pools
}

// sortByDomain sorts workers by zone and rack, so that faults caused by the wave stay in few
// failure domains. While a budget limits one domain, the next one is drained.
func sortByDomain(tally *budget.Tally, workers []string) []string {
	type placed struct{ zone, rack, name string }
	all := make([]placed, 0, len(workers))
	for _, name := range workers {
		zone, rack := tally.FailureDomains(name)
		all = append(all, placed{zone, rack, name})
	}
	slices.SortFunc(all, func(a, b placed) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.rack, b.rack), cmp.Compare(a.name, b.name))
	})
	out := make([]string, 0, len(all))
	for _, p := range all {
		out = append(out, p.name)
	}
	return out
}

// drainBlocker returns the reason why the worker must not be drained now, or nil. It is an
// error and not a string, so that the text is formatted only when an operator reads it: the
// planner calls drainBlocker for each worker.
func drainBlocker(cfg *fleet.Config, tally *budget.Tally, worker string) error {
	r, known := cfg.Workers[worker]
	switch {
	case !known:
		return errUnknown
	case r.Move != nil:
		return &blockedError{"the worker moves to pool " + r.Move.To}
	case r.Maintenance != nil && r.Maintenance.Step == fleet.MaintenanceQuarantined:
		return &blockedError{"the worker is quarantined: " + r.Maintenance.Reason}
	case r.Maintenance.IsActive():
		return &blockedError{"the worker is in wave " + r.Maintenance.Wave}
	case r.Permit != nil:
		return &blockedError{fmt.Sprintf("the worker holds a permit (%s) since %s", r.Permit.Cause, r.Permit.At.Format(time.RFC3339))}
	case r.Leaving:
		return errDrained
	case !tally.Serves(worker):
		return errAbsent
	case mutation.ignoreBudget:
		return nil
	default:
		return tally.Refusal(worker)
	}
}

// blockedError is a reason why a worker must not be drained now.
type blockedError struct{ reason string }

func (e *blockedError) Error() string { return e.reason }

var (
	errUnknown = &blockedError{"the worker is no longer in the configuration"}
	errDrained = &blockedError{"the worker was drained by an operator"}
	errAbsent  = &blockedError{"the worker is not in the host list, or leaving there"}
)

func drainWorker(cfg *fleet.Config, now time.Time, name string, w fleet.Wave, worker string, tally *budget.Tally) (change.Change, error) {
	r := cfg.Workers[worker]
	attempt := 1
	if m := maintenanceIn(w, r); m != nil {
		attempt += m.Attempt
	}
	// Zone and rack are recorded because the host list does not show them while the worker
	// is absent.
	r.Zone, r.Rack = tally.FailureDomains(worker)
	r.Leaving = true
	r.Permit = &fleet.Permit{ID: fmt.Sprintf("%s/%s/%d", w.ID, worker, attempt), Cause: fleet.CauseWave, At: now}
	r.Maintenance = &fleet.Maintenance{Wave: name, WaveID: w.ID, Attempt: attempt, Step: fleet.MaintenanceDraining, Began: now, At: now}
	return workerChange(cfg, worker, r, "drain-worker", "wave "+name+": "+w.Reason)
}

// nextStep returns the change for the next step of a worker that the wave has drained. The
// change is empty if no step is due.
func nextStep(cfg *fleet.Config, now time.Time, w fleet.Wave, name, worker string, facts Facts) (change.Change, error) {
	r := cfg.Workers[worker]
	m := maintenanceIn(w, r)
	if m == nil {
		return change.Change{}, nil
	}
	switch m.Step {
	case fleet.MaintenanceDraining, fleet.MaintenanceEmpty:
		switch {
		case w.Return && !mutation.keepDrained:
			return withdraw(cfg, now, worker, "wave "+name+" is "+string(w.State)+": "+w.Cause)
		case m.Step == fleet.MaintenanceEmpty || mutation.rebootUndrained:
			return advanceDrained(cfg, now, worker, fleet.MaintenanceRebooting, "")
		}
	case fleet.MaintenanceRebooting:
		switch state := facts.Reboots[worker]; {
		case state == Up || state == Bad && mutation.returnBad:
			return returnWorker(cfg, now, worker, fleet.MaintenanceReturning, "")
		case state == Bad:
			return advanceDrained(cfg, now, worker, fleet.MaintenanceQuarantined, "came back bad after its reboot")
		case now.Sub(m.At) >= RebootTimeout && !mutation.waitForever:
			return advanceDrained(cfg, now, worker, fleet.MaintenanceQuarantined, fmt.Sprintf("did not come back within %s of its reboot", RebootTimeout))
		}
	case fleet.MaintenanceReturning:
		if now.Sub(m.At) >= ReturnTimeout && !mutation.waitForever {
			return advanceDrained(cfg, now, worker, fleet.MaintenanceQuarantined, fmt.Sprintf("was not in the host list within %s of its return", ReturnTimeout))
		}
	}
	return change.Change{}, nil
}

// withdraw returns the change that ends the drain of a worker before its reboot.
func withdraw(cfg *fleet.Config, now time.Time, worker, reason string) (change.Change, error) {
	return returnWorker(cfg, now, worker, fleet.MaintenanceWithdrawn, reason)
}

// returnWorker returns the change that ends the drain of a worker. The worker keeps its
// permit until the host list shows it.
func returnWorker(cfg *fleet.Config, now time.Time, worker string, step fleet.MaintenanceStep, reason string) (change.Change, error) {
	r := cfg.Workers[worker]
	r.Leaving = false
	return advance(cfg, now, worker, r, step, reason)
}

func advanceDrained(cfg *fleet.Config, now time.Time, worker string, step fleet.MaintenanceStep, reason string) (change.Change, error) {
	r := cfg.Workers[worker]
	r.Leaving = true
	return advance(cfg, now, worker, r, step, reason)
}

func advance(cfg *fleet.Config, now time.Time, worker string, r fleet.Worker, step fleet.MaintenanceStep, reason string) (change.Change, error) {
	m := *r.Maintenance
	m.Step, m.At, m.Reason = step, now, reason
	r.Maintenance = &m
	return workerChange(cfg, worker, r, string(step)+"-worker", reason)
}

// Confirm returns the change that records that a draining worker is empty. If it may still
// have work, wait is the reason.
func Confirm(cfg *fleet.Config, now time.Time, worker string, ev move.Evidence) (c change.Change, wait string, err error) {
	if wait = ev.Occupied(); wait != "" {
		return c, wait, nil
	}
	c, err = advanceDrained(cfg, now, worker, fleet.MaintenanceEmpty, "")
	return c, "", err
}

// endWave returns the change that ends a wave. It returns none while a worker is out, or while
// workers still have to be drained and the window is not over.
func endWave(cfg *fleet.Config, now time.Time, name string, w fleet.Wave) ([]change.Change, error) {
	unfinished := 0
	for _, worker := range w.Workers {
		r, known := cfg.Workers[worker]
		if known && maintenanceIn(w, r).IsActive() {
			return nil, nil
		}
		if known && pending(w, r) {
			unfinished++
		}
	}
	if unfinished > 0 && now.Before(w.To) || w.State == fleet.WaveAborted {
		return nil, nil
	}
	w.State, w.At, w.Cause = fleet.WaveEnded, now, "no worker is left to do"
	if unfinished > 0 {
		w.Cause = fmt.Sprintf("the window is over with %d workers not done", unfinished)
	}
	return single(waveChange(cfg, name, w, w.ID+"/end", "end-wave", w.Cause))
}

func single(c change.Change, err error) ([]change.Change, error) { return []change.Change{c}, err }

func workerChange(cfg *fleet.Config, worker string, r fleet.Worker, action, reason string) (change.Change, error) {
	m := r.Maintenance
	return changeTo(cfg, change.Change{
		ID:     fmt.Sprintf("%s/%s/%d/%s", m.WaveID, worker, m.Attempt, m.Step),
		Action: action, Reason: reason, Kind: change.KindWorker, Name: worker,
	}, r)
}

func waveChange(cfg *fleet.Config, name string, w fleet.Wave, id, action, reason string) (change.Change, error) {
	return changeTo(cfg, change.Change{ID: id, Action: action, Reason: reason, Kind: change.KindWave, Name: name}, w)
}

func changeTo(cfg *fleet.Config, c change.Change, after any) (change.Change, error) {
	c.Version, c.Operator = cfg.Version, move.Operator
	var err error
	if c.Before, err = cfg.Object(c.Kind, c.Name); err != nil {
		return change.Change{}, err
	}
	c.After, err = json.Marshal(after)
	return c, err
}
