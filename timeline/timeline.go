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

// Timeline has the lines that concern a job, in the order of their times.
type Timeline struct {
	Job   string
	Lines []Line
}

// Line is one line of a log.
type Line struct {
	At    time.Time
	Event string
	// Source names the log that has the line.
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

// workerEvents concern a worker as a whole, and so the tasks that it had.
var workerEvents = []string{"worker-unanswered", "worker-answered", "worker-restarted", "worker-replaced", "worker-leaving"}

// maxLineBytes is above the longest line, that of a configuration with its error.
const maxLineBytes = 1 << 20

// Collector reads logs for one job.
type Collector struct {
	job     string
	own     []Line
	workers []Line
}

// NewCollector returns a collector for the job with the given ID.
func NewCollector(job string) *Collector { return &Collector{job: job} }

// Read takes the lines of one log.
func (c *Collector) Read(source string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		text := lines.Text()
		event := field(eventField, text)
		own := strings.Contains(text, "request="+c.job)
		if !own && !slices.Contains(workerEvents, event) {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, field(timeField, text))
		if err != nil {
			continue // a line of another program
		}
		line := Line{At: at, Event: event, Source: source, Text: text, worker: field(workerField, text)}
		if own {
			c.own = append(c.own, line)
		} else {
			c.workers = append(c.workers, line)
		}
	}
	return lines.Err()
}

func field(pattern *regexp.Regexp, text string) string {
	if m := pattern.FindStringSubmatch(text); m != nil {
		return m[1]
	}
	return ""
}

// Timeline returns what was found: the lines of the job, and those of its workers from
// its first line to its last.
func (c *Collector) Timeline() *Timeline {
	t := &Timeline{Job: c.job, Lines: slices.Clone(c.own)}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(t.Lines, byTime)
	if len(t.Lines) == 0 {
		return t
	}
	first, last := t.Lines[0].At, t.Lines[len(t.Lines)-1].At
	for _, w := range c.workers {
		concerns := slices.ContainsFunc(c.own, func(l Line) bool { return l.worker == w.worker && l.worker != "" })
		if concerns && !w.At.Before(first) && !w.At.After(last) {
			t.Lines = append(t.Lines, w)
		}
	}
	slices.SortStableFunc(t.Lines, byTime)
	return t
}

// Summary says in one line how the job ended and where its time went.
func (t *Timeline) Summary() string {
	if len(t.Lines) == 0 {
		return t.Job + ": no log has a line of it"
	}
	last := t.Lines[len(t.Lines)-1]
	var ending string
	for _, l := range t.Lines {
		switch l.Event {
		case "call-answered", "job-ended":
			ending = l.Event + " " + strings.Trim(field(reasonField, l.Text), `"`)
		}
	}
	gap, before, after := t.longestGap()
	return fmt.Sprintf("%s: %s; %d lines in %v; longest pause %v, from %s to %s",
		t.Job, cmp.Or(ending, "not ended"), len(t.Lines), last.At.Sub(t.Lines[0].At), gap, before, after)
}

func (t *Timeline) longestGap() (gap time.Duration, before, after string) {
	for i := 1; i < len(t.Lines); i++ {
		if d := t.Lines[i].At.Sub(t.Lines[i-1].At); d > gap {
			gap, before, after = d, t.Lines[i-1].Event, t.Lines[i].Event
		}
	}
	return gap, before, after
}
