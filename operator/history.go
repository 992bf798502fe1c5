package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/wave"
)

const (
	// The two limits keep an explanation short enough for one screen.
	maxHistoryEntries    = 20
	maxUnfinishedWorkers = 20
)

// addHistory adds the newest decisions about the object, oldest first, with their times
// and reasons. When the store does not answer, it uses the recent changes of the configuration.
func (a *API) addHistory(ctx context.Context, e *Explanation) {
	cfg := a.manager.Config()
	trail, err := a.manager.Audit(ctx)
	if err != nil {
		trail = cfg.Recent
		e.Facts = append(e.Facts, Fact{Name: "history", Value: "recent changes only; the store does not answer"})
	}
	var decisions []change.Change
	for _, c := range trail {
		if e.concerns(cfg, c) {
			decisions = append(decisions, c)
		}
	}
	if omitted := len(decisions) - maxHistoryEntries; omitted > 0 {
		e.Facts = append(e.Facts, Fact{Name: "history", Value: fmt.Sprintf("%d older decisions are not shown; see egretdrum audit", omitted)})
		decisions = decisions[omitted:]
	}
	for _, c := range decisions {
		v := fmt.Sprintf("%s %s by %s", c.At.Format(time.RFC3339), c.Action, c.Operator)
		if c.Kind != e.changeKind() {
			v += " on " + c.Name
		}
		if c.Reason != "" {
			v += ", reason " + fmt.Sprintf("%q", c.Reason)
		}
		if c.Forced {
			v += ", forced"
		}
		e.Facts = append(e.Facts, Fact{Name: fmt.Sprintf("version %d", c.Version), Value: v})
	}
}

func (e *Explanation) changeKind() string {
	if e.Kind == KindWave {
		return change.KindWave
	}
	return change.KindWorker
}

// concerns reports whether a change is a decision about the object. For a wave, changes of its
// workers count only if they were quarantined or withdrawn.
func (e *Explanation) concerns(cfg *fleet.Config, c change.Change) bool {
	if e.Kind == KindWave && c.Kind == change.KindWorker {
		unplanned := strings.HasPrefix(c.Action, string(fleet.MaintenanceQuarantined)) || strings.HasPrefix(c.Action, string(fleet.MaintenanceWithdrawn))
		return unplanned && strings.HasPrefix(c.ID, cfg.Waves[e.Name].ID+"/")
	}
	sameObject := c.Kind == e.changeKind() && c.Name == e.Name
	return sameObject && (e.Kind != KindMove || strings.Contains(c.Action, "move"))
}

// explainWave explains a wave from the configuration and the host list.
func (a *API) explainWave(ctx context.Context, name string) (Explanation, error) {
	e := Explanation{Kind: KindWave, Name: name}
	cfg := a.manager.Config()
	w, ok := cfg.Waves[name]
	if !ok {
		return e, &NotFoundError{Kind: KindWave, Name: name, Reason: "is not in the configuration"}
	}
	list, err := a.hostList(ctx)
	if err != nil {
		return e, err
	}
	p := wave.ProgressOf(cfg, time.Now().UTC(), name, list)
	e.Summary = fmt.Sprintf("wave %s is %s since %s: %s; %d of %d workers are done, %d out, %d quarantined", name, w.State, w.At.Format(time.RFC3339), w.Cause, p.Done, p.Total, p.Out, p.Quarantined)
	e.Facts = append(e.Facts, Fact{Name: "finish", Value: p.Note})
	for n, o := range p.Open {
		if n == maxUnfinishedWorkers {
			e.Facts = append(e.Facts, Fact{Name: "not done", Value: fmt.Sprintf("%d more; see egretdrum wave show %s", len(p.Open)-n, name)})
			break
		}
		e.Facts = append(e.Facts, Fact{Name: "not done", Value: o.Worker + " " + o.Step + ": " + o.Reason})
	}
	return e, nil
}
