package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/minionfake"
	"egretdrum.example/refusal"
)

// attempt is what a caller saw of one try. Tries of the same request have the same id.
type attempt struct {
	id, team, method, host string
	status                 int
	reason, run            string
	// failed is the fault of a connection that ended without a complete response.
	failed string
	// foreign is set when the response belongs to another request.
	foreign bool
}

// judgement is what the verdicts are based on: the callers' view and the minions' records.
type judgement struct {
	attempts []attempt
	records  map[string]minionfake.Record
	// crashed names the hosts on which connections may break.
	crashed map[string]bool
}

// byID counts the runs of each request, and those that were complete.
func (j judgement) byID() (all, complete map[string]int) {
	all, complete = make(map[string]int), make(map[string]int)
	for _, record := range j.records {
		for _, r := range record.Runs {
			all[r.RequestID]++
			if r.Complete {
				complete[r.RequestID]++
			}
		}
	}
	return all, complete
}

// lost finds successful responses without a complete run, and responses that belong to
// another request.
func (j judgement) lost() (broken []string) {
	_, complete := j.byID()
	for _, a := range j.attempts {
		if a.foreign || (a.run == refusal.RunYes && a.status == http.StatusOK && complete[a.id] == 0) {
			broken = append(broken, fmt.Sprintf("%+v: the response of no complete run of it", a))
		}
	}
	return broken
}

// cut finds connections that ended without a response at a host that did not crash.
func (j judgement) cut() (broken []string) {
	for _, a := range j.attempts {
		if a.failed != "" && !j.crashed[a.host] {
			broken = append(broken, fmt.Sprintf("%+v: cut", a))
		}
	}
	return broken
}

// doubled finds non-idempotent ids that ran more than once.
func (j judgement) doubled() (broken []string) {
	all, _ := j.byID()
	for _, record := range j.records {
		for _, r := range record.Runs {
			if r.Method == http.MethodPost && all[r.RequestID] > 1 {
				broken = append(broken, fmt.Sprintf("%s ran %d times", r.RequestID, all[r.RequestID]))
			}
		}
	}
	return broken
}

// refusedRan finds ids that ran although every try was refused as not run.
func (j judgement) refusedRan() (broken []string) {
	all, _ := j.byID()
	possible := make(map[string]bool)
	for _, a := range j.attempts {
		possible[a.id] = possible[a.id] || a.run != refusal.RunNo
	}
	for id, may := range possible {
		if !may && all[id] > 0 {
			broken = append(broken, fmt.Sprintf("%s was refused as not run and ran", id))
		}
	}
	return broken
}

// overSlots finds minions with more running requests than slots.
func (j judgement) overSlots() (broken []string) {
	for worker, record := range j.records {
		if record.Peak > slots {
			broken = append(broken, fmt.Sprintf("%s had %d running in %d slots", worker, record.Peak, slots))
		}
	}
	return broken
}

// overLimit finds runs of a team that started after a moment and while as many as its
// limit were running.
func (j judgement) overLimit(team string, limit int, from time.Time) (broken []string) {
	type event struct {
		at time.Time
		n  int
		id string
	}
	var events []event
	for _, record := range j.records {
		for _, r := range record.Runs {
			if r.Team != team {
				continue
			}
			events = append(events, event{r.Started, 1, r.RequestID})
			if !r.Ended.IsZero() {
				events = append(events, event{r.Ended, -1, ""})
			}
		}
	}
	slices.SortFunc(events, func(a, b event) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.n, b.n)) })
	running := 0
	for _, e := range events {
		running += e.n
		if e.n > 0 && running > limit && !e.at.Before(from) {
			broken = append(broken, fmt.Sprintf("%s started as number %d of team %s, whose limit is %d", e.id, running, team, limit))
		}
	}
	return broken
}

// ranAfterWithdrawal finds requests with a key that was withdrawn everywhere before they
// were sent, and that were not refused for it or ran.
func (j judgement) ranAfterWithdrawal(ids []string) (broken []string) {
	all, _ := j.byID()
	for _, a := range j.attempts {
		if slices.Contains(ids, a.id) && (a.reason != string(refusal.KeyUnknown) || all[a.id] > 0) {
			broken = append(broken, fmt.Sprintf("%+v: the key was withdrawn; %d runs", a, all[a.id]))
		}
	}
	return broken
}

// retriedTooMuch checks the bound of attempts that retries may add.
func retriedTooMuch(attempts, offered int) (broken []string) {
	if 10*attempts >= 12*offered {
		broken = append(broken, fmt.Sprintf("%d attempts for %d requests", attempts, offered))
	}
	return broken
}

// everything applies the rules that hold in every case.
func (j judgement) everything() []string {
	broken := slices.Concat(j.lost(), j.cut(), j.doubled(), j.refusedRan(), j.overSlots())
	for team, limit := range limits {
		broken = append(broken, j.overLimit(team, limit, time.Time{})...)
	}
	return broken
}

func (j judgement) check(c *qt.C, broken []string) {
	c.Check(broken[:min(len(broken), 5)], qt.HasLen, 0, qt.Commentf("%d broken rules", len(broken)))
}

// TestVerdicts shows that each verdict catches a made-up violation and passes its nearest
// legal neighbour, so that a clean process test means something.
func TestVerdicts(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	run := func(id, method string, start, end int, complete bool) minionfake.Run {
		return minionfake.Run{RequestID: id, Team: "t", Method: method, Started: at(start), Ended: at(end), Complete: complete}
	}
	of := func(peak int, runs ...minionfake.Run) map[string]minionfake.Record {
		return map[string]minionfake.Record{"w1": {Peak: peak, Runs: runs}}
	}
	one := func(a attempt) []attempt { a.id = "a"; return []attempt{a} }
	post := run("a", "POST", 0, 10, true)
	for _, test := range []struct {
		name       string
		bad, legal judgement
		verdict    func(judgement) []string
	}{
		{"lost", judgement{attempts: one(attempt{run: "yes", status: 200}), records: of(1, run("a", "POST", 0, 10, false))}, judgement{attempts: one(attempt{run: "yes", status: 200}), records: of(1, post)}, judgement.lost},
		{"foreign", judgement{attempts: one(attempt{run: "yes", foreign: true}), records: of(1, post)}, judgement{}, judgement.lost},
		{"cut", judgement{attempts: one(attempt{host: "e1", failed: "EOF"})}, judgement{attempts: one(attempt{host: "e1", failed: "EOF"}), crashed: map[string]bool{"e1": true}}, judgement.cut},
		{"doubled", judgement{records: of(1, post, run("a", "POST", 20, 30, false))}, judgement{records: of(1, run("a", "GET", 0, 10, false), run("a", "GET", 20, 30, true))}, judgement.doubled},
		{"refused and ran", judgement{attempts: one(attempt{run: "no"}), records: of(1, post)}, judgement{attempts: append(one(attempt{run: "no"}), attempt{id: "a", run: "unknown"}), records: of(1, post)}, judgement.refusedRan},
		{"over slots", judgement{records: of(slots + 1)}, judgement{records: of(slots)}, judgement.overSlots},
		{"over limit", judgement{records: of(2, post, run("b", "GET", 9, 12, true))}, judgement{records: of(2, post, run("b", "GET", 10, 12, true))}, func(j judgement) []string { return j.overLimit("t", 1, at(9)) }},
		{"over a limit that never ends", judgement{records: of(2, minionfake.Run{Team: "t", Started: at(1)}, run("b", "GET", 9, 12, true))}, judgement{records: of(2, post, run("b", "GET", 8, 12, true))}, func(j judgement) []string { return j.overLimit("t", 1, at(9)) }},
		{"withdrawn key ran", judgement{attempts: one(attempt{reason: "key-unknown", run: "no"}), records: of(1, post)}, judgement{attempts: one(attempt{reason: "key-unknown", run: "no"})}, func(j judgement) []string { return j.ranAfterWithdrawal([]string{"a"}) }},
		{"withdrawn key answered", judgement{attempts: one(attempt{run: "yes", status: 200})}, judgement{attempts: one(attempt{run: "yes", status: 200})[:0]}, func(j judgement) []string { return j.ranAfterWithdrawal([]string{"a"}) }},
		{"retried too much", judgement{attempts: make([]attempt, 12)}, judgement{attempts: make([]attempt, 11)}, func(j judgement) []string { return retriedTooMuch(len(j.attempts), 10) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(test.verdict(test.bad), qt.Not(qt.HasLen), 0)
			c.Check(test.verdict(test.legal), qt.HasLen, 0)
		})
	}
}
