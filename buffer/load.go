package buffer

import (
	"math"
	"time"
)

const (
	// reportWeight is the weight of a new report in the moving average of the offered
	// load. With reports every 250 ms a burst is detected within half a second.
	reportWeight = 0.5
	// startFraction is the fraction of the time until its deadline within which waiting
	// work must start. The rest covers the recall of slots and the run itself.
	startFraction = 0.5
)

// load estimates the slots that the service of a pool needs.
type load struct {
	offered float64 // slots in use if no request waited
	last    time.Time
	urgent  int // slots that the deadlines of waiting work require
	useful  int // slots that running and waiting requests could use now
	slack   slack
	longest time.Duration
}

func (l *load) observe(now time.Time, r Report) {
	if d := now.Sub(l.last).Seconds(); !l.last.IsZero() && d > 0 {
		l.offered += reportWeight * (float64(r.Arrived)*r.Run.Seconds()/d - l.offered)
	}
	l.last, l.longest = now, r.Longest
	if r.Arrived > 0 {
		l.slack.observe(now, r.Slack)
	}
	urgent := 0.0
	l.useful = r.Running
	for _, b := range r.Waiting {
		within := max(b.Within.Seconds()*startFraction, r.Run.Seconds())
		urgent = max(urgent, float64(b.Count)*r.Run.Seconds()/within)
		l.useful = r.Running + b.Count
	}
	l.urgent = int(math.Ceil(urgent))
}
