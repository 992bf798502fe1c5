package queue

import "egretdrum.example/heap"

import "time"

const (
	// hostMaxQueued is the number of requests that one entry host queues. It bounds memory use.
	hostMaxQueued = 10_000
	// maxTimeout bounds the useful length of a queue: requests further back expire first.
	maxTimeout = 60 * time.Second
	// runTimeWeight is the weight of a new run time in the moving average.
	runTimeWeight = 0.1
)

// team is the state of one team across all services.
type team struct {
	name        string
	slotLimit   int
	guaranteed  int // share of hostMaxQueued that other teams cannot use
	meanRunTime time.Duration
	waiting     int
	shedOrder   heap.Heap[*Item]
	excessPos   int32 // position plus one in Queue.byExcess
}

func newTeam(name string) *team {
	return &team{name: name, slotLimit: 1, shedOrder: heap.Heap[*Item]{Less: shedBefore, Position: func(it *Item) *int32 { return &it.shedPos }}}
}

func (t *team) excess() int { return t.waiting - t.guaranteed }

// maxWaiting is the number of requests that slotLimit slots can run within maxTimeout, but
// at least two for each slot and at most hostMaxQueued.
func (t *team) maxWaiting() int {
	n := 2 * t.slotLimit
	if t.meanRunTime > 0 {
		n = max(n, int(min(float64(t.slotLimit)*float64(maxTimeout)/float64(t.meanRunTime), hostMaxQueued)))
	}
	return min(n, hostMaxQueued)
}

func (t *team) observeRunTime(runTime time.Duration) {
	if t.meanRunTime == 0 {
		t.meanRunTime = runTime
		return
	}
	t.meanRunTime += time.Duration(runTimeWeight * float64(runTime-t.meanRunTime))
}
