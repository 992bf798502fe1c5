// Package queue holds the requests that wait at one entry host for a minion slot.
package queue

import (
	"maps"
	"time"

	"egretdrum.example/heap"
	"egretdrum.example/refusal"
)

// Queue orders the waiting requests of each team: urgent before ordinary, then by earliest
// deadline. The slot owners decide the order between teams. A Queue is not safe for
// concurrent use.
type Queue struct {
	teams     map[string]*team
	subqueues map[subqueueKey]*subqueue
	byExcess  heap.Heap[*team] // the team furthest above its guaranteed share first
	expiry    heap.Heap[*Item]
	expired   []*Item // found by Push or Pop, not yet returned by Expire
	onShed    func(*Item)
	maxQueued int
	rules     rules
}

type subqueueKey struct{ service, team string }

// rules are functions that tests replace by faulty ones, to show that they detect the fault.
type rules struct {
	next func(sq *subqueue, urgent bool) *Item
	full func(t *team) bool
	drop func(q *Queue, now time.Time, it *Item)
}

// New returns an empty queue. The queue calls onShed for each request that it drops because
// the limit of the entry host is reached.
func New(onShed func(*Item)) *Queue {
	q := &Queue{teams: make(map[string]*team), subqueues: make(map[subqueueKey]*subqueue), onShed: onShed, maxQueued: hostMaxQueued}
	q.byExcess = heap.Heap[*team]{
		Less:     func(a, b *team) bool { return a.excess() > b.excess() },
		Position: func(t *team) *int32 { return &t.excessPos },
	}
	q.expiry = heap.Heap[*Item]{Less: earlier, Position: func(it *Item) *int32 { return &it.expiryPos }}
	q.rules = rules{
		next: (*subqueue).next,
		full: func(t *team) bool { return t.waiting >= t.maxWaiting() },
		drop: (*Queue).drop,
	}
	return q
}

// SetTeams sets the slot limit and the share of each team. A team that is not in limits any
// more keeps its waiting requests, with a limit of 1 and no guaranteed share of the queue.
func (q *Queue) SetTeams(limits map[string]int, shares map[string]int64) {
	var totalShares int64
	for _, s := range shares {
		totalShares += s
	}
	for name := range limits {
		q.team(name)
	}
	for name, t := range q.teams {
		t.slotLimit, t.guaranteed = max(1, limits[name]), 0
		if totalShares > 0 {
			t.guaranteed = int(float64(q.maxQueued) * float64(shares[name]) / float64(totalShares))
		}
		q.byExcess.Fix(t)
	}
	q.removeUnusedTeams(limits)
}

// removeUnusedTeams deletes the state of teams that are not in limits and have no waiting
// requests.
func (q *Queue) removeUnusedTeams(limits map[string]int) {
	unused := func(t *team) bool {
		_, named := limits[t.name]
		return !named && t.waiting == 0
	}
	maps.DeleteFunc(q.subqueues, func(_ subqueueKey, sq *subqueue) bool { return unused(sq.team) })
	for name, t := range q.teams {
		if unused(t) {
			q.byExcess.Remove(t)
			delete(q.teams, name)
		}
	}
}

// RecordRunTime records how long a request of the team ran. The mean determines how many of the
// team's requests may wait.
func (q *Queue) RecordRunTime(team string, d time.Duration) { q.team(team).observeRunTime(d) }

// Push queues the request, or returns a *RefusedError if it is unlikely to be taken before its
// deadline or the queue is full.
func (q *Queue) Push(now time.Time, it *Item) error {
	q.collectExpired(now)
	sq := q.subqueue(it.Service, it.Team)
	remaining := it.Deadline.Sub(now)
	if wait := sq.rate.estimateWait(now, sq.countAhead(now, it)); remaining <= 0 || wait > remaining {
		return &RefusedError{Reason: refusal.DeadlineUnreachable, RetryAfter: max(time.Second, wait-remaining)}
	}
	if q.rules.full(sq.team) {
		return q.fullError(now, sq)
	}
	if q.Len() >= q.maxQueued && !q.makeRoom(now, it, sq.team) {
		return q.fullError(now, sq)
	}
	it.subqueue = sq
	sq.add(now, it)
	q.expiry.Push(it)
	sq.team.shedOrder.Push(it)
	q.count(sq.team, 1)
	return nil
}

// makeRoom sheds one request of the team that is furthest above its guaranteed share,
// counting the new request. It reports false if the new request is the one to shed.
func (q *Queue) makeRoom(now time.Time, it *Item, t *team) bool {
	q.count(t, 1)
	mostOver := q.byExcess.Items[0]
	q.count(t, -1)
	if len(mostOver.shedOrder.Items) == 0 {
		return false
	}
	victim := mostOver.shedOrder.Items[0]
	if mostOver == t && !shedBefore(victim, it) {
		return false
	}
	q.rules.drop(q, now, victim)
	q.onShed(victim)
	return true
}

// Pop takes the first waiting request for a grant; urgent tells whether the grant was given
// for urgent demand. It returns nil if the grant has to be released unused.
func (q *Queue) Pop(now time.Time, service, team string, urgent bool) *Item {
	q.collectExpired(now)
	sq := q.subqueues[subqueueKey{service, team}]
	if sq == nil {
		return nil
	}
	it := q.rules.next(sq, urgent)
	if it == nil {
		return nil
	}
	sq.rate.recordDequeue(now)
	sq.recordTaken(it)
	q.rules.drop(q, now, it)
	return it
}

// Remove removes a request whose caller no longer waits. It reports false if the request is
// not in the queue any more.
func (q *Queue) Remove(it *Item) bool {
	switch {
	case it.subqueuePos > 0:
		// Passing the time of the last update leaves the observed rate unchanged.
		q.drop(it.subqueue.rate.updated, it)
	case it.expiryPos > 0:
		i, last := it.expiryPos-1, len(q.expired)-1
		q.expired[i] = q.expired[last]
		q.expired[i].expiryPos = i + 1
		q.expired[last] = nil
		q.expired = q.expired[:last]
		it.expiryPos = 0
	default:
		return false
	}
	return true
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Item {
	q.collectExpired(now)
	return q.takeExpired()
}

func (q *Queue) takeExpired() []*Item {
	out := q.expired
	q.expired = nil
	for _, it := range out {
		it.expiryPos = 0
	}
	return out
}

// Drain removes and returns all requests, so that a host that stops can refuse them.
func (q *Queue) Drain() []*Item {
	out := q.takeExpired()
	for len(q.expiry.Items) > 0 {
		it := q.expiry.Items[0]
		q.Remove(it)
		out = append(out, it)
	}
	return out
}

// Demand counts the requests that wait for slots of the service. Requests past their
// deadline are included until the next Push, Pop or Expire.
func (q *Queue) Demand(service, team string) (urgent, ordinary int) {
	sq := q.subqueues[subqueueKey{service, team}]
	if sq == nil {
		return 0, 0
	}
	return sq.count(urgentClass), sq.count(ordinaryClass)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.expiry.Items) }

// collectExpired moves expired requests to q.expired, so that Pop never returns one.
func (q *Queue) collectExpired(now time.Time) {
	for len(q.expiry.Items) > 0 && !q.expiry.Items[0].Deadline.After(now) {
		it := q.expiry.Items[0]
		q.drop(now, it)
		q.expired = append(q.expired, it)
		it.expiryPos = int32(len(q.expired))
	}
}

func (q *Queue) drop(now time.Time, it *Item) {
	sq := it.subqueue
	sq.drop(now, it)
	q.expiry.Remove(it)
	sq.team.shedOrder.Remove(it)
	q.count(sq.team, -1)
	it.subqueue = nil
}

func (q *Queue) count(t *team, n int) {
	t.waiting += n
	q.byExcess.Fix(t)
}

func (q *Queue) fullError(now time.Time, sq *subqueue) error {
	return &RefusedError{Reason: refusal.QueueFull, RetryAfter: max(time.Second, sq.rate.estimateWait(now, 1))}
}

func (q *Queue) team(name string) *team {
	t := q.teams[name]
	if t == nil {
		t = newTeam(name)
		q.teams[name] = t
		q.byExcess.Push(t)
	}
	return t
}

func (q *Queue) subqueue(service, team string) *subqueue {
	key := subqueueKey{service, team}
	sq := q.subqueues[key]
	if sq == nil {
		sq = newSubqueue(q.team(team))
		q.subqueues[key] = sq
	}
	return sq
}
