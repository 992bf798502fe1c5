package operator

import (
	"fmt"
	"strconv"
	"time"

	"egretdrum.example/change"
	"egretdrum.example/contract"
	"egretdrum.example/fleet"
)

// Kinds of objects that can be explained.
const (
	KindRequest = "request"
	KindHost    = "host"
	KindTeam    = "team"
	KindMove    = "move"
	KindWave    = "wave"
	KindZone    = "zone"
)

// Explanation describes why an object is in its current state.
type Explanation struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Summary string `json:"summary"`
	Facts   []Fact `json:"facts"`
}

// Fact is one line of an explanation.
type Fact struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// NotFoundError reports an object that the answering entry host has no record of.
type NotFoundError struct{ Kind, Name, Reason string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("%s %q: %s", e.Kind, e.Name, e.Reason) }

// ExplanationOf returns what the configuration says about a team or a host. Requests
// are not part of the configuration; the entry host explains them.
func ExplanationOf(cfg *fleet.Config, kind, name string) (Explanation, error) {
	e := Explanation{Kind: kind, Name: name}
	switch kind {
	case KindTeam:
		c, ok := cfg.Contracts[name]
		if !ok {
			return e, &NotFoundError{Kind: kind, Name: name, Reason: "has no contract"}
		}
		e.Summary = fmt.Sprintf("%s may run %d requests at the same time and has %s of a full fleet", name, c.Limit, contract.FormatShare(c.Share))
		e.Facts = []Fact{{Name: "keys", Value: strconv.Itoa(len(c.Keys))}}
		e.addLastChange(cfg, change.KindContract)
		return e, nil
	case KindHost, KindMove:
		w, ok := cfg.Workers[name]
		if !ok {
			return e, &NotFoundError{Kind: kind, Name: name, Reason: "is not in the configuration"}
		}
		e.addWorker(w)
		if z, evacuated := cfg.Zones[w.Zone]; evacuated {
			e.Summary += "; its zone is under evacuation, so it gets no new work"
			e.Facts = append(e.Facts, zoneFact(w.Zone, z))
		}
		if kind == KindMove && w.Move == nil {
			e.Summary = fmt.Sprintf("%s is in no move; it is in pool %s", name, w.Pool)
		}
		return e, nil
	case KindZone:
		z, evacuated := cfg.Zones[name]
		e.Summary = fmt.Sprintf("%s is not under evacuation", name)
		if evacuated {
			e.Summary = fmt.Sprintf("%s is under evacuation: its workers get no new work, and what runs there goes on", name)
			e.Facts = append(e.Facts, zoneFact(name, z))
		}
		e.addLastChange(cfg, change.KindZone)
		return e, nil
	default:
		return e, &NotFoundError{Kind: kind, Name: name, Reason: "this entry host keeps no record of it"}
	}
}

func zoneFact(name string, z fleet.Zone) Fact {
	return Fact{Name: "zone under evacuation", Value: fmt.Sprintf("%s since %s, reason %q", name, z.Since.Format(time.RFC3339), z.Reason)}
}

// addWorker adds the state of a worker; addHistory adds its history from the audit trail.
func (e *Explanation) addWorker(w fleet.Worker) {
	e.Summary = fmt.Sprintf("%s serves in pool %s", e.Name, w.Pool)
	if w.Leaving {
		e.Summary = fmt.Sprintf("%s is leaving pool %s and gets no new work", e.Name, w.Pool)
	}
	e.Facts = []Fact{{Name: "pool", Value: w.Pool}, {Name: "leaving", Value: strconv.FormatBool(w.Leaving)}}
	if p := w.Permit; p != nil {
		e.Facts = append(e.Facts, Fact{Name: "permit", Value: fmt.Sprintf("%s since %s, forced %t", p.Cause, p.At.Format(time.RFC3339), p.Forced)})
	}
	if m := w.Maintenance; m != nil {
		v := fmt.Sprintf("%s in wave %s since %s", m.Step, m.Wave, m.At.Format(time.RFC3339))
		if m.Reason != "" {
			v += ": " + m.Reason
		}
		e.Facts = append(e.Facts, Fact{Name: "maintenance", Value: v})
	}
	e.addMove(w.Move)
}

// addMove adds the state of a move in progress.
func (e *Explanation) addMove(m *fleet.Move) {
	if m == nil {
		return
	}
	e.Summary = fmt.Sprintf("%s moves from pool %s to pool %s and gets no new work", e.Name, m.From, m.To)
	if m.RollBack {
		e.Summary += "; the move is rolled back"
	}
	e.Facts = append(e.Facts, Fact{Name: "move step", Value: fmt.Sprintf("%s since %s", m.Step, m.At.Format(time.RFC3339))})
	if m.Stuck != "" {
		e.Facts = append(e.Facts, Fact{Name: "move stuck", Value: m.Stuck})
	}
}

// addLastChange adds the newest recent change of the object.
func (e *Explanation) addLastChange(cfg *fleet.Config, kind string) {
	for n := len(cfg.Recent) - 1; n >= 0; n-- {
		if c := cfg.Recent[n]; c.Kind == kind && c.Name == e.Name {
			e.Facts = append(e.Facts, Fact{Name: "last change", Value: fmt.Sprintf("version %d, %s by %s, reason %q", c.Version, c.Action, c.Operator, c.Reason)})
			return
		}
	}
}
