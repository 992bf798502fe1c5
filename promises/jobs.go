package promises

import (
	"fmt"
	"time"

	"egretdrum.example/job"
	"egretdrum.example/progress"
)

// jobRecord is what is known about a job.
type jobRecord struct {
	job *job.Job
	// attempts is the number of submissions sent, refused those that were refused.
	attempts, refused   int
	accepted            time.Time
	cancelled           time.Time
	shown               progress.State
	tasks               map[job.Task]*taskRecord
	doneCount           map[occurrenceStep]int
	reportedAfterCancel bool
}

type occurrenceStep struct{ occurrence, step int }

// taskRecord is what is known about a task.
type taskRecord struct {
	running map[runKey]bool
	starts  []startRecord
	ends    []*endRecord
	done    bool
	// startsAfter counts the starts after maxCrashes crashes.
	crashes, startsAfter int
}

type runKey struct {
	worker      string
	incarnation int64
	run         int64
}

type startRecord struct {
	at       time.Time
	worker   string
	run      int64
	reported map[Check]bool
}

// endRecord is an end that counts once its worker was told to forget it.
type endRecord struct {
	task         job.Task
	at           time.Time
	worker       string
	incarnation  int64
	number       int64
	done, failed bool
	acknowledged bool
	// void is set if the end was lost, or the lease of the worker expired, before the
	// acknowledgement.
	void bool
}

// Submit records that a submission was sent to a host.
func (r *Recorder) Submit(j *job.Job) {
	record := r.jobs[j.ID]
	if record == nil {
		record = &jobRecord{job: j, tasks: make(map[job.Task]*taskRecord), doneCount: make(map[occurrenceStep]int)}
		r.jobs[j.ID] = record
	}
	record.attempts++
}

// Accept records that a submission was accepted.
func (r *Recorder) Accept(at time.Time, id string) {
	if record := r.jobs[id]; record != nil && record.accepted.IsZero() {
		record.accepted = at
	}
}

// Refuse records that a submission was refused: it must have no effect.
func (r *Recorder) Refuse(id string) {
	if record := r.jobs[id]; record != nil {
		record.refused++
	}
}

// Cancel records that a cancellation was acknowledged.
func (r *Recorder) Cancel(at time.Time, id string) {
	if record := r.jobs[id]; record != nil && record.cancelled.IsZero() {
		record.cancelled = at
		r.cancelled[id] = record
	}
}

// Show records the state of a job that a host has shown.
func (r *Recorder) Show(at time.Time, id string, state progress.State) {
	record := r.jobs[id]
	if record == nil {
		return
	}
	// Answers of two hosts may overtake each other, so a state that is not final may come later.
	if record.ended() && state.Final() && state != record.shown {
		r.violate(at, ChangedState, Violation{Job: id, Detail: fmt.Sprintf("shown as %s after it was shown as %s", state, record.shown)})
	}
	if !record.ended() {
		record.shown = state
	}
	switch {
	case state == progress.Succeeded && !record.complete():
		r.violate(at, EarlySuccess, Violation{Job: id, Detail: "a task has not ended as done"})
	case state == progress.Failed && !r.failed(at, record):
		r.violate(at, WrongFailure, Violation{Job: id, Detail: "no task has failed as often as its queue allows"})
	case state == progress.Cancelled && record.cancelled.IsZero():
		// A cancellation whose answer was lost is not known here.
		r.Cancel(at, id)
	}
}

// ShowUnknown records that a host does not know a job.
func (r *Recorder) ShowUnknown(at time.Time, id string) {
	record := r.jobs[id]
	if record == nil || record.accepted.IsZero() || !record.cancelled.IsZero() || record.ended() {
		return
	}
	if at.After(record.accepted.Add(visibleTime)) {
		r.violate(at, LostJob, Violation{Job: id, Detail: "shown as unknown " + at.Sub(record.accepted).String() + " after it was accepted"})
	}
}

// ended reports whether the job was shown as ended; hosts forget such a job after some time.
func (j *jobRecord) ended() bool {
	return j.shown.Final()
}

// complete reports whether all tasks have ended as done.
func (j *jobRecord) complete() bool {
	for occurrence := range j.job.Occurrences() {
		for step := range j.job.Steps {
			if j.doneCount[occurrenceStep{occurrence, step}] < j.job.Steps[step].Count {
				return false
			}
		}
	}
	return true
}

// failed reports whether a task may fail its job.
func (r *Recorder) failed(at time.Time, j *jobRecord) bool {
	limit := 0
	for i, q := range r.queue(at, j.job.Queue) {
		if i == 0 || q.MaxAttempts < limit {
			limit = q.MaxAttempts
		}
	}
	for _, t := range j.tasks {
		failures := 0
		for _, e := range t.ends {
			if e.failed {
				failures++
			}
		}
		if failures >= limit || t.crashes >= givenUpCrashes {
			return true
		}
	}
	return false
}

func (j *jobRecord) task(t job.Task) *taskRecord {
	record := j.tasks[t]
	if record == nil {
		record = &taskRecord{running: make(map[runKey]bool)}
		j.tasks[t] = record
	}
	return record
}

// step returns the step of a task, nil if the job has none with these numbers.
func (j *jobRecord) step(t job.Task) *job.Step {
	if t.Step >= len(j.job.Steps) || t.Index >= j.job.Steps[t.Step].Count || t.Occurrence >= j.job.Occurrences() {
		return nil
	}
	return &j.job.Steps[t.Step]
}

// CheckCancelled checks that no run of a cancelled job goes on. It is to be called from time to time.
func (r *Recorder) CheckCancelled(at time.Time) {
	for id, record := range r.cancelled {
		if record.reportedAfterCancel {
			continue
		}
		from := record.cancelled
		if calm := r.calmFrom.Add(calmTime); !r.calmFrom.IsZero() && calm.After(from) {
			from = calm
		}
		if !at.After(from.Add(cancelTime + r.StopTime)) {
			continue
		}
		for t, task := range record.tasks {
			for run := range task.running {
				start := task.start(run)
				if at.After(start.at.Add(calmTime + cancelTime + r.StopTime)) {
					record.reportedAfterCancel = true
					r.violate(at, RunAfterCancel, Violation{Job: id, Task: t.String(), Worker: run.worker, Detail: "runs " + at.Sub(record.cancelled).String() + " after the cancellation"})
				}
			}
		}
	}
}

// start returns the newest start of a run.
func (t *taskRecord) start(run runKey) startRecord {
	for i := len(t.starts) - 1; i >= 0; i-- {
		if s := t.starts[i]; s.worker == run.worker && s.run == run.run {
			return s
		}
	}
	return startRecord{}
}

// Progress returns how many tasks of a job have ended as done, and how many it has.
func (r *Recorder) Progress(id string) (done, tasks int) {
	j := r.jobs[id]
	if j == nil {
		return 0, 0
	}
	for i := range j.job.Steps {
		tasks += j.job.Steps[i].Count * j.job.Occurrences()
	}
	for _, n := range j.doneCount {
		done += n
	}
	return done, tasks
}
