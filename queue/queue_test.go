package queue

import (
	"cmp"
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

// TestMain fixes the seed, so that every run draws the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

var start = time.Unix(1_000_000, 0)

func shift(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

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

func (o *oracle) fail(format string, args ...any) {
	if o.err == nil {
		o.err = fmt.Errorf(format, args...)
	}
}

func (o *oracle) leave(it *Item) {
	i := slices.Index(o.waiting, it)
	if i < 0 {
		o.fail("item %s left twice", it.ID)
		return
	}
	o.waiting = slices.Delete(o.waiting, i, i+1)
}

func (o *oracle) filter(keep func(*Item) bool) (out []*Item) {
	for _, it := range o.waiting {
		if keep(it) {
			out = append(out, it)
		}
	}
	return out
}

// of counts the live requests of a team, or of all teams for "". Bounds hold for these:
// expired ones no longer wait, they are only held until the next Expire.
func (o *oracle) of(team string) int {
	return len(o.filter(func(it *Item) bool { return (team == "" || it.Team == team) && it.Deadline.After(o.now) }))
}

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
		if excess(team) > excess(it.Team) {
			o.fail("shed from %s although %s is further above its part", it.Team, team)
		}
	}
	for _, other := range o.waiting {
		if other.Team == it.Team && other.Deadline.After(o.now) && (it.Urgent && !other.Urgent || other.Urgent == it.Urgent && it.Deadline.Before(other.Deadline)) {
			o.fail("shed %s before %s", it.ID, other.ID)
		}
	}
	o.leave(it)
}

func (o *oracle) push(it *Item) {
	o.q.shed = func(victim *Item) { o.onShed(victim, it.Team) }
	var refused *RefusedError
	if err := o.q.Push(o.now, it); errors.As(err, &refused) {
		part := o.q.bound * int(o.shares[it.Team]) / 10
		if refused.Reason == refusal.QueueFull && o.of(it.Team) < min(part, 2*o.limits[it.Team]) {
			o.fail("team %s refused below its guaranteed part", it.Team)
		}
		return
	}
	o.waiting = append(o.waiting, it)
	if o.of(it.Team) > 2*o.limits[it.Team] || o.of("") > o.q.bound {
		o.fail("team %s has %d waiting, all teams %d", it.Team, o.of(it.Team), len(o.waiting))
	}
}

func (o *oracle) pop(team string, urgentGrant bool) {
	live := func(urgent bool) []*Item {
		items := o.filter(func(it *Item) bool { return it.Team == team && it.Urgent == urgent && it.Deadline.After(o.now) })
		slices.SortFunc(items, func(a, b *Item) int { return cmp.Compare(a.Deadline.UnixNano(), b.Deadline.UnixNano()) })
		return items
	}
	urgent, ordinary := live(true), live(false)
	due := o.run[team] >= 4 && len(ordinary) > 0
	want := urgent
	if due || len(urgent) == 0 && !urgentGrant {
		want = ordinary
	}
	got := o.q.Pop(o.now, "s", team, urgentGrant)
	if got == nil || len(want) == 0 {
		if got != nil || len(want) > 0 {
			o.fail("popped %v with %d candidates", got, len(want))
		}
		return
	}
	if got.Urgent != want[0].Urgent || !got.Deadline.Equal(want[0].Deadline) {
		o.fail("popped %s, expected %s", got.ID, want[0].ID)
	}
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
		if !it.Deadline.After(o.now) {
			o.fail("item %s is still queued past its deadline", it.ID)
		}
	}
	for team := range o.limits {
		u, n := o.q.Demand("s", team)
		if u+n != o.of(team) {
			o.fail("demand of %s is %d+%d, expected %d", team, u, n, o.of(team))
		}
	}
}

// runQueue drives a queue that breakRule may have damaged; it returns the first violation.
func runQueue(t *rapid.T, breakRule func(*Queue)) (err error) {
	o := &oracle{now: start, run: map[string]int{}, limits: map[string]int{"a": 5, "b": 8, "c": 20}, shares: map[string]int64{"a": 2, "b": 3, "c": 5}}
	o.q = New(nil)
	o.q.bound = 20
	o.q.SetTeams(o.limits, o.shares)
	if breakRule != nil {
		breakRule(o.q)
		defer func() {
			if r := recover(); r != nil && err == nil {
				err = fmt.Errorf("panic: %v", r)
			}
		}()
	}
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
				if !o.q.Remove(it) || o.q.Remove(it) {
					o.fail("remove of %s does not succeed exactly once", it.ID)
				}
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
	o.now = o.now.Add(time.Minute)
	o.expire()
	if len(o.waiting) > 0 {
		o.fail("%d items never left", len(o.waiting))
	}
	return o.err
}

// Guards against lost or doubled items, wrong order, starvation and exceeded bounds.
func TestQueueMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runQueue(t, nil); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against an oracle that would accept a queue without one of its rules.
func TestOracleCatchesBrokenVariant(t *testing.T) {
	variants := map[string]func(*Queue){
		"latest deadline first": func(q *Queue) { q.rules.next = latestFirst },
		"no turn for ordinary": func(q *Queue) {
			q.rules.next = func(l *line, urgent bool) *Item { l.run = 0; return l.next(urgent) }
		},
		"no team bound": func(q *Queue) { q.rules.full = func(*team) bool { return false } },
		"item stays in its line": func(q *Queue) {
			q.rules.drop = func(q *Queue, now time.Time, it *Item) {
				q.drop(now, it)
				it.line = q.line(it.Service, it.Team)
				it.line.add(now, it)
			}
		},
		"no expiry": func(q *Queue) { q.expiry.less = func(a, b *Item) bool { return earlier(b, a) } },
		"sheds the earliest": func(q *Queue) {
			for _, t := range q.teams {
				t.shed.less = earlier
			}
		},
		"sheds from any team": func(q *Queue) { q.excess.less = func(a, b *team) bool { return a.name < b.name } },
	}
	for name, breakRule := range variants {
		t.Run(name, func(t *testing.T) {
			run := rapid.Custom(func(t *rapid.T) error { return runQueue(t, breakRule) })
			for seed := range 300 {
				if run.Example(seed) != nil {
					return
				}
			}
			t.Error("no violation found in 300 runs")
		})
	}
}

func latestFirst(l *line, urgent bool) *Item {
	if it := l.next(urgent); it != nil {
		return slices.MaxFunc(l.waiting[classOf(it.Urgent)].items, func(a, b *Item) int { return a.Deadline.Compare(b.Deadline) })
	}
	return nil
}

// Guards against queueing a request that cannot be reached before its deadline, and
// against refusing one that goes ahead of the waiting ones.
func TestPushRefusesUnreachable(t *testing.T) {
	q := New(nil)
	q.SetTeams(map[string]int{"a": 100}, map[string]int64{"a": 1})
	push := func(at, timeout float64) error {
		return q.Push(shift(at), &Item{Service: "s", Team: "a", Deadline: shift(at + timeout)})
	}
	for range 100 {
		qt.Assert(t, push(0, 55), qt.IsNil)
	}
	for i := range 30 { // 10 per second
		qt.Assert(t, q.Pop(shift(float64(i+1)/10), "s", "a", false), qt.IsNotNil)
	}
	qt.Check(t, push(3, 2), qt.IsNil, qt.Commentf("its deadline is before all others"))
	qt.Check(t, push(3, 59), qt.IsNil, qt.Commentf("71 ahead at 10 per second take 7 s"))
	var refused *RefusedError
	accepted := 0
	for !errors.As(push(3, 5), &refused) && accepted < 100 {
		accepted++
	}
	qt.Check(t, accepted > 45 && accepted < 55, qt.IsTrue, qt.Commentf("%d accepted with 5 s left at 10 per second", accepted))
	qt.Check(t, refused.Reason, qt.Equals, refusal.DeadlineUnreachable)
}

// Guards against a bound that does not follow the observed run time.
func TestTeamBound(t *testing.T) {
	for _, c := range []struct {
		limit, want int
		ran         time.Duration
	}{{5, 10, 0}, {5, 300, time.Second}, {5, 10, time.Hour}, {1000, hostBound, time.Millisecond}} {
		tm := newTeam("a")
		tm.limit = c.limit
		tm.observe(c.ran)
		qt.Check(t, tm.bound(), qt.Equals, c.want, qt.Commentf("%+v", c))
	}
}

// fill returns a queue with n requests of 900 teams and their items.
func fill(n int) (*Queue, []*Item) {
	q := New(func(*Item) {})
	limits, shares := map[string]int{}, map[string]int64{}
	names := make([]string, 900)
	for i := range names {
		names[i] = fmt.Sprintf("side/team-%d", i)
		limits[names[i]], shares[names[i]] = 100, 1
	}
	q.SetTeams(limits, shares)
	items := make([]*Item, n)
	for i := range items {
		items[i] = &Item{Service: "s", Team: names[i%len(names)], Urgent: i%7 == 0, Deadline: start.Add(time.Duration(i*7919%59_000+1) * time.Millisecond)}
		_ = q.Push(start, items[i])
	}
	return q, items
}

func BenchmarkPushPop900Teams(b *testing.B) {
	q, items := fill(9000)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		it := q.Pop(start, "s", items[i%len(items)].Team, false)
		_ = q.Push(start, it)
	}
}

// One step takes one request and pushes two, so that one is shed or refused.
func BenchmarkPopPushShed900Teams(b *testing.B) {
	q, items := fill(hostBound)
	var free []*Item
	q.shed = func(it *Item) { free = append(free, it) }
	free = append(free, &Item{Service: "s", Team: items[0].Team})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		free = append(free, q.Pop(start, "s", items[i%len(items)].Team, false))
		for j := range 2 {
			it := free[len(free)-1]
			free = free[:len(free)-1]
			it.Deadline = start.Add(time.Duration((i+j)*7919%59_000+1) * time.Millisecond)
			if q.Push(start, it) != nil {
				free = append(free, it)
			}
		}
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
