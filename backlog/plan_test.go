package backlog

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var noon = time.UnixMilli(1_700_000_000_000)

// workDue returns work of 10 core-seconds with a path of 1 s and an objective of 2 s.
func workDue(age time.Duration) Work {
	due := noon.Add(-age)
	return Work{Due: due, Deadline: due.Add(2 * time.Second), Limit: due.Add(6 * time.Second), Left: 10, Path: time.Second, DelayCost: 10}
}

func plan(work ...Work) *Plan { return New(noon, Capacity{Total: 10}, Feasible(), work) }

func verdicts(p *Plan) []Verdict {
	var v []Verdict
	for i := range p.items {
		v = append(v, p.Verdict(i))
	}
	return v
}

func TestVerdicts(t *testing.T) {
	overShare, begun, held := workDue(0), workDue(0), workDue(0)
	overShare.OverShare, begun.Left, held.Held = true, 1, true
	small, large := workDue(0), workDue(0)
	small.OverShare, small.Left, large.OverShare, large.Left = true, 3, true, 9
	behind := small
	behind.Priority = 1
	for name, c := range map[string]struct {
		work []Work
		want []Verdict
	}{
		"work by its age alone":                {[]Work{workDue(0), workDue(1500 * time.Millisecond), workDue(5500 * time.Millisecond)}, []Verdict{First, Late, Useless}},
		"what came last is delayed":            {[]Work{workDue(0), workDue(100 * time.Millisecond)}, []Verdict{Delayed, First}},
		"what has begun is not delayed":        {[]Work{workDue(100 * time.Millisecond), begun}, []Verdict{Delayed, First}},
		"a surge takes no room of others":      {[]Work{overShare, workDue(0)}, []Verdict{Delayed, First}},
		"delayed work of a surge goes last":    {[]Work{small, large, small, behind}, []Verdict{First, Delayed, First, First}},
		"held work takes no room":              {[]Work{held, held, held, workDue(0)}, []Verdict{First, First, First, First}},
		"one job at a time starts for its age": {[]Work{workDue(time.Hour), workDue(2 * time.Hour)}, []Verdict{Useless, Aged}},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, verdicts(plan(c.work...)), qt.DeepEquals, c.want)
		})
	}
}

// Guards against aged work that makes all other work late while a pool is overloaded for long.
func TestAgedWorkKeepsToItsShare(t *testing.T) {
	p := New(noon, Capacity{Total: 10, Aged: 1}, Feasible(), []Work{workDue(time.Hour), workDue(0)})
	qt.Assert(t, verdicts(p), qt.DeepEquals, []Verdict{Useless, First})
}

// Guards against predictions that leave out the work that goes first, or capacity that arrives.
func TestPredict(t *testing.T) {
	assertDone := func(t *testing.T, p *Plan, w Work, after time.Duration, v Verdict) {
		t.Helper()
		done, verdict, _ := p.Predict(w)
		qt.Check(t, done.Sub(noon), qt.Equals, after)
		qt.Check(t, verdict, qt.Equals, v)
	}
	assertDone(t, plan(), workDue(0), time.Second, First)
	assertDone(t, plan(workDue(0), workDue(0), workDue(0)), workDue(0), 4*time.Second, Delayed)
	var many []Work
	for range 9 {
		many = append(many, workDue(0))
	}
	assertDone(t, plan(many...), workDue(0), 10*time.Second, Useless)
	more := New(noon, Capacity{Total: 10, Soon: 70, SoonAfter: 2 * time.Second}, Feasible(), many)
	assertDone(t, more, workDue(0), 2*time.Second+875*time.Millisecond+time.Second, Delayed)
}

// Guards against a refusal of work within its share while work beyond a share goes before it, which only
// aged work does.
func TestWorkBeyondSharesGoesLast(t *testing.T) {
	over, aged, held := workDue(0), workDue(time.Hour), workDue(0)
	over.OverShare, aged.OverShare, held.OverShare, held.Held = true, true, true, true
	for name, c := range map[string]struct {
		work []Work
		want int
	}{
		"none":                  {[]Work{workDue(0), workDue(0)}, 2},
		"beyond a share":        {[]Work{over, workDue(0), workDue(0)}, 2},
		"aged":                  {[]Work{workDue(0), aged}, 0},
		"takes no room from it": {[]Work{held, workDue(0)}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			p := plan(c.work...)
			qt.Assert(t, p.OverSharePlace(), qt.Equals, c.want)
			_, _, place := p.Predict(workDue(0))
			qt.Assert(t, place <= p.OverSharePlace(), qt.Equals, name != "aged")
		})
	}
}
