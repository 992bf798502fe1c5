package slot

import "time"

const (
	// wheelStep is the precision at which grants end. Ending later than needed is safe.
	wheelStep = 100 * time.Millisecond
	// wheelSteps covers the longest timeout with its margin. It is a power of two.
	wheelSteps = 1024
)

// wheel finds the grants that end by time. A grant is entered and removed in constant
// time; a heap of 8,000 grants took more than half of the time of a decision.
type wheel struct {
	steps [wheelSteps]*record
	done  int64 // the last step whose grants have ended
}

func stepOf(t time.Time) int64 { return t.UnixNano() / int64(wheelStep) }

func (w *wheel) add(now time.Time, r *record) {
	if w.done == 0 {
		w.done = stepOf(now)
	}
	// A later end than the wheel covers is entered again when its step comes, so the
	// next step, which due may be working on, is left out.
	step := min(max(stepOf(r.ends)+1, w.done+2), w.done+wheelSteps-1)
	r.step = int32(step & (wheelSteps - 1))
	r.next, r.previous = w.steps[r.step], nil
	if r.next != nil {
		r.next.previous = r
	}
	w.steps[r.step] = r
}

func (w *wheel) remove(r *record) {
	if r.previous == nil {
		w.steps[r.step] = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next != nil {
		r.next.previous = r.previous
	}
}

// due returns a grant that has ended, or nil if there is none.
func (w *wheel) due(now time.Time) *record {
	last := stepOf(now)
	w.done = max(w.done, last-wheelSteps)
	for w.done < last {
		r := w.steps[(w.done+1)&(wheelSteps-1)]
		switch {
		case r == nil:
			w.done++
		case now.Before(r.ends):
			w.remove(r)
			w.add(now, r)
		default:
			return r
		}
	}
	return nil
}
