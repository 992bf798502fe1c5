package measure

import "time"

// priorityQueue is a binary heap of values ordered by time, then by insertion. It stores the
// keys beside the values and so is faster than container/heap, which boxes the elements and
// calls a comparison method.
type priorityQueue[T any] struct {
	items []queueItem[T]
	count int
}

type queueItem[T any] struct {
	at       time.Duration
	sequence int
	value    T
}

func (e *queueItem[T]) before(o *queueItem[T]) bool {
	return e.at < o.at || e.at == o.at && e.sequence < o.sequence
}

func (q *priorityQueue[T]) push(at time.Duration, value T) {
	q.count++
	e := queueItem[T]{at, q.count, value}
	q.items = append(q.items, e)
	i := len(q.items) - 1
	for i > 0 && e.before(&q.items[(i-1)/2]) {
		q.items[i] = q.items[(i-1)/2]
		i = (i - 1) / 2
	}
	q.items[i] = e
}

func (q *priorityQueue[T]) pop() T {
	top, last := q.items[0].value, len(q.items)-1
	e := q.items[last]
	q.items = q.items[:last]
	i := 0
	for child := 1; child < last; child = 2*i + 1 {
		if child+1 < last && q.items[child+1].before(&q.items[child]) {
			child++
		}
		if !q.items[child].before(&e) {
			break
		}
		q.items[i] = q.items[child]
		i = child
	}
	if last > 0 {
		q.items[i] = e
	}
	return top
}
