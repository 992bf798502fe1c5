package queue

import "time"

// Item is one waiting request. Up to 10,000 of them are held at once, so it stays within
// 112 bytes. The exported fields must not change while the item is queued.
type Item struct {
	ID       string
	Service  string
	Team     string
	Deadline time.Time
	// Value is the caller's own; the queue does not read it.
	Value  any
	Urgent bool

	// Positions plus one in the line's order, in the order of expiry and in the team's
	// order of shedding. An expired item has only inExpiry, its place in Queue.expired.
	inLine, inExpiry, inShed int32
	line                     *line
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
