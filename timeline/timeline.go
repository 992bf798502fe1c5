// Package timeline finds what happened to one job in the logs of all entry hosts.
package timeline

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Timeline holds the log lines about a job, ordered by time.
type Timeline struct {
	Job   string
	Lines []Line
}

// Line is one line of a log.
type Line struct {
	At    time.Time
	Event string
	// Source is the name of the log that contains the line.
	Source string
	Text   string
	worker string
}

var (
	timeField   = regexp.MustCompile(`\bts=(\S+)`)
	eventField  = regexp.MustCompile(`\bevent=(\S+)`)
	workerField = regexp.MustCompile(`\bworker=(\S+)`)
	reasonField = regexp.MustCompile(`\b(?:outcome|reason)=("[^"]*"|\S+)`)
)

// workerEvents lists the events of a worker that affect all of its tasks.
var workerEvents = []string{"worker-unanswered", "worker-answered", "worker-restarted", "worker-replaced", "worker-leaving"}

// maxLineBytes exceeds the longest line, which reports a configuration with its error.
const maxLineBytes = 1 << 20

// Collector extracts the lines about one job from logs.
type Collector struct {
	job         string
	jobLines    []Line
	workerLines []Line
}

// NewCollector returns a collector for the job with the given ID.
func NewCollector(job string) *Collector { return &Collector{job: job} }

// Read processes one log; source is its name.
func (c *Collector) Read(source string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		text := lines.Text()
		event := fieldValue(eventField, text)
		ofJob := strings.Contains(text, "request="+c.job)
		if !ofJob && !slices.Contains(workerEvents, event) {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, fieldValue(timeField, text))
		if err != nil {
			continue // a line of another program
		}
		line := Line{At: at, Event: event, Source: source, Text: text, worker: fieldValue(workerField, text)}
		if ofJob {
			c.jobLines = append(c.jobLines, line)
		} else {
			c.workerLines = append(c.workerLines, line)
		}
	}
	return lines.Err()
}

func fieldValue(pattern *regexp.Regexp, text string) string {
	if m := pattern.FindStringSubmatch(text); m != nil {
		return m[1]
	}
	return ""
}

// Timeline returns the lines of the job, and those of its workers between the first and the
// last line of the job.
func (c *Collector) Timeline() *Timeline {
	t := &Timeline{Job: c.job, Lines: slices.Clone(c.jobLines)}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(t.Lines, byTime)
	if len(t.Lines) == 0 {
		return t
	}
	first, last := t.Lines[0].At, t.Lines[len(t.Lines)-1].At
	for _, w := range c.workerLines {
		runsJob := slices.ContainsFunc(c.jobLines, func(l Line) bool { return l.worker == w.worker && l.worker != "" })
		if runsJob && !w.At.Before(first) && !w.At.After(last) {
			t.Lines = append(t.Lines, w)
		}
	}
	slices.SortStableFunc(t.Lines, byTime)
	return t
}

// Summary describes in one line how the job ended and the longest gap between two of its lines.
func (t *Timeline) Summary() string {
	if len(t.Lines) == 0 {
		return t.Job + ": no log has a line of it"
	}
	last := t.Lines[len(t.Lines)-1]
	var outcome string
	for _, l := range t.Lines {
		switch l.Event {
		case "call-answered", "job-ended":
			outcome = l.Event + " " + strings.Trim(fieldValue(reasonField, l.Text), `"`)
		}
	}
	gap, before, after := t.longestGap()
	return fmt.Sprintf("%s: %s; %d lines in %v; longest pause %v, from %s to %s",
		t.Job, cmp.Or(outcome, "not ended"), len(t.Lines), last.At.Sub(t.Lines[0].At), gap, before, after)
}

func (t *Timeline) longestGap() (gap time.Duration, before, after string) {
	for i := 1; i < len(t.Lines); i++ {
		if d := t.Lines[i].At.Sub(t.Lines[i-1].At); d > gap {
			gap, before, after = d, t.Lines[i-1].Event, t.Lines[i].Event
		}
	}
	return gap, before, after
}
