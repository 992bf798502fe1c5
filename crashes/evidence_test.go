package crashes_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"egretdrum.example/crashes"
	"egretdrum.example/property"
)

func TestMain(m *testing.M) { property.Main(m, "seed=1", "checks=2000") }

// crash is one crash as the oracle keeps it: all of its runs by task.
type crash struct {
	shared bool
	runs   []participant
}

type participant struct {
	task, run int
	started   bool
	present   time.Duration
}

// hasFresh reports whether a run of the crash had just begun.
func (c crash) hasFresh() bool {
	return slices.ContainsFunc(c.runs, func(p participant) bool { return p.present < crashes.Probation })
}

// oracle derives each verdict from the whole history, without counters.
type oracle struct {
	history []crash
	// cleared has the number of crashes in the history at the last time at which a task was cleared.
	cleared map[int]int
}

// counted returns the crashes that count against a task.
func (o *oracle) counted(task int) (total, unconfirmed, weak, shared int) {
	seen := make(map[int]bool)
	for _, c := range o.history[o.cleared[task]:] {
		for _, p := range c.runs {
			if p.task != task || p.present >= crashes.Survival || seen[p.run] {
				continue
			}
			seen[p.run] = true
			total++
			if !p.started {
				unconfirmed++
			}
			switch {
			case p.present >= crashes.Probation && c.hasFresh():
				weak++
			case c.shared:
				shared++
			}
		}
	}
	return total, unconfirmed, weak, shared
}

// seen reports whether a crash under the run counts already.
func (o *oracle) seen(p participant) bool {
	return slices.ContainsFunc(o.history[o.cleared[p.task]:], func(c crash) bool {
		return slices.ContainsFunc(c.runs, func(other participant) bool {
			return other.task == p.task && other.run == p.run && other.present < crashes.Survival
		})
	})
}

func (o *oracle) suspected(task int) bool {
	total, _, weak, shared := o.counted(task)
	return total > weak+shared || total > 1
}

// cause returns the task that a crash proves to be the cause of two, -1 for none.
func (o *oracle) cause(c crash) int {
	var suspects, fresh []participant
	for _, p := range c.runs {
		if p.present >= crashes.Survival {
			continue
		}
		if o.suspected(p.task) {
			suspects = append(suspects, p)
		} else if p.present < crashes.Probation {
			fresh = append(fresh, p)
		}
	}
	if c.shared || len(suspects) != 1 || len(fresh) > 0 || !suspects[0].started {
		return -1
	}
	total, unconfirmed, _, _ := o.counted(suspects[0].task)
	apart := []time.Duration{crashes.Probation, crashes.Probation, 600 * time.Millisecond, crashes.Survival}[min(total, 3)]
	if suspects[0].present >= apart || total-unconfirmed+1 < 2 || o.seen(suspects[0]) {
		return -1
	}
	return suspects[0].task
}

// Guards against tasks that are started after three crashes or given up without the evidence that
// the policy asks for: each verdict has to agree with one derived from the whole history.
func TestVerdictsAgreeWithHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{cleared: make(map[int]int)}
		evidence := make([]crashes.Evidence, 4)
		run := 0
		for range rapid.IntRange(1, 12).Draw(t, "crashes") {
			c := crash{shared: rapid.IntRange(0, 4).Draw(t, "shared") == 0}
			var losses []crashes.Loss
			for task := range evidence {
				if !rapid.Bool().Draw(t, "present") {
					continue
				}
				run++
				p := participant{task: task, run: run, started: rapid.IntRange(0, 3).Draw(t, "started") > 0}
				if counted := evidence[task].Runs; rapid.IntRange(0, 5).Draw(t, "seen again") == 0 && len(counted) > 0 {
					p.run = int(counted[0])
				}
				if p.started {
					p.present = rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, crashes.Probation, time.Second, crashes.Survival}).Draw(t, "for")
				}
				c.runs = append(c.runs, p)
				losses = append(losses, crashes.Loss{Run: int64(p.run), Started: p.started, Present: p.present, Evidence: &evidence[task]})
			}
			want, counted := o.cause(c), make([]bool, len(c.runs))
			for i, p := range c.runs {
				counted[i] = p.present < crashes.Survival && !o.seen(p)
			}
			o.history = append(o.history, c)
			suspects, cause := crashes.Count(losses, c.shared)
			assertCause(t, c, cause, want)
			for i, p := range c.runs {
				if slices.Contains(suspects, i) != counted[i] {
					t.Fatalf("run %d present for %v: counted %t", p.run, p.present, !counted[i])
				}
			}
			if task := rapid.IntRange(0, 8).Draw(t, "cleared"); task < len(evidence) {
				evidence[task].Clear()
				o.cleared[task] = len(o.history)
			}
			for task := range evidence {
				assertEvidence(t, o, task, &evidence[task])
			}
		}
	})
}

func assertCause(t *rapid.T, c crash, cause, want int) {
	got := -1
	if cause >= 0 {
		got = c.runs[cause].task
	}
	if got != want {
		t.Fatalf("cause is task %d, want %d; %v", got, want, c)
	}
}

func assertEvidence(t *rapid.T, o *oracle, task int, e *crashes.Evidence) {
	total, unconfirmed, weak, shared := o.counted(task)
	exhausted := total-weak >= 3 && total-unconfirmed >= 2 || total >= 5
	counts := len(e.Runs) == total && e.Unconfirmed == unconfirmed && e.Weak == weak && e.Shared == shared
	if !counts || e.Suspected() != o.suspected(task) || e.AwaitsStore() != (total >= 2) || e.Exhausted() != exhausted {
		t.Fatalf("task %d: %+v, want %d runs, %d not confirmed, %d weak, %d shared; suspected %t, exhausted %t", task, *e, total, unconfirmed, weak, shared, o.suspected(task), exhausted)
	}
}

// Guards against a crash that several owners see and that counts more than once.
func TestCrashCountsOnce(t *testing.T) {
	var e crashes.Evidence
	for range 3 {
		_, cause := crashes.Count([]crashes.Loss{{Run: 7, Started: true, Evidence: &e}}, false)
		qt.Assert(t, cause, qt.Equals, -1)
	}
	qt.Assert(t, e.Runs, qt.DeepEquals, []int64{7})
	_, cause := crashes.Count([]crashes.Loss{{Run: 9, Started: true, Evidence: &e}}, false)
	qt.Assert(t, cause, qt.Equals, 0)
}

// Guards against the loss of a rack that is blamed on its tasks, and against two crashes in a large
// rack that pass for such a loss.
func TestSharedCrashes(t *testing.T) {
	for _, c := range []struct {
		crashed, workers int
		shared           bool
	}{{1, 1, false}, {2, 2, false}, {3, 6, true}, {3, 8, false}, {8, 8, true}} {
		qt.Check(t, crashes.Shared(c.crashed, c.workers), qt.Equals, c.shared)
	}
}
