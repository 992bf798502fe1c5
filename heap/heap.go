// Package heap implements a binary heap whose elements store their positions.
package heap

// Heap is a binary heap that keeps each element's position in the element, so that any
// element can be removed or reordered in O(log n).
type Heap[T any] struct {
	// Items holds the elements; the first one is the least.
	Items []T
	Less  func(a, b T) bool
	// Position points to the element's position plus one; zero means absent.
	Position func(T) *int32
}

// Push adds an element.
func (h *Heap[T]) Push(x T) {
	h.Items = append(h.Items, x)
	h.siftUp(len(h.Items) - 1)
}

// Remove takes out an element that is in the heap.
func (h *Heap[T]) Remove(x T) {
	i, last := int(*h.Position(x))-1, len(h.Items)-1
	moved := h.Items[last]
	var zero T
	h.Items[last] = zero
	h.Items = h.Items[:last]
	*h.Position(x) = 0
	if i != last {
		h.Items[i] = moved
		h.restore(i)
	}
}

// Fix restores the order after the key of x has changed.
func (h *Heap[T]) Fix(x T) { h.restore(int(*h.Position(x)) - 1) }

func (h *Heap[T]) restore(i int) {
	if h.siftUp(i) == i {
		h.siftDown(i)
	}
}

func (h *Heap[T]) siftUp(i int) int {
	x := h.Items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.Less(x, h.Items[parent]) {
			break
		}
		h.set(i, h.Items[parent])
		i = parent
	}
	h.set(i, x)
	return i
}

func (h *Heap[T]) siftDown(i int) {
	x := h.Items[i]
	for {
		child := 2*i + 1
		if child >= len(h.Items) {
			break
		}
		if r := child + 1; r < len(h.Items) && h.Less(h.Items[r], h.Items[child]) {
			child = r
		}
		if !h.Less(h.Items[child], x) {
			break
		}
		h.set(i, h.Items[child])
		i = child
	}
	h.set(i, x)
}

func (h *Heap[T]) set(i int, x T) {
	h.Items[i] = x
	*h.Position(x) = int32(i + 1)
}
