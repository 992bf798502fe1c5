package queue

import "time"

// Item is one waiting request. Up to 10,000 of them are held at once, so it stays within
// 112 bytes. The exported fields must not change while the item is queued.
type Item struct {
	ID       string
	Service  string
	Team     string
	Deadline time.Time
	// Value belongs to the caller; the queue does not read it.
	Value  any
	Urgent bool

	// Positions plus one in the heaps of the subqueue, of Queue.expiry and of
	// team.shedOrder. An expired item has only expiryPos, its position plus one in Queue.expired.
	subqueuePos, expiryPos, shedPos int32
	subqueue                        *subqueue
}

// earlier orders items by deadline.
func earlier(a, b *Item) bool { return a.Deadline.Before(b.Deadline) }

// shedBefore orders ordinary items before urgent ones, then the latest deadline first.
func shedBefore(a, b *Item) bool {
	if a.Urgent != b.Urgent {
		return b.Urgent
	}
	return b.Deadline.Before(a.Deadline)
}
