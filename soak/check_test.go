package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// cancelWithin is when a cancelled job has nothing running any more, with the time that a
	// worker needs to stop a run.
	cancelWithin = 3900 * time.Millisecond
	// limitTolerance is the share by which an account may exceed its limit, besides one task.
	limitTolerance = 0.1
)

// interval is one run of a task on a worker, as the worker saw it.
type interval struct {
	task, worker string
	run          int64
	from, to     time.Time
	// how is the reason of the end, empty while it runs.
	how string
}

// history holds all runs by their tasks, in the order of their starts.
type history struct {
	tasks  map[string][]*interval
	starts []*interval
}

type runID struct {
	task, worker string
	incarnation  int64
	run          int64
}

// readHistory reads all starts and ends from the emulator.
func readHistory(c *control) (*history, error) {
	starts, err := allEvents(c, "starts")
	if err != nil {
		return nil, err
	}
	ends, err := allEvents(c, "ends")
	if err != nil {
		return nil, err
	}
	var runs []*interval
	open := make(map[runID]*interval)
	for _, e := range starts {
		r := &interval{task: e.Task, worker: e.Worker, run: e.Run, from: e.At}
		open[runID{e.Task, e.Worker, e.Incarnation, e.Run}] = r
		runs = append(runs, r)
	}
	for _, e := range ends {
		if r := open[runID{e.Task, e.Worker, e.Incarnation, e.Run}]; r != nil && r.how == "" {
			r.to, r.how = e.At, e.Reason
		}
	}
	return newHistory(runs), nil
}

// newHistory returns the history of runs in the order of their starts.
func newHistory(runs []*interval) *history {
	h := &history{tasks: make(map[string][]*interval), starts: runs}
	for _, r := range runs {
		h.tasks[r.task] = append(h.tasks[r.task], r)
	}
	return h
}

// lines describes each run.
func (h *history) lines() string {
	var b strings.Builder
	for _, r := range h.starts {
		fmt.Fprintf(&b, "%s %s run %d on %s until %s %s\n", r.from.Format(time.RFC3339Nano), r.task, r.run, r.worker, r.to.Format(time.RFC3339Nano), r.how)
	}
	return b.String()
}

func allEvents(c *control, kind string) ([]runEvent, error) {
	var all []runEvent
	for {
		after := int64(0)
		if len(all) > 0 {
			after = all[len(all)-1].Number
		}
		page, err := c.events(kind, after)
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return all, nil
		}
		all = append(all, page...)
	}
}

// parseTask splits the name of a task into its job and its step.
func parseTask(name string) (job string, step int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil {
		return "", 0
	}
	return parts[0], step
}

// checkRuns checks what the workers saw against what the callers know. Promises with a time
// bound count from calm on.
func (s *callers) checkRuns(h *history, calm time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, runs := range h.tasks {
		id, n := parseTask(name)
		j := s.jobs[id]
		if j == nil || n >= len(j.steps) {
			s.c.fail("unknown-job", "%s was started on %s", name, runs[0].worker)
			continue
		}
		j.mu.Lock()
		if j.accepted.IsZero() && j.others == 0 {
			s.c.fail("refused-job", "%s was started on %s, although all %d submissions were refused", name, runs[0].worker, j.refusals)
		}
		if !j.steps[n].Speculative {
			s.checkOneRun(name, runs)
		}
		s.checkCancelled(j, name, runs, calm)
		for _, before := range j.steps[n].After {
			if done := h.doneAt(j, before); done.IsZero() || runs[0].from.Before(done) {
				s.c.fail("step-order", "%s was started before step %d was done", name, before)
			}
		}
		j.mu.Unlock()
	}
	s.checkLimit(h)
	for _, j := range s.jobs {
		s.checkOutcome(h, j)
	}
}

func (s *callers) checkOneRun(name string, runs []*interval) {
	for n, r := range runs[1:] {
		for _, earlier := range runs[:n+1] {
			if earlier.how == "" || earlier.to.After(r.from) {
				s.c.fail("one-run", "%s: run %d on %s starts while run %d on %s goes on (%v before its end, %q)",
					name, r.run, r.worker, earlier.run, earlier.worker, earlier.to.Sub(r.from), earlier.how)
			}
		}
	}
}

func (s *callers) checkCancelled(j *submitted, name string, runs []*interval, calm time.Time) {
	if j.cancelled.IsZero() {
		return
	}
	bound := calm.Add(contact)
	if j.cancelled.After(bound) {
		bound = j.cancelled
	}
	bound = bound.Add(cancelWithin)
	for _, r := range runs {
		if r.from.After(bound) || r.how == "" && time.Now().After(bound) || r.to.After(bound) {
			s.c.fail("cancelled-job", "%s: run %d on %s from %v to %v (%q), cancelled at %v", name, r.run, r.worker, r.from, r.to, r.how, j.cancelled)
		}
	}
}

// doneAt returns when the last task of a step was done, zero if one was not.
func (h *history) doneAt(j *submitted, step int) (last time.Time) {
	anyOf := j.steps[step].Gang
	for index := range j.steps[step].Count {
		done := h.taskDone(fmt.Sprintf("%s.0.%d.%d", j.id, step, index))
		if done.IsZero() && !anyOf {
			return time.Time{}
		}
		if done.After(last) {
			last = done
		}
	}
	return last
}

// taskDone returns when a run of a task first ended as done.
func (h *history) taskDone(name string) (first time.Time) {
	for _, r := range h.tasks[name] {
		if r.how == "done" && (first.IsZero() || r.to.Before(first)) {
			first = r.to
		}
	}
	return first
}

// checkLimit checks the limit of the account that has one at each start.
func (s *callers) checkLimit(h *history) {
	limit := s.limit
	type change struct {
		at  time.Time
		cpu int
	}
	var changes []change
	largest := 0
	for _, r := range h.starts {
		id, n := parseTask(r.task)
		if j := s.jobs[id]; j != nil && j.account == limitedAccount && n < len(j.steps) {
			cpu := j.steps[n].CPU
			largest = max(largest, cpu)
			changes = append(changes, change{r.from, cpu})
			if r.how != "" {
				changes = append(changes, change{r.to, -cpu})
			}
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	inUse, most := 0, 0
	for _, c := range changes {
		inUse += c.cpu
		most = max(most, inUse)
	}
	s.mostInUse = most
	if allowed := int(float64(limit)*(1+limitTolerance)) + largest; most > allowed {
		s.c.fail("account-limit", "%s had %d thousandths of a core in use, %d are allowed", limitedAccount, most, allowed)
	}
}

// checkOutcome checks the state that was shown for a job in the end.
func (s *callers) checkOutcome(h *history, j *submitted) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case j.accepted.IsZero():
	case j.final == "":
		s.c.fail("unfinished-job", "%s %s of %s, accepted %v after its submission, has not ended", j.id, j.kind, j.queue, j.accepted.Sub(j.due).Round(time.Millisecond))
	case j.final == "succeeded":
		for n := range j.steps {
			if h.doneAt(j, n).IsZero() {
				s.c.fail("early-success", "%s %s has succeeded, but step %d is not done", j.id, j.kind, n)
			}
		}
	case j.final == "failed" && j.want == "failed":
		if most := h.mostFailures(j); most < maxAttempts[j.queue] {
			s.c.fail("wrong-failure", "%s has failed with %d failures of a task", j.id, most)
		}
	}
}

func (h *history) mostFailures(j *submitted) (most int) {
	for name, runs := range h.tasks {
		if !strings.HasPrefix(name, j.id) {
			continue
		}
		failures := 0
		for _, r := range runs {
			if r.how == "failed" {
				failures++
			}
		}
		most = max(most, failures)
	}
	return most
}

// checkEvacuations checks that nothing was started in an evacuated zone.
func (i *inflictor) checkEvacuations(h *history, zones map[string]string) {
	for _, e := range i.evacuations {
		for _, r := range h.starts {
			if zones[r.worker] == e.zone && r.from.After(e.span.from.Add(evacuateWithin)) && r.from.Before(e.span.to) {
				i.c.fail("evacuation", "%s was started on %s in %s, %v after the start of its evacuation", r.task, r.worker, e.zone, r.from.Sub(e.span.from))
			}
		}
	}
}

// checkWaves waits until all waves are said to have succeeded.
func (i *inflictor) checkWaves(deadline time.Time) {
	for _, number := range i.waves {
		for {
			var wave struct {
				State string `json:"state"`
			}
			err := i.c.control.call(http.MethodGet, fmt.Sprintf("/waves/%d", number), nil, &wave)
			if err == nil && wave.State == "succeeded" {
				break
			}
			if time.Now().After(deadline) {
				i.c.fail("unfinished-wave", "wave %d: %q %v", number, wave.State, err)
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
}
