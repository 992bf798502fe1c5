package queue

import "egretdrum.example/heap"

import "time"

// maxConsecutiveUrgent is the number of urgent requests in a row after which a waiting
// ordinary request is taken, so that ordinary requests get at least a fifth of the slots.
const maxConsecutiveUrgent = 4

const (
	urgentClass = iota
	ordinaryClass
	classCount
)

// subqueue holds the waiting requests of one team for one service.
type subqueue struct {
	team              *team
	waiting           [classCount]heap.Heap[*Item]
	deadlines         [classCount]histogram
	consecutiveUrgent int
	rate              dequeueRate
}

func newSubqueue(t *team) *subqueue {
	sq := &subqueue{team: t}
	for c := range sq.waiting {
		sq.waiting[c] = heap.Heap[*Item]{Less: earlier, Position: func(it *Item) *int32 { return &it.subqueuePos }}
	}
	return sq
}

func classOf(urgent bool) int {
	if urgent {
		return urgentClass
	}
	return ordinaryClass
}

func (sq *subqueue) count(class int) int { return len(sq.waiting[class].Items) }
func (sq *subqueue) len() int            { return sq.count(urgentClass) + sq.count(ordinaryClass) }

func (sq *subqueue) add(now time.Time, it *Item) {
	if sq.len() == 0 {
		sq.rate.startBusy(now)
	}
	c := classOf(it.Urgent)
	sq.waiting[c].Push(it)
	sq.deadlines[c].add(it.Deadline, 1)
}

func (sq *subqueue) drop(now time.Time, it *Item) {
	c := classOf(it.Urgent)
	sq.waiting[c].Remove(it)
	sq.deadlines[c].add(it.Deadline, -1)
	if sq.len() == 0 {
		sq.rate.stopBusy(now)
	}
}

// next returns the item to take, or nil. A grant for urgent demand may exceed the team's
// share, so it takes an ordinary request only when maxConsecutiveUrgent requires it.
func (sq *subqueue) next(urgent bool) *Item {
	ordinaryDue := sq.consecutiveUrgent >= maxConsecutiveUrgent && sq.count(ordinaryClass) > 0
	switch {
	case sq.count(urgentClass) > 0 && !ordinaryDue:
		return sq.waiting[urgentClass].Items[0]
	case sq.count(ordinaryClass) > 0 && (ordinaryDue || !urgent):
		return sq.waiting[ordinaryClass].Items[0]
	}
	return nil
}

func (sq *subqueue) recordTaken(it *Item) {
	if it.Urgent {
		sq.consecutiveUrgent++
	} else {
		sq.consecutiveUrgent = 0
	}
}

// countAhead estimates the number of requests that are taken before it.
func (sq *subqueue) countAhead(now time.Time, it *Item) int {
	if it.Urgent {
		n := sq.deadlines[urgentClass].upTo(now, it.Deadline)
		return n + min(sq.count(ordinaryClass), n/maxConsecutiveUrgent)
	}
	n := sq.deadlines[ordinaryClass].upTo(now, it.Deadline)
	return n + min(sq.count(urgentClass), maxConsecutiveUrgent*(n+1))
}
