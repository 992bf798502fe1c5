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

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// deadlines holds waiting requests, earliest deadline first.
type deadlines []request

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].deadline < d[j].deadline }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deadlines) Push(x any)        { *d = append(*d, x.(request)) }

func (d *deadlines) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// backlog counts the waiting requests by remaining time, cumulatively.
func (d deadlines) backlog(now time.Duration) []buffer.Backlog {
	var counts [reportBuckets]int
	for _, r := range d {
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
