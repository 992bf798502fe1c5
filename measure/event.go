package measure

import (
	"time"

	"egretdrum.example/buffer"
)

// event is something that happens at a time; equal times keep their order of entry.
type event struct {
	at       time.Duration
	sequence int
	do       func()
}

// clock plays events in virtual time. It calls pass for each span of time before it ends.
type clock struct {
	now    time.Duration
	events queue[event]
	count  int
	pass   func(d time.Duration)
}

func newClock(pass func(d time.Duration)) *clock {
	return &clock{pass: pass, events: queue[event]{less: func(a, b event) bool {
		return a.at < b.at || a.at == b.at && a.sequence < b.sequence
	}}}
}

func (c *clock) after(d time.Duration, do func()) {
	c.count++
	c.events.push(event{c.now + d, c.count, do})
}

func (c *clock) playUntil(at time.Duration) {
	for len(c.events.items) > 0 && c.events.items[0].at <= at {
		e := c.events.pop()
		c.advance(e.at)
		e.do()
	}
	c.advance(at)
}

func (c *clock) advance(at time.Duration) {
	if at > c.now {
		c.pass(at - c.now)
		c.now = at
	}
}

// newWaiting returns a queue of requests, earliest deadline first.
func newWaiting() queue[request] {
	return queue[request]{less: func(a, b request) bool { return a.deadline < b.deadline }}
}

// backlog counts the waiting requests by remaining time, cumulatively.
func backlog(waiting queue[request], now time.Duration) []buffer.Backlog {
	var counts [reportBuckets]int
	for _, r := range waiting.items {
		counts[min(reportBuckets-1, max(0, (r.deadline-now)/bucketWidth))]++
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
