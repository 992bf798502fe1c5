package soak

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against checks that overlook a broken promise: each history breaks one of them.
func TestChecksFindBrokenPromises(t *testing.T) {
	const id, first, second = "00000000000000aa", "00000000000000aa.0.0.0", "00000000000000aa.0.1.0"
	start := time.Now().Add(-time.Minute)
	run := func(task string, n int64, from, to int, how string) *interval {
		return &interval{task: task, worker: "w", run: n, from: start.Add(time.Duration(from) * time.Second), to: start.Add(time.Duration(to) * time.Second), how: how}
	}
	accepted := func(final string) *submitted {
		return &submitted{accepted: start, final: final, finalSeen: start.Add(10 * time.Second)}
	}
	cancelled := accepted("cancelled")
	cancelled.cancelled = start
	done := []*interval{run(first, 1, 1, 2, "done"), run(second, 1, 3, 4, "done")}
	for name, c := range map[string]struct {
		job  *submitted
		runs []*interval
		want string
	}{
		"nothing":      {accepted("succeeded"), done, ""},
		"two runs":     {accepted("succeeded"), append(done, run(second, 2, 3, 5, "stopped")), "one-run"},
		"order":        {accepted("succeeded"), []*interval{run(second, 1, 1, 2, "done"), run(first, 1, 1, 3, "done")}, "step-order"},
		"refused":      {&submitted{refusals: 2}, done, "refused-job"},
		"unknown":      {&submitted{others: 1}, done, ""},
		"cancelled":    {cancelled, []*interval{run(first, 1, 1, 30, "stopped")}, "cancelled-job"},
		"in time":      {cancelled, []*interval{run(first, 1, 1, 3, "stopped")}, ""},
		"early":        {accepted("succeeded"), done[:1], "early-success"},
		"not ended":    {accepted(""), done, "unfinished-job"},
		"not failed":   {accepted("failed"), []*interval{run(first, 1, 1, 2, "failed")}, "wrong-failure"},
		"limit":        {accepted("succeeded"), append(done, run(second, 2, 5, 6, "stopped"), run("00000000000000aa.0.1.1", 1, 5, 7, "done"), run("00000000000000aa.0.1.2", 1, 5, 7, "done")), "account-limit"},
		"unknown task": {&submitted{others: 1}, []*interval{run("00000000000000bb.0.0.0", 1, 1, 2, "done")}, "unknown-job"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &callers{c: &cluster{t: t, started: start, failures: make(map[string]int)}, jobs: make(map[string]*submitted), limit: 1000}
			c.job.plan = &plan{
				id: id, queue: "rounds", account: limitedAccount, want: c.job.final,
				steps: []step{{Count: 1, CPU: 600}, {Count: 1, CPU: 600, After: []int{0}}},
			}
			s.jobs[id] = c.job
			s.checkRuns(newHistory(c.runs), start)
			broken := strings.Join(s.c.broken, "\n")
			qt.Assert(t, broken != "", qt.Equals, c.want != "", qt.Commentf("%s", broken))
			qt.Assert(t, strings.Contains(broken, c.want), qt.IsTrue, qt.Commentf("%s", broken))
		})
	}
}
