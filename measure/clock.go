package measure

import (
	"time"

	"egretdrum.example/buffer"
)

// clock runs events in virtual time. It calls elapse with each span of time before it
// advances the time by it.
type clock struct {
	now    time.Duration
	events priorityQueue[func()]
	elapse func(d time.Duration)
}

func (c *clock) after(d time.Duration, do func()) { c.events.push(c.now+d, do) }

func (c *clock) runUntil(at time.Duration) {
	for len(c.events.items) > 0 && c.events.items[0].at <= at {
		c.advance(c.events.items[0].at)
		c.events.pop()()
	}
	c.advance(at)
}

func (c *clock) advance(at time.Duration) {
	if at > c.now {
		c.elapse(at - c.now)
		c.now = at
	}
}

// backlog returns the cumulative counts of waiting requests by time to the deadline.
func backlog(waiting priorityQueue[*request], now time.Duration) []buffer.Backlog {
	var counts [reportBuckets]int
	for _, e := range waiting.items {
		counts[min(reportBuckets-1, max(0, (e.at-now)/bucketWidth))]++
	}
	var out []buffer.Backlog
	total := 0
	for i, n := range counts {
		if total += n; n > 0 {
			out = append(out, buffer.Backlog{Within: time.Duration(i) * bucketWidth, Count: total})
		}
	}
	return out
}
