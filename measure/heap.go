package measure

import "time"

// queue orders values by time; equal times keep their order of entry. Keys beside the
// values take less time than container/heap, which boxes elements and calls a comparison.
type queue[T any] struct {
	items []entry[T]
	count int
}

type entry[T any] struct {
	at       time.Duration
	sequence int
	value    T
}

func (e *entry[T]) before(o *entry[T]) bool {
	return e.at < o.at || e.at == o.at && e.sequence < o.sequence
}

func (q *queue[T]) push(at time.Duration, value T) {
	q.count++
	e := entry[T]{at, q.count, value}
	q.items = append(q.items, e)
	i := len(q.items) - 1
	for i > 0 && e.before(&q.items[(i-1)/2]) {
		q.items[i] = q.items[(i-1)/2]
		i = (i - 1) / 2
	}
	q.items[i] = e
}

func (q *queue[T]) pop() T {
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
