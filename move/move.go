// Package move decides the steps of a worker's move from one pool to another: drain,
// confirm empty, hand over, admit. The state is in the worker's record of the
// configuration document, so a move survives every crash. Each step is one change whose
// id is derived from the move and the step, so that two drivers cannot do it twice. The
// package does no input or output.
package move

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
)

// StuckAfter is the time after which an overdue step is reported. Grants of a crashed
// owner end within 66 s and a planned change of owner can add as much; the rest covers
// the removal of a crashed member.
const StuckAfter = 150 * time.Second

// Operator is the author of the changes that drivers make.
const Operator = "egretdrum"

// Evidence is what the driving entry host knows about the worker. It has to be collected after
// the version of the document took effect on this host.
type Evidence struct {
	// Owner reports whether this host owns the worker's slots now and knows all grants on it.
	Owner bool
	// Outstanding counts the grants that have not ended.
	Outstanding int
	// Lagging names the members that do not have the document yet. They could become the
	// owner of the slots and grant them for the former pool.
	Lagging []string
	// Listed reports whether the host list shows the worker, and ListedLeaving whether it
	// shows it as leaving.
	Listed, ListedLeaving bool
}

const notOwnerReason = "this entry host does not own the worker's slots"

// mutation switches off single rules. Only tests set it, to show that the test of each
// rule fails without the rule.
var mutation struct {
	ignoreGrants, ignoreOwner, ignoreLagging, admitUnlisted bool
}

// Start returns the change that starts a move of the worker to pool. A forced move may exceed
// availability budgets.
func Start(cfg *fleet.Config, now time.Time, id, worker, pool string, forced bool) (change.Change, error) {
	w, ok := cfg.Workers[worker]
	if !ok {
		return change.Change{}, &fleet.ReferenceError{Kind: change.KindWorker, Name: worker, From: "the move"}
	}
	if w.Move != nil {
		return change.Change{}, &fleet.RangeError{Field: "worker " + worker + ": move", Value: "in progress to " + w.Move.To, Accepted: "one move at a time; wait for its end or roll it back"}
	}
	if w.Maintenance.IsActive() {
		return change.Change{}, &fleet.RangeError{Field: "worker " + worker + ": maintenance", Value: string(w.Maintenance.Step) + " in wave " + w.Maintenance.Wave, Accepted: "a worker that no wave has taken out; wait, or abort the wave"}
	}
	w.Move = &fleet.Move{ID: id, From: w.Pool, To: pool, Step: fleet.MoveDraining, At: now, KeepDrained: w.Leaving}
	w.Leaving = true
	if w.Permit == nil {
		w.Permit = &fleet.Permit{ID: id, Cause: fleet.CauseMove, At: now, Forced: forced}
	}
	c, err := workerChange(cfg, worker, w, id+"/start", "start-move")
	c.Forced = forced
	return c, err
}

// RollBack returns the change that makes a move end in the pool that it started from.
func RollBack(cfg *fleet.Config, now time.Time, worker string) (change.Change, error) {
	w, ok := cfg.Workers[worker]
	if !ok {
		return change.Change{}, &fleet.ReferenceError{Kind: change.KindWorker, Name: worker, From: "the move"}
	}
	if w.Move == nil {
		return change.Change{}, &fleet.RangeError{Field: "worker " + worker + ": move", Value: "none", Accepted: "a worker that is in a move"}
	}
	m := *w.Move
	m.RollBack, m.At, m.Stuck = true, now, ""
	w.Move = &m
	return workerChange(cfg, worker, w, m.ID+"/roll-back", "roll-back-move")
}

// Next returns the change that does the next step of the worker's move. If the step
// must wait, the change is empty and wait is the reason. The reason does not vary
// with time, so that Stuck can compare it with the recorded one.
func Next(cfg *fleet.Config, now time.Time, worker string, ev Evidence) (c change.Change, wait string, err error) {
	w := cfg.Workers[worker]
	if w.Move == nil {
		return c, "", nil
	}
	if !ev.Owner && !mutation.ignoreOwner {
		return c, notOwnerReason, nil
	}
	m := *w.Move
	m.At, m.Stuck = now, ""
	w.Move = &m
	switch {
	case m.Step == fleet.MoveHandedOver && m.RollBack && w.Pool == m.To:
		w.Pool = m.From
		return stepChange(cfg, worker, w, "hand-back")
	case m.Step == fleet.MoveHandedOver || m.RollBack:
		if reason := unservableReason(ev); reason != "" && !m.KeepDrained {
			return c, reason, nil
		}
		w.Leaving, w.Move = m.KeepDrained, nil
		if !w.Leaving {
			// The evidence shows that the worker serves, which is the condition for the release
			// of a permit.
			w.Permit = nil
		}
		return stepChange(cfg, worker, w, "admit")
	case m.Step == fleet.MoveDraining:
		if reason := ev.Occupied(); reason != "" {
			return c, reason, nil
		}
		m.Step = fleet.MoveEmpty
		return stepChange(cfg, worker, w, "confirm-empty")
	default:
		// The owner may have changed since the confirmation, so the evidence is checked again.
		if reason := ev.Occupied(); reason != "" {
			return c, reason, nil
		}
		w.Pool, m.Step = m.To, fleet.MoveHandedOver
		return stepChange(cfg, worker, w, "hand-over")
	}
}

// Stuck returns the change that records why the step is overdue. The change is empty if the
// reason is recorded already, and until StuckAfter has passed since the last step or record,
// so that alternating reasons cause few writes.
func Stuck(cfg *fleet.Config, now time.Time, worker, reason string) (change.Change, error) {
	w := cfg.Workers[worker]
	if w.Move == nil || w.Move.Stuck == reason || now.Sub(w.Move.At) < StuckAfter {
		return change.Change{}, nil
	}
	m := *w.Move
	m.Stuck, m.At = reason, now
	w.Move = &m
	return workerChange(cfg, worker, w, fmt.Sprintf("%s/stuck-%d", m.ID, cfg.Version), "report-stuck-move")
}

// Occupied returns the reason why the worker may still have work, or "" if it has none.
func (ev Evidence) Occupied() string {
	switch {
	case !ev.Owner && !mutation.ignoreOwner:
		return notOwnerReason
	case len(ev.Lagging) > 0 && !mutation.ignoreLagging:
		return "entry hosts without the newest configuration: " + strings.Join(ev.Lagging, ", ")
	case ev.Outstanding > 0 && !mutation.ignoreGrants:
		return "requests are running on the worker"
	default:
		return ""
	}
}

// unservableReason returns the reason why the worker cannot serve, or "".
func unservableReason(ev Evidence) string {
	switch {
	case mutation.admitUnlisted:
		return ""
	case !ev.Listed:
		return "the worker is not in the host list"
	case ev.ListedLeaving:
		return "the host list shows the worker as leaving"
	default:
		return ""
	}
}

func stepChange(cfg *fleet.Config, worker string, w fleet.Worker, name string) (change.Change, string, error) {
	c, err := workerChange(cfg, worker, w, cfg.Workers[worker].Move.ID+"/"+name, name+"-move")
	return c, "", err
}

func workerChange(cfg *fleet.Config, worker string, w fleet.Worker, id, action string) (change.Change, error) {
	c := change.Change{ID: id, Version: cfg.Version, Operator: Operator, Action: action, Kind: change.KindWorker, Name: worker}
	var err error
	if c.Before, err = cfg.Object(change.KindWorker, worker); err != nil {
		return change.Change{}, err
	}
	c.After, err = json.Marshal(w)
	return c, err
}
