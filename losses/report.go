// Package losses determines from the logs of all entry hosts which jobs were late, failed or
// not accepted, and what they waited for.
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

// Report collects the jobs that appear in the logs.
type Report struct {
	jobs map[string]*jobRecord
	// termStarts has the times at which an owner took ownership, decisions the times at which
	// an owner made a scheduling decision.
	termStarts, decisions []time.Time
}

// Outcomes of a job.
const (
	InTime      = "in time"
	Late        = "late"
	Failed      = "failed"
	Cancelled   = "cancelled"
	NotAccepted = "not accepted"
	// Unfinished jobs have no end in the logs: they still run, or the logs stop earlier.
	Unfinished = "no end in the logs"
)

// Causes that the report derives; all others are copied from the logs. The last two are
// prefixes, followed by the reason in the log.
const (
	causeNoOwner     = "no owner"
	causeRunning     = "running"
	causeNotAccepted = "not accepted: "
	causeRunLost     = "run lost: "
)

// JobSummary describes a job and what it waited for.
type JobSummary struct {
	Job, Queue, Account, Outcome string
	At                           time.Time
	Took, Objective              time.Duration
	// Cause is the cause with the longest wait, or causeRunning if running took most of the
	// time. Waits has the time waited for each cause; of tasks that wait in parallel for the
	// same cause, only the longest wait counts.
	Cause string
	Waits map[string]time.Duration
}

// jobRecord holds what the logs contain about one job.
type jobRecord struct {
	queue, account                 string
	requested, accepted, scheduled time.Time
	refusals                       map[string]time.Time // time of the first refusal for each reason
	ended                          time.Time
	endReason                      string
	took, objective                time.Duration
	placements                     []placement
	waits                          map[string]time.Duration
}

// placement is one start of tasks of a step. Their runs have the numbers from first to end-1.
type placement struct {
	at         time.Time
	first, end int64
}

// maxLineBytes exceeds the longest line, which reports a configuration with its error.
const maxLineBytes = 1 << 20

// NewReport returns an empty report.
func NewReport() *Report { return &Report{jobs: make(map[string]*jobRecord)} }

// Read adds the lines of one log to the report. Lines of other programs are skipped.
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

// logLine maps the keys of a log line to their values.
type logLine map[string]string

func (r *Report) readLine(text string) {
	d := logfmt.NewDecoder(strings.NewReader(text))
	l := make(logLine)
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
		r.termStarts = append(r.termStarts, at)
	case "job-scheduled", "tasks-placed", "run-ended", "job-ended":
		r.decisions = append(r.decisions, at)
	}
	if id := l["request"]; id != "" {
		r.job(id).apply(l, at)
	}
}

func (r *Report) job(id string) *jobRecord {
	j := r.jobs[id]
	if j == nil {
		j = &jobRecord{refusals: make(map[string]time.Time), waits: make(map[string]time.Duration)}
		r.jobs[id] = j
	}
	return j
}

// apply updates the record from a log line about the job.
func (j *jobRecord) apply(l logLine, at time.Time) {
	j.queue, j.account = cmp.Or(j.queue, l["queue"]), cmp.Or(j.account, l["account"])
	switch l["event"] {
	case "call-answered":
		if l["method"] == "POST" || l["method"] == "PUT" {
			j.recordAnswer(l, at)
		}
	case "job-scheduled":
		if j.scheduled.IsZero() || at.Before(j.scheduled) {
			j.scheduled = at
		}
	case "tasks-placed":
		j.recordPlacement(l, at)
	case "run-gone":
		j.recordLostRun(l, at, l["reason"])
	case "run-ended":
		if reason := l["reason"]; reason != "done" {
			j.recordLostRun(l, at, reason)
		}
	case "job-ended":
		j.ended, j.endReason = at, l["reason"]
		j.took, j.objective = duration(l["took"]), duration(l["objective"])
	}
}

func (j *jobRecord) recordAnswer(l logLine, at time.Time) {
	if requested := at.Add(-duration(l["took"])); j.requested.IsZero() || requested.Before(j.requested) {
		j.requested = requested
	}
	if l["outcome"] == "accepted" {
		if j.accepted.IsZero() || at.Before(j.accepted) {
			j.accepted = at
		}
		return
	}
	reason := cmp.Or(l["reason"], l["outcome"])
	if first, seen := j.refusals[reason]; !seen || at.Before(first) {
		j.refusals[reason] = at
	}
}

// recordPlacement records a start of tasks and what they waited for. The steps of a job wait
// one after the other; tasks of one step wait in parallel.
func (j *jobRecord) recordPlacement(l logLine, at time.Time) {
	var step, tasks int
	if _, err := fmt.Sscanf(l["reason"], "step %d, %d tasks", &step, &tasks); err != nil {
		return // another version wrote the line
	}
	var first int64
	if _, err := fmt.Sscan(l["run"], &first); err != nil {
		return // another version wrote the line
	}
	j.placements = append(j.placements, placement{at, first, first + int64(tasks)})
	if cause := l["cause"]; cause != "" {
		j.waits[cause] = max(j.waits[cause], duration(l["waited"]))
	}
}

// recordLostRun adds the time spent on a run that was lost or did not succeed.
func (j *jobRecord) recordLostRun(l logLine, at time.Time, reason string) {
	var run int64
	if _, err := fmt.Sscan(l["run"], &run); err != nil {
		return // another version wrote the line
	}
	for _, p := range j.placements {
		if run >= p.first && run < p.end {
			cause := causeRunLost + reason
			j.waits[cause] = max(j.waits[cause], at.Sub(p.at))
		}
	}
}

// duration parses a duration in a log line. It returns zero if the line has none.
func duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

// Losses returns the jobs that were late, failed or not accepted, in the order of submission.
func (r *Report) Losses() []JobSummary {
	return slices.DeleteFunc(r.Jobs(), func(l JobSummary) bool {
		return l.Outcome == InTime || l.Outcome == Unfinished || l.Outcome == Cancelled
	})
}

// Jobs returns all jobs, in the order of submission.
func (r *Report) Jobs() []JobSummary {
	var all []JobSummary
	gaps := r.gaps()
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		if j := r.jobs[id]; !j.requested.IsZero() || !j.scheduled.IsZero() {
			all = append(all, summarize(id, j, gaps))
		}
	}
	slices.SortStableFunc(all, func(a, b JobSummary) int { return a.At.Compare(b.At) })
	return all
}

// ownerGap is a period without an owner.
type ownerGap struct{ from, to time.Time }

// gaps returns the periods from the last decision before each term to the start of the term.
func (r *Report) gaps() []ownerGap {
	decisions := slices.SortedFunc(slices.Values(r.decisions), time.Time.Compare)
	var gaps []ownerGap
	for _, term := range slices.SortedFunc(slices.Values(r.termStarts), time.Time.Compare) {
		n, _ := slices.BinarySearchFunc(decisions, term, time.Time.Compare)
		if n == 0 {
			continue
		}
		from := decisions[n-1]
		if len(gaps) > 0 && from.Before(gaps[len(gaps)-1].to) {
			from = gaps[len(gaps)-1].to // no decision was made in the previous term
		}
		gaps = append(gaps, ownerGap{from, term})
	}
	return gaps
}

// timeWithoutOwner returns how much of the gaps lies between acceptance and end of the job.
func (j *jobRecord) timeWithoutOwner(gaps []ownerGap) time.Duration {
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

func summarize(id string, j *jobRecord, gaps []ownerGap) JobSummary {
	l := JobSummary{Job: id, Queue: j.queue, Account: j.account, At: j.requested, Took: j.took, Objective: j.objective, Waits: maps.Clone(j.waits)}
	if l.At.IsZero() {
		l.At = j.scheduled
	}
	for reason, at := range j.refusals {
		if j.accepted.IsZero() || at.Before(j.accepted) {
			l.Waits[causeNotAccepted+reason] = max(0, j.accepted.Sub(at))
		}
	}
	if !j.accepted.IsZero() {
		l.Waits[causeNoOwner] = max(j.timeWithoutOwner(gaps), j.scheduled.Sub(j.accepted))
	}
	l.Outcome = j.outcome(&l)
	if l.Outcome == NotAccepted {
		l.Waits = map[string]time.Duration{causeNotAccepted + firstReason(j.refusals): 0}
	}
	l.Cause = l.mainCause()
	return l
}

func (j *jobRecord) outcome(l *JobSummary) string {
	switch {
	case j.accepted.IsZero() && j.scheduled.IsZero():
		return NotAccepted
	case j.ended.IsZero():
		return Unfinished
	case j.endReason == Failed, j.endReason == Cancelled:
		return j.endReason
	}
	// For the caller, the time includes the wait until the job is accepted.
	if !j.requested.IsZero() && j.ended.Sub(j.requested) > l.Took {
		l.Took = j.ended.Sub(j.requested)
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

// mainCause returns the cause with the longest wait. For a late job whose longest wait is less
// than half of its lateness, it returns causeRunning.
func (l *JobSummary) mainCause() string {
	cause, longest := causeRunning, time.Duration(-1)
	for _, c := range slices.Sorted(maps.Keys(l.Waits)) {
		if d := l.Waits[c]; d > longest {
			cause, longest = c, d
		}
	}
	if l.Outcome == Late && 2*longest < l.Took-l.Objective {
		return causeRunning
	}
	return cause
}
