// Package losses finds in the logs of all entry hosts which jobs were late, failed or not
// accepted, and what they waited for.
package losses

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Report has the jobs of which the logs tell.
type Report struct {
	jobs map[string]*record
	// terms has the times at which an owner began, activity those at which one decided.
	terms, activity []time.Time
}

// The outcomes of a job.
const (
	InTime      = "in time"
	Late        = "late"
	Failed      = "failed"
	Cancelled   = "cancelled"
	NotAccepted = "not accepted"
	// Open jobs have no end in the logs: they last, or the logs end before.
	Open = "no end in the logs"
)

// The causes that the logs do not name by themselves.
const (
	noOwner     = "no owner"
	running     = "running"
	notAccepted = "not accepted: "
	lostRun     = "run lost: "
)

// Loss is a job with what it waited for.
type Loss struct {
	Job, Queue, Account, Outcome string
	At                           time.Time
	Took, Objective              time.Duration
	// Cause is what took most of the time besides running, Waits has the time of each cause.
	// Times of tasks side by side count once for each cause.
	Cause string
	Waits map[string]time.Duration
}

// record is what the logs say of one job.
type record struct {
	queue, account             string
	asked, accepted, scheduled time.Time
	refusals                   map[string]time.Time // first time of each reason
	ended                      time.Time
	state                      string
	took, objective            time.Duration
	placed                     []placement
	waits                      map[string]time.Duration
}

// placement is one start of tasks of a step; runs are numbered in a row.
type placement struct {
	at         time.Time
	first, end int64
}

// maxLineBytes is above the longest line, that of a configuration with its error.
const maxLineBytes = 1 << 20

// NewReport returns a report without logs.
func NewReport() *Report { return &Report{jobs: make(map[string]*record)} }

// Read takes the lines of one log. Lines of other programs are passed over.
func (r *Report) Read(log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if at := strings.Index(lines.Text(), "ts="); at >= 0 {
			r.readLine(lines.Text()[at:])
		}
	}
	return lines.Err()
}

// line is a line of a log by its keys.
type line map[string]string

func (r *Report) readLine(text string) {
	d := logfmt.NewDecoder(strings.NewReader(text))
	l := make(line)
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l[string(d.Key())] = string(d.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l["ts"])
	if err := errors.Join(err, d.Err()); err != nil {
		return // a line of another program
	}
	switch l["event"] {
	case "ownership-taken":
		r.terms = append(r.terms, at)
	case "job-scheduled", "tasks-placed", "run-ended", "job-ended":
		r.activity = append(r.activity, at)
	}
	if id := l["request"]; id != "" {
		r.job(id).take(l, at)
	}
}

func (r *Report) job(id string) *record {
	j := r.jobs[id]
	if j == nil {
		j = &record{refusals: make(map[string]time.Time), waits: make(map[string]time.Duration)}
		r.jobs[id] = j
	}
	return j
}

// take applies a line that names the job.
func (j *record) take(l line, at time.Time) {
	j.queue, j.account = cmp.Or(j.queue, l["queue"]), cmp.Or(j.account, l["account"])
	switch l["event"] {
	case "call-answered":
		if l["method"] == "POST" || l["method"] == "PUT" {
			j.answered(l, at)
		}
	case "job-scheduled":
		if j.scheduled.IsZero() || at.Before(j.scheduled) {
			j.scheduled = at
		}
	case "tasks-placed":
		j.place(l, at)
	case "run-gone":
		j.lose(l, at, l["reason"])
	case "run-ended":
		if how := l["reason"]; how != "done" {
			j.lose(l, at, how)
		}
	case "job-ended":
		j.ended, j.state = at, l["reason"]
		j.took, j.objective = duration(l["took"]), duration(l["objective"])
	}
}

func (j *record) answered(l line, at time.Time) {
	if asked := at.Add(-duration(l["took"])); j.asked.IsZero() || asked.Before(j.asked) {
		j.asked = asked
	}
	if l["outcome"] == "accepted" {
		if j.accepted.IsZero() || at.Before(j.accepted) {
			j.accepted = at
		}
		return
	}
	reason := cmp.Or(l["reason"], l["outcome"])
	if first, known := j.refusals[reason]; !known || at.Before(first) {
		j.refusals[reason] = at
	}
}

// place notes a start of tasks and what they waited for. The steps of a job wait one after the
// other; tasks of one step wait side by side.
func (j *record) place(l line, at time.Time) {
	var step, tasks int
	if _, err := fmt.Sscanf(l["reason"], "step %d, %d tasks", &step, &tasks); err != nil {
		return // another version wrote the line
	}
	var first int64
	if _, err := fmt.Sscan(l["run"], &first); err != nil {
		return // another version wrote the line
	}
	j.placed = append(j.placed, placement{at, first, first + int64(tasks)})
	if cause := l["cause"]; cause != "" {
		j.waits[cause] = max(j.waits[cause], duration(l["waited"]))
	}
}

// lose counts the time of a run that came to nothing.
func (j *record) lose(l line, at time.Time, reason string) {
	var run int64
	if _, err := fmt.Sscan(l["run"], &run); err != nil {
		return // another version wrote the line
	}
	for _, p := range j.placed {
		if run >= p.first && run < p.end {
			cause := lostRun + reason
			j.waits[cause] = max(j.waits[cause], at.Sub(p.at))
		}
	}
}

// duration reads a duration of the log, zero if the line has none: such a time counts for nothing.
func duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

// Losses returns the jobs that were not in time, in the order of their submission.
func (r *Report) Losses() []Loss {
	return slices.DeleteFunc(r.Jobs(), func(l Loss) bool { return l.Outcome == InTime || l.Outcome == Open || l.Outcome == Cancelled })
}

// Jobs returns all jobs, in the order of their submission.
func (r *Report) Jobs() []Loss {
	var all []Loss
	gaps := r.gaps()
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		if j := r.jobs[id]; !j.asked.IsZero() || !j.scheduled.IsZero() {
			all = append(all, judge(id, j, gaps))
		}
	}
	slices.SortStableFunc(all, func(a, b Loss) int { return a.At.Compare(b.At) })
	return all
}

// gap is a time without an owner.
type gap struct{ from, to time.Time }

// gaps returns the times from the last decision before a term to its beginning.
func (r *Report) gaps() []gap {
	activity := slices.SortedFunc(slices.Values(r.activity), time.Time.Compare)
	var gaps []gap
	for _, term := range slices.SortedFunc(slices.Values(r.terms), time.Time.Compare) {
		n, _ := slices.BinarySearchFunc(activity, term, time.Time.Compare)
		if n == 0 {
			continue
		}
		from := activity[n-1]
		if len(gaps) > 0 && from.Before(gaps[len(gaps)-1].to) {
			from = gaps[len(gaps)-1].to // a term in which nothing was decided
		}
		gaps = append(gaps, gap{from, term})
	}
	return gaps
}

// within is how much of the gaps a job was open.
func (j *record) within(gaps []gap) time.Duration {
	var sum time.Duration
	for _, g := range gaps {
		from, to := g.from, g.to
		if from.Before(j.accepted) {
			from = j.accepted
		}
		if !j.ended.IsZero() && to.After(j.ended) {
			to = j.ended
		}
		sum += max(0, to.Sub(from))
	}
	return sum
}

func judge(id string, j *record, gaps []gap) Loss {
	l := Loss{Job: id, Queue: j.queue, Account: j.account, At: j.asked, Took: j.took, Objective: j.objective, Waits: maps.Clone(j.waits)}
	if l.At.IsZero() {
		l.At = j.scheduled
	}
	for reason, at := range j.refusals {
		if j.accepted.IsZero() || at.Before(j.accepted) {
			l.Waits[notAccepted+reason] = max(0, j.accepted.Sub(at))
		}
	}
	if !j.accepted.IsZero() {
		l.Waits[noOwner] = max(j.within(gaps), j.scheduled.Sub(j.accepted))
	}
	l.Outcome = j.outcome(&l)
	if l.Outcome == NotAccepted {
		l.Waits = map[string]time.Duration{notAccepted + firstReason(j.refusals): 0}
	}
	l.Cause = l.mainCause()
	return l
}

func (j *record) outcome(l *Loss) string {
	switch {
	case j.accepted.IsZero() && j.scheduled.IsZero():
		return NotAccepted
	case j.ended.IsZero():
		return Open
	case j.state == Failed, j.state == Cancelled:
		return j.state
	}
	// A caller also waits before its job is accepted.
	if !j.asked.IsZero() && j.ended.Sub(j.asked) > l.Took {
		l.Took = j.ended.Sub(j.asked)
	}
	if l.Objective > 0 && l.Took > l.Objective {
		return Late
	}
	return InTime
}

func firstReason(refusals map[string]time.Time) string {
	reasons := slices.SortedFunc(maps.Keys(refusals), func(a, b string) int {
		return cmp.Or(refusals[a].Compare(refusals[b]), cmp.Compare(a, b))
	})
	if len(reasons) == 0 {
		return "no answer is logged"
	}
	return reasons[0]
}

// mainCause is what took the most time, or running if that is less than half of the lateness.
func (l *Loss) mainCause() string {
	cause, longest := running, time.Duration(-1)
	for _, c := range slices.Sorted(maps.Keys(l.Waits)) {
		if d := l.Waits[c]; d > longest {
			cause, longest = c, d
		}
	}
	if l.Outcome == Late && 2*longest < l.Took-l.Objective {
		return running
	}
	return cause
}
