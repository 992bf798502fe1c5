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
	// historyLength and openLength bound an explanation to what fits on a screen.
	historyLength = 20
	openLength    = 20
)

// addHistory adds the newest decisions about the object, oldest first, with their times
// and causes. When the store does not answer, the recent changes are all there is.
func (a *API) addHistory(ctx context.Context, e *Explanation) {
	cfg := a.keeper.Config()
	trail, err := a.keeper.Audit(ctx)
	if err != nil {
		trail = cfg.Recent
		e.Facts = append(e.Facts, Fact{Name: "history", Value: "recent changes only; the store does not answer"})
	}
	var own []change.Change
	for _, c := range trail {
		if e.concerns(cfg, c) {
			own = append(own, c)
		}
	}
	if over := len(own) - historyLength; over > 0 {
		e.Facts = append(e.Facts, Fact{Name: "history", Value: fmt.Sprintf("%d older decisions are not shown; see egretdrum audit", over)})
		own = own[over:]
	}
	for _, c := range own {
		v := fmt.Sprintf("%s %s by %s", c.At.Format(time.RFC3339), c.Action, c.Operator)
		if c.Kind != e.objectKind() {
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

func (e *Explanation) objectKind() string {
	if e.Kind == KindWave {
		return change.KindWave
	}
	return change.KindWorker
}

// concerns reports whether a change is a decision about the object. Of the workers of a
// wave only what did not go to plan counts.
func (e *Explanation) concerns(cfg *fleet.Config, c change.Change) bool {
	if e.Kind == KindWave && c.Kind == change.KindWorker {
		unplanned := strings.HasPrefix(c.Action, string(fleet.MaintenanceQuarantined)) || strings.HasPrefix(c.Action, string(fleet.MaintenanceWithdrawn))
		return unplanned && strings.HasPrefix(c.ID, cfg.Waves[e.Name].ID+"/")
	}
	own := c.Kind == e.objectKind() && c.Name == e.Name
	return own && (e.Kind != KindMove || strings.Contains(c.Action, "move"))
}

// explainWave explains a wave by the document and the host list.
func (a *API) explainWave(ctx context.Context, name string) (Explanation, error) {
	e := Explanation{Kind: KindWave, Name: name}
	cfg := a.keeper.Config()
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
		if n == openLength {
			e.Facts = append(e.Facts, Fact{Name: "not done", Value: fmt.Sprintf("%d more; see egretdrum wave show %s", len(p.Open)-n, name)})
			break
		}
		e.Facts = append(e.Facts, Fact{Name: "not done", Value: o.Worker + " " + o.Step + ": " + o.Reason})
	}
	return e, nil
}
