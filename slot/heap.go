package slot

// heap is a binary heap that keeps each element's position in the element, so that any
// element can be removed or reordered in O(log n).
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	// at points to the element's position plus one; zero means absent.
	at func(T) *int32
}

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(x T) {
	i, last := int(*h.at(x))-1, len(h.items)-1
	moved := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	*h.at(x) = 0
	if i != last {
		h.items[i] = moved
		h.settle(i)
	}
}

// fix restores the order after the key of x has changed.
func (h *heap[T]) fix(x T) { h.settle(int(*h.at(x)) - 1) }

func (h *heap[T]) settle(i int) {
	if h.up(i) == i {
		h.down(i)
	}
}

func (h *heap[T]) up(i int) int {
	x := h.items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(x, h.items[parent]) {
			break
		}
		h.set(i, h.items[parent])
		i = parent
	}
	h.set(i, x)
	return i
}

func (h *heap[T]) down(i int) {
	x := h.items[i]
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if r := child + 1; r < len(h.items) && h.less(h.items[r], h.items[child]) {
			child = r
		}
		if !h.less(h.items[child], x) {
			break
		}
		h.set(i, h.items[child])
		i = child
	}
	h.set(i, x)
}

func (h *heap[T]) set(i int, x T) {
	h.items[i] = x
	*h.at(x) = int32(i + 1)
}
