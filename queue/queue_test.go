package queue

import (
	"errors"
	"flag"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"egretdrum.example/refusal"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// The fixed seed makes every run draw the same cases.
var _ = flag.Set("rapid.seed", "1")

var start = time.Unix(1_000_000, 0)

func byDeadline(a, b *Item) int { return a.Deadline.Compare(b.Deadline) }

// oracle knows every waiting item in a plain list and checks each step of the queue.
type oracle struct {
	q       *Queue
	now     time.Time
	waiting []*Item
	limits  map[string]int
	shares  map[string]int64
	run     map[string]int
	err     error
}

func (o *oracle) check(ok bool, format string, args ...any) {
	if !ok && o.err == nil {
		o.err = fmt.Errorf(format, args...)
	}
}

func (o *oracle) leave(it *Item) {
	o.check(slices.Contains(o.waiting, it), "item %s left twice", it.ID)
	o.waiting = slices.DeleteFunc(o.waiting, func(other *Item) bool { return other == it })
}

// live returns the waiting requests of a team, or of all teams for "". Bounds hold for
// these: expired ones no longer wait, they are only held until the next Expire.
func (o *oracle) live(team string) (out []*Item) {
	for _, it := range o.waiting {
		if (team == "" || it.Team == team) && it.Deadline.After(o.now) {
			out = append(out, it)
		}
	}
	return out
}

func (o *oracle) of(team string) int { return len(o.live(team)) }

// onShed checks that only the team furthest above its guaranteed part loses a request,
// an ordinary one if it has any, and of these the latest.
func (o *oracle) onShed(it *Item, pushed string) {
	excess := func(team string) int {
		n := o.of(team) - o.q.bound*int(o.shares[team])/10
		if team == pushed {
			n++
		}
		return n
	}
	for team := range o.limits {
		o.check(excess(team) <= excess(it.Team), "shed from %s although %s is further above its part", it.Team, team)
	}
	for _, other := range o.live(it.Team) {
		kept := other.Urgent && !it.Urgent || other.Urgent == it.Urgent && !other.Deadline.After(it.Deadline)
		o.check(kept, "shed %s before %s", it.ID, other.ID)
	}
	o.leave(it)
}

func (o *oracle) push(it *Item) {
	o.q.shed = func(victim *Item) { o.onShed(victim, it.Team) }
	var refused *RefusedError
	if err := o.q.Push(o.now, it); errors.As(err, &refused) {
		part := o.q.bound * int(o.shares[it.Team]) / 10
		o.check(refused.Reason != refusal.QueueFull || o.of(it.Team) >= min(part, 2*o.limits[it.Team]), "team %s refused below its guaranteed part", it.Team)
		return
	}
	o.waiting = append(o.waiting, it)
	o.check(o.of(it.Team) <= 2*o.limits[it.Team] && o.of("") <= o.q.bound, "team %s has %d waiting, all teams %d", it.Team, o.of(it.Team), len(o.waiting))
}

func (o *oracle) pop(team string, urgentGrant bool) {
	candidates := map[bool][]*Item{}
	for _, it := range o.live(team) {
		candidates[it.Urgent] = append(candidates[it.Urgent], it)
	}
	due := o.run[team] >= 4 && len(candidates[false]) > 0
	want := candidates[!due && (urgentGrant || len(candidates[true]) > 0)]
	got := o.q.Pop(o.now, "s", team, urgentGrant)
	o.check((got == nil) == (len(want) == 0), "popped %v with %d candidates", got, len(want))
	if got == nil || o.err != nil {
		return
	}
	first := slices.MinFunc(want, byDeadline)
	o.check(got.Urgent == first.Urgent && got.Deadline.Equal(first.Deadline), "popped %s, expected %s", got.ID, first.ID)
	o.run[team]++
	if !got.Urgent {
		o.run[team] = 0
	}
	o.leave(got)
}

func (o *oracle) expire() {
	for _, it := range o.q.Expire(o.now) {
		o.leave(it)
	}
	for _, it := range o.waiting {
		o.check(it.Deadline.After(o.now), "item %s is still queued past its deadline", it.ID)
	}
	for team := range o.limits {
		u, n := o.q.Demand("s", team)
		o.check(u+n == o.of(team), "demand of %s is %d+%d, expected %d", team, u, n, o.of(team))
	}
}

// runQueue drives a queue that breakRule may have damaged; it returns the first violation.
func runQueue(t *rapid.T, breakRule func(*Queue)) error {
	o := &oracle{now: start, run: map[string]int{}, limits: map[string]int{"a": 5, "b": 8, "c": 20}, shares: map[string]int64{"a": 2, "b": 3, "c": 5}}
	o.q = New(nil)
	o.q.bound = 20
	o.q.SetTeams(o.limits, o.shares)
	breakRule(o.q)
	teams := rapid.SampledFrom([]string{"a", "b", "c", "c"})
	for i := range rapid.IntRange(1, 150).Draw(t, "steps") {
		switch rapid.IntRange(0, 9).Draw(t, "op") {
		case 0:
			o.expire()
		case 1:
			o.now = o.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
		case 2:
			if len(o.waiting) > 0 {
				it := rapid.SampledFrom(o.waiting).Draw(t, "removed")
				o.check(o.q.Remove(it) && !o.q.Remove(it), "remove of %s does not succeed exactly once", it.ID)
				o.leave(it)
			}
		case 3, 4, 5:
			o.pop(teams.Draw(t, "team"), rapid.Bool().Draw(t, "grant"))
		default:
			team, urgent := teams.Draw(t, "team"), rapid.Bool().Draw(t, "urgent")
			for j, ms := range rapid.SliceOfN(rapid.IntRange(1, 60_000), 1, 15).Draw(t, "timeouts") {
				o.push(&Item{ID: fmt.Sprint(i, "/", j), Service: "s", Team: team, Urgent: urgent, Deadline: o.now.Add(time.Duration(ms) * time.Millisecond)})
			}
		}
		if o.err != nil {
			return o.err
		}
	}
	for _, it := range o.q.Drain() {
		o.leave(it)
	}
	o.check(len(o.waiting) == 0 && o.q.Len() == 0, "%d items never left", len(o.waiting))
	return o.err
}

// Guards against lost or doubled items, wrong order, starvation and exceeded bounds.
func TestQueueMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runQueue(t, func(*Queue) {}); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against an oracle that would accept a queue without one of its rules.
func TestOracleCatchesBrokenVariant(t *testing.T) {
	variants := map[string]func(*Queue){
		"latest deadline first": func(q *Queue) {
			q.rules.next = func(l *line, urgent bool) (it *Item) {
				if it = l.next(urgent); it != nil {
					it = slices.MaxFunc(l.waiting[classOf(it.Urgent)].Items, byDeadline)
				}
				return it
			}
		},
		"no turn for ordinary": func(q *Queue) {
			q.rules.next = func(l *line, urgent bool) *Item { l.run = 0; return l.next(urgent) }
		},
		"no team bound": func(q *Queue) { q.rules.full = func(*team) bool { return false } },
		"item is queued again": func(q *Queue) {
			q.rules.drop = func(q *Queue, now time.Time, it *Item) { q.drop(now, it); _ = q.Push(now, it) }
		},
		"no expiry": func(q *Queue) { q.expiry.Less = func(a, b *Item) bool { return earlier(b, a) } },
		"sheds the earliest": func(q *Queue) {
			for _, t := range q.teams {
				t.shed.Less = earlier
			}
		},
		"sheds from any team": func(q *Queue) { q.excess.Less = func(a, b *team) bool { return a.name < b.name } },
	}
	for name, breakRule := range variants {
		t.Run(name, func(t *testing.T) {
			run := rapid.Custom(func(t *rapid.T) error { return runQueue(t, breakRule) })
			for seed := range 300 {
				if err := run.Example(seed); err != nil {
					t.Log(err)
					return
				}
			}
			t.Error("no violation found in 300 runs")
		})
	}
}

// Guards against queueing a request that cannot be reached before its deadline, and
// against refusing one that goes ahead of the waiting ones.
func TestPushRefusesUnreachable(t *testing.T) {
	q := New(nil)
	q.SetTeams(map[string]int{"a": 100}, map[string]int64{"a": 1})
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	push := func(now, timeout float64) error {
		return q.Push(at(now), &Item{Service: "s", Team: "a", Deadline: at(now + timeout)})
	}
	for range 100 {
		qt.Assert(t, push(0, 55), qt.IsNil)
	}
	for i := range 30 { // 10 per second
		qt.Assert(t, q.Pop(at(float64(i+1)/10), "s", "a", false), qt.IsNotNil)
	}
	qt.Check(t, push(3, 2), qt.IsNil) // its deadline is before all others
	var refused *RefusedError
	accepted := 0
	for !errors.As(push(3, 5), &refused) && accepted < 100 {
		accepted++
	}
	qt.Check(t, accepted > 45 && accepted < 55, qt.IsTrue, qt.Commentf("%d accepted", accepted))
	qt.Check(t, refused.Reason, qt.Equals, refusal.DeadlineUnreachable)
}

// Guards against a bound that does not follow the observed run time.
func TestTeamBound(t *testing.T) {
	bound := func(limit int, ran time.Duration) int { return (&team{limit: limit, meanRun: ran}).bound() }
	qt.Check(t, bound(5, 0), qt.Equals, 10)
	qt.Check(t, bound(5, time.Second), qt.Equals, 300)
	qt.Check(t, bound(5, time.Hour), qt.Equals, 10)
	qt.Check(t, bound(1000, time.Millisecond), qt.Equals, hostBound)
}

// fill returns a queue with n requests of 900 teams and their items.
func fill(n int) (*Queue, []*Item) {
	q := New(func(*Item) {})
	limits, shares := map[string]int{}, map[string]int64{}
	name := func(i int) string { return fmt.Sprint("side/team-", i%900) }
	for i := range 900 {
		limits[name(i)], shares[name(i)] = 100, 1
	}
	q.SetTeams(limits, shares)
	items := make([]*Item, n)
	for i := range items {
		items[i] = &Item{Service: "s", Team: name(i), Urgent: i%7 == 0, Deadline: start.Add(time.Duration(i*7919%59_000+1) * time.Millisecond)}
		_ = q.Push(start, items[i])
	}
	return q, items
}

// One step takes a request and queues it again. At the host-wide bound it pushes one
// more, so that one is shed or refused.
func BenchmarkPushPop900Teams(b *testing.B) {
	for _, n := range []int{9000, hostBound} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q, items := fill(n)
			extra := &Item{Service: "s", Team: items[0].Team}
			q.shed = func(it *Item) { extra = it }
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				it := q.Pop(start, "s", items[i%len(items)].Team, false)
				it.Deadline = start.Add(time.Duration(i*7919%59_000+1) * time.Millisecond)
				_ = q.Push(start, it)
				if n == hostBound {
					extra.Deadline = it.Deadline
					_ = q.Push(start, extra)
				}
			}
		})
	}
}

func BenchmarkMemory10000Items(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		q, items := fill(hostBound)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(q.Len()), "B/item")
		runtime.KeepAlive(items)
	}
}
