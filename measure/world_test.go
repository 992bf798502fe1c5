package measure

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/buffer"
)

// Guards against idle slots that are not counted: without requests the cost is the whole
// fleet for the whole time.
func TestIdleFleetCostsItsSize(t *testing.T) {
	s := shapes[0]
	by, members := fixed(workers, allSlots)(s)
	w := newWorld(s, members)
	w.by = by
	w.run([]request{{0, 0, meanRun, time.Second}})
	w.idle += meanRun.Seconds()
	qt.Check(t, round(w.idle*s.coresPerSlot()), qt.Equals, workers*s.coresPerWorker*int((duration+longestDeadline)/time.Second))
}

// Guards against a bound that pays nothing for a recall, or more than one.
func TestBoundPaysOneRecall(t *testing.T) {
	s := shapes[0]
	s.minAvailable = 0
	near := []request{{0, 0, meanRun, 2 * time.Second}, {0, meanRun + recallTime/2, meanRun, 4 * time.Second}}
	row := bound(s, near)
	qt.Check(t, row.Late, qt.Equals, 0)
	qt.Check(t, row.Buffer, qt.Equals, round(1.5*recallTime.Seconds()*s.coresPerSlot()))
}

// Guards against a model in which lent, returned or released slots run more requests than
// are ready, or which loses a request.
func TestSlotsAreNeverExceeded(t *testing.T) {
	for _, demand := range []string{demandShort, demandRise} {
		s := shapes[1]
		by, members := policy(s)
		w := newWorld(s, members)
		w.by = by
		count := w.pass
		w.clock.pass = func(d time.Duration) {
			for _, st := range w.stations {
				if sum(st.used) > st.ready || st.ready+st.recalling > st.capacity+slotsPerWorker {
					t.Fatalf("%s at %s: %d in use, %d ready, %d recalled of %d", st.name, w.now, sum(st.used), st.ready, st.recalling, st.capacity)
				}
			}
			count(d)
		}
		requests := s.requests(demand)
		row := w.run(requests)
		ended := row.Late
		for _, st := range w.stations[:services] {
			qt.Check(t, sum(st.used)+len(st.waiting.items), qt.Equals, 0)
			ended += st.runCount
		}
		qt.Check(t, ended >= len(requests), qt.IsTrue)
	}
}

// Guards against a request on a returned slot that is followed by another of the borrower.
func TestReturnedSlotServesItsOwner(t *testing.T) {
	s := shapes[0]
	w := newWorld(s, s.members(workers, spareWorkers))
	borrower, lender := w.stations[0], w.stations[1]
	w.apply(buffer.Action{Kind: buffer.Hold, From: borrower.name, Slots: 0})
	w.apply(buffer.Action{Kind: buffer.Lend, From: lender.name, To: borrower.name, Slots: 1})
	for range 2 {
		w.arrive(&request{0, 0, meanRun, time.Minute})
	}
	qt.Check(t, lender.used[0], qt.Equals, 1)
	w.apply(buffer.Action{Kind: buffer.Return, From: lender.name, To: borrower.name, Slots: 1})
	w.playUntil(2 * meanRun)
	qt.Check(t, lender.used[0], qt.Equals, 0)
	qt.Check(t, len(borrower.waiting.items), qt.Equals, 1)
}
