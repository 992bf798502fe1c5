package demo

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"egretdrum.example/minionfake"
	"egretdrum.example/refusal"
)

// withdrawalGrace allows for requests that had passed the key check when the key was
// withdrawn, but had not reached a minion yet.
const withdrawalGrace = 100 * time.Millisecond

// drainTime is the time after which a leaving worker gets no new work.
const drainTime = 2 * time.Second

// warmUpTime is the time at the start of the share measurement that is left out, because the
// queues are still filling.
const warmUpTime = 2 * time.Second

// measureShares compares the slot time of each team in the full pool with its share.
func (d *Demo) measureShares(context.Context) error {
	end := time.Now()
	start := end.Add(warmUpTime - fillTime)
	used := make(map[string]time.Duration)
	var total time.Duration
	for _, runs := range d.runs() {
		for _, r := range runs {
			if !strings.HasPrefix(r.Team, "tengri/") || r.Started.Before(start) || r.Ended.IsZero() {
				continue
			}
			used[r.Team] += r.Ended.Sub(r.Started)
			total += r.Ended.Sub(r.Started)
		}
	}
	var shares int64
	for _, t := range accounts[0].teams {
		shares += t.share
	}
	for _, t := range accounts[0].teams {
		fraction := used["tengri/"+t.name].Seconds() / max(total.Seconds(), 1e-9)
		d.report.shares = append(d.report.shares, fmt.Sprintf("tengri/%s %.1f%% of %.1f%%", t.name, 100*fraction, 100*float64(t.share)/float64(shares)))
		d.report.shareDistance = max(d.report.shareDistance, math.Abs(fraction-float64(t.share)/float64(shares)))
	}
	d.report.shareMeasured = total > 0
	return nil
}

func (d *Demo) runs() map[string][]minionfake.Run {
	runs := make(map[string][]minionfake.Run, len(d.cluster.minions))
	for worker, m := range d.cluster.minions {
		runs[worker] = m.Runs()
	}
	return runs
}

// evaluate counts the outcomes that callers saw and checks them against the records of the
// minions.
func (d *Demo) evaluate() {
	r := &d.report
	runs := make(map[string]int)
	byTeam := make(map[string][]minionfake.Run)
	for _, list := range d.runs() {
		for _, run := range list {
			runs[run.RequestID]++
			byTeam[run.Team] = append(byTeam[run.Team], run)
		}
	}
	for _, o := range d.load.outcomes {
		r.count(o, runs[o.id])
	}
	r.sent = d.load.sent
	for _, account := range accounts {
		for _, t := range account.teams {
			if peak := maxConcurrent(byTeam[account.name+"/"+t.name]); peak > t.limit {
				r.addViolation("team %s/%s had %d running; its upper limit is %d", account.name, t.name, peak, t.limit)
			}
		}
	}
	for worker, m := range d.cluster.minions {
		if m.Peak() > slotsPerMinion {
			r.addViolation("minion %s had %d running in %d slots", worker, m.Peak(), slotsPerMinion)
		}
	}
	for _, run := range d.cluster.minions[drainedWorker].Runs() {
		if run.Started.After(r.drainedAt.Add(drainTime)) {
			r.addViolation("request %s ran on %s, which had left", run.RequestID, drainedWorker)
		}
	}
	for _, run := range byTeam[withdrawnTeam] {
		if run.Started.After(r.keyWithdrawn.Add(withdrawalGrace)) && run.Started.Before(r.keyRestored) {
			r.addViolation("request %s ran after its key was withdrawn everywhere", run.RequestID)
		}
	}
}

// count adds one outcome and checks it against the number of runs of the request.
func (r *report) count(o outcome, runs int) {
	if o.refusalReason != "" {
		r.reasons[o.refusalReason+", run: "+o.run]++
	}
	switch {
	case o.lost:
		r.lost++
		r.addViolation("request %s ended without an answer", o.id)
	case o.refusalReason == "":
		r.answered++
	case o.run == refusal.RunNo:
		r.refused++
		if runs > 0 {
			r.addViolation("request %s was refused as not run and ran", o.id)
		}
	default:
		r.unknown++
	}
	if o.method == http.MethodPost && runs > 1 {
		r.duplicated++
		r.addViolation("request %s ran %d times", o.id, runs)
	}
	if o.crossed {
		r.addViolation("request %s got the answer of another one", o.id)
	}
}

// maxAtOnce returns the largest number of overlapping runs.
func maxConcurrent(runs []minionfake.Run) int {
	type event struct {
		at time.Time
		n  int
	}
	events := make([]event, 0, 2*len(runs))
	for _, r := range runs {
		events = append(events, event{r.Started, 1})
		if !r.Ended.IsZero() {
			events = append(events, event{r.Ended, -1})
		}
	}
	slices.SortFunc(events, func(a, b event) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.n, b.n))
	})
	peak, now := 0, 0
	for _, e := range events {
		now += e.n
		peak = max(peak, now)
	}
	return peak
}

func (r *report) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}
