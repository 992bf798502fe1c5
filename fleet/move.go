package fleet

import (
	"fmt"
	"strconv"
	"time"
)

// MoveStep is the last completed step of a move.
type MoveStep string

// Steps of a move, in order. A worker is leaving from the first to the last step, so that
// the two pools never have work on it at the same time.
const (
	// MoveDraining: the worker gets no new work and finishes its running requests.
	MoveDraining MoveStep = "draining"
	// MoveEmpty: the owner of its slots has confirmed that no grant is outstanding.
	MoveEmpty MoveStep = "empty"
	// MoveHandedOver: the worker is in the other pool and still gets no work.
	MoveHandedOver MoveStep = "handed-over"
)

// Move is the state of a move. It is part of the worker's record until the move ends.
type Move struct {
	ID   string   `json:"id"`
	From string   `json:"from"`
	To   string   `json:"to"`
	Step MoveStep `json:"step"`
	// At is when Step or Stuck was recorded.
	At time.Time `json:"at"`
	// KeepDrained is set when the worker was leaving before the move. It then stays leaving
	// afterwards, because it was taken out of service for another reason.
	KeepDrained bool `json:"keep-drained,omitempty"`
	// RollBack is set when the worker must return to the pool From.
	RollBack bool `json:"roll-back,omitempty"`
	// Stuck is the reason why the next step is overdue.
	Stuck string `json:"stuck,omitempty"`
}

// validateMove checks that a moving worker is in the pool that its step requires, and that
// it is leaving.
func (cfg *Config) validateMove(worker string, w Worker) error {
	m := w.Move
	if m == nil || mutation.skipMoveCheck {
		return nil
	}
	field := "worker " + worker + ": "
	for _, pool := range []string{m.From, m.To} {
		if _, ok := cfg.Pools[pool]; !ok {
			return &ReferenceError{Kind: "pool", Name: pool, From: "the move of worker " + worker}
		}
	}
	switch {
	case m.ID == "":
		return &RangeError{Field: field + "move id", Value: `""`, Accepted: "a unique id"}
	case m.From == m.To:
		return &RangeError{Field: field + "move to", Value: m.To, Accepted: "another pool than " + m.From}
	case !w.Leaving:
		return &RangeError{Field: field + "leaving", Value: strconv.FormatBool(w.Leaving), Accepted: "true while the worker moves to " + m.To + "; roll the move back first"}
	}
	want := m.From
	switch m.Step {
	case MoveDraining, MoveEmpty:
	case MoveHandedOver:
		want = m.To
		if m.RollBack && w.Pool == m.From {
			want = m.From
		}
	default:
		return &RangeError{Field: field + "move step", Value: fmt.Sprintf("%q", m.Step), Accepted: "draining, empty or handed-over"}
	}
	if w.Pool != want {
		return &RangeError{Field: field + "pool", Value: w.Pool, Accepted: want + " at step " + string(m.Step) + " of its move"}
	}
	return nil
}
