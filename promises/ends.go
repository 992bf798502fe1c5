package promises

import (
	"fmt"
	"time"

	"egretdrum.example/job"
	"egretdrum.example/worker"
)

// End records that a run has ended on a worker and is listed there.
func (r *Recorder) End(at time.Time, id string, e worker.End) {
	w, j := r.workers[id], r.jobs[e.Task.Job]
	if w == nil || j == nil || j.step(e.Task) == nil {
		return
	}
	r.remove(w, workerRun{e.Task, e.Run})
	task := j.task(e.Task)
	record := &endRecord{
		task: e.Task, at: at, worker: id, incarnation: w.entry.Incarnation, number: e.Number,
		done: e.Reason == worker.Done, failed: e.Reason == worker.Failed,
	}
	w.listed = append(w.listed, record)
	task.ends = append(task.ends, record)
	if record.done {
		r.markDone(j, e.Task)
	}
}

// markDone counts a task as done; the end of one member of a gang stands for all of them.
func (r *Recorder) markDone(j *jobRecord, t job.Task) {
	tasks := []job.Task{t}
	if step := j.step(t); step.Gang {
		tasks = tasks[:0]
		for index := range step.Count {
			tasks = append(tasks, job.Task{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: index})
		}
	}
	for _, member := range tasks {
		if record := j.task(member); !record.done {
			record.done = true
			j.doneCount[occurrenceStep{t.Occurrence, t.Step}]++
		}
	}
}

// remove takes a run off its worker, its task and its account.
func (r *Recorder) remove(w *workerRecord, run workerRun) {
	need, present := w.runs[run]
	if !present {
		return
	}
	delete(w.runs, run)
	if j := r.jobs[run.task.Job]; j != nil {
		delete(j.task(run.task).running, runKey{w.entry.ID, w.entry.Incarnation, run.run})
		r.accounts[j.job.Account] = r.accounts[j.job.Account].Sub(need)
	}
}

// Acknowledge records that a worker was told to forget its ends up to a number.
func (r *Recorder) Acknowledge(at time.Time, id string, number int64) {
	w := r.workers[id]
	if w == nil {
		return
	}
	for len(w.listed) > 0 && w.listed[0].number <= number {
		e := w.listed[0]
		w.listed = w.listed[1:]
		e.acknowledged = true
		if j := r.jobs[e.task.Job]; j != nil {
			r.checkEnds(at, j, e.task)
		}
	}
}

// checkEnds checks the starts of a task against the acknowledged ends before them. An end may be
// acknowledged after the start.
func (r *Recorder) checkEnds(at time.Time, j *jobRecord, t job.Task) {
	step, task := j.step(t), j.task(t)
	// Copies of a speculative task may start until the owner knows of the first end.
	if step.Speculative {
		return
	}
	limit := r.maxAttempts(at, j.job)
	for i := range task.starts {
		s := &task.starts[i]
		done, failures := false, 0
		for _, e := range task.ends {
			if !e.acknowledged || e.void || !e.at.Before(s.at) {
				continue
			}
			done = done || e.done
			if e.failed {
				failures++
			}
		}
		v := Violation{Job: t.Job, Task: t.String(), Worker: s.worker}
		if done && !s.reported[StartAfterDone] {
			s.reported[StartAfterDone] = true
			v.Detail = fmt.Sprintf("run %d starts after a run has ended as done", s.run)
			r.violate(at, StartAfterDone, v)
		}
		if limit > 0 && failures >= limit && !step.LongRunning && !s.reported[TooManyAttempts] {
			s.reported[TooManyAttempts] = true
			v.Detail = fmt.Sprintf("run %d starts after %d failures", s.run, failures)
			r.violate(at, TooManyAttempts, v)
		}
	}
}
