package buffer

import (
	"math"
	"time"
)

const (
	// newPart is the weight of a new report in the offered load. With reports every
	// 250 ms a burst is seen within half a second.
	newPart = 0.5
	// slackPart is the part of its remaining time by which waiting work is to start.
	// The rest covers the recall of slots and the run itself.
	slackPart = 0.5
)

// load estimates the slots that the service of a pool needs.
type load struct {
	offered float64 // slots in use if no request waited
	last    time.Time
	urgent  int // slots that the deadlines of waiting work ask for
	useful  int // slots that requests would use now
	slack   slack
	longest time.Duration
}

func (l *load) observe(now time.Time, r Report) {
	if d := now.Sub(l.last).Seconds(); !l.last.IsZero() && d > 0 {
		l.offered += newPart * (float64(r.Arrived)*r.Run.Seconds()/d - l.offered)
	}
	l.last, l.longest = now, r.Longest
	if r.Arrived > 0 {
		l.slack.observe(now, r.Slack)
	}
	urgent := 0.0
	l.useful = r.Running
	for _, b := range r.Waiting {
		within := max(b.Within.Seconds()*slackPart, r.Run.Seconds())
		urgent = max(urgent, float64(b.Count)*r.Run.Seconds()/within)
		l.useful = r.Running + b.Count
	}
	l.urgent = int(math.Ceil(urgent))
}
