package runtimes

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against copies that go on although they are as long as their originals, and against a queue
// that never gets one again.
func TestCopiesThatDontHelpStop(t *testing.T) {
	for name, c := range map[string]struct {
		helped   bool
		min, max int
	}{"the tail belongs to the run": {true, 400, 400}, "the tail belongs to the task": {false, minCopies, 40}} {
		t.Run(name, func(t *testing.T) {
			s := New()
			copied := 0
			for range 400 {
				if s.CopyPays("q") {
					copied++
					s.RecordCopy("q", c.helped)
				}
			}
			qt.Check(t, copied >= c.min && copied <= c.max, qt.IsTrue, qt.Commentf("%d", copied))
		})
	}
}

// copyPlay has what a sequence of tasks took.
type copyPlay struct {
	// late counts the tasks beyond each of objectives.
	late   [3]int
	copies int
	// work is the time of the first runs, extra that of the copies.
	work, extra time.Duration
}

var objectives = [3]time.Duration{2500 * time.Millisecond, 3 * time.Second, 4 * time.Second}

// playCopies runs tasks one after the other. Of 100 runs, 3 take seven times as long; ofTask has the
// copy take as long as its original. A run beyond the given share of the earlier ones gets a copy if the
// rest of it takes longer than a fresh one; share 1 stands for no copies. The
// median is one second.
func playCopies(ofTask, recorded bool, share float64) (p copyPlay) {
	const tasks = 10_000
	random := rand.New(rand.NewPCG(3, 4))
	draw := func() time.Duration {
		d := inSeconds(sample(random, 0.3))
		if random.IntN(100) < 3 {
			d *= 7
		}
		return d
	}
	s := New()
	step := stepOf(1, 1, 0)
	for range tasks {
		original, other := draw(), draw()
		if ofTask {
			other = original
		}
		end := original
		at, known := s.Quantile("q", "a", step, share)
		if fresh, long := s.Long("q", "a", step, share, at); known && share < 1 && long && original-at > fresh && (s.CopyPays("q") || !recorded) {
			p.copies++
			end = min(original, at+other)
			s.RecordCopy("q", end < original)
			p.extra += end - at
		}
		p.work += end
		for i, objective := range objectives {
			if end > objective {
				p.late[i]++
			}
		}
		s.Record("q", "a", step, end)
	}
	return p
}

// Guards against copies that leave the late tasks as they are, that cost more than a few percent of the
// work, or that go on for tasks that are long by themselves.
func TestCopiesOfLongRuns(t *testing.T) {
	for name, ofTask := range map[string]bool{"run": false, "task": true} {
		t.Run(name, func(t *testing.T) {
			none := playCopies(ofTask, true, 1)
			for _, share := range []float64{1, 0.5, 0.75, 0.9, 0.95, 0.99} {
				for _, recorded := range []bool{true, false} {
					p := playCopies(ofTask, recorded, share)
					extra := float64(p.extra) / float64(p.work)
					t.Logf("tail of the %s, share %.2f, record %t: late %v, copies %d, extra %.2f%%", name, share, recorded, p.late, p.copies, 100*extra)
					if !recorded || share != LongShare {
						continue
					}
					qt.Check(t, extra < 0.05, qt.IsTrue, qt.Commentf("%f", extra))
					if ofTask {
						qt.Check(t, p.copies < none.late[1]/10+minCopies, qt.IsTrue, qt.Commentf("%d", p.copies))
					} else {
						qt.Check(t, p.late[1] < none.late[1]/4, qt.IsTrue, qt.Commentf("%d of %d", p.late[1], none.late[1]))
					}
				}
			}
		})
	}
}
