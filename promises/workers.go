package promises

import (
	"fmt"
	"time"

	"egretdrum.example/job"
	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

// workerRecord is what is known about the current incarnation of a worker.
type workerRecord struct {
	entry      worker.Entry
	capacities []dated[resource.Amount]
	runs       map[workerRun]resource.Amount
	listed     []*endRecord
	// draining is when the worker has told that it leaves, zero if it has not.
	draining time.Time
}

type workerRun struct {
	task job.Task
	run  int64
}

// Join records that a worker has started, with nothing running.
func (r *Recorder) Join(at time.Time, e worker.Entry) {
	r.workers[e.ID] = &workerRecord{entry: e, capacities: []dated[resource.Amount]{{at, e.Capacity}}, runs: make(map[workerRun]resource.Amount)}
}

// Resize records that the capacity of a worker has changed.
func (r *Recorder) Resize(at time.Time, id string, capacity resource.Amount) {
	if w := r.workers[id]; w != nil {
		w.capacities = append(current(w.capacities, at), dated[resource.Amount]{at, capacity})
	}
}

// Drain records that a worker has told that it leaves.
func (r *Recorder) Drain(at time.Time, id string) {
	if w := r.workers[id]; w != nil && w.draining.IsZero() {
		w.draining = at
	}
}

// Lose records that a worker is gone, with its runs and with the ends that were not acknowledged.
func (r *Recorder) Lose(id string) {
	w := r.workers[id]
	if w == nil {
		return
	}
	for run := range w.runs {
		r.remove(w, run)
	}
	w.voidEnds()
	delete(r.workers, id)
}

// Crash records that a task has crashed its worker; Lose follows.
func (r *Recorder) Crash(t job.Task) {
	if j := r.jobs[t.Job]; j != nil {
		j.task(t).crashes++
	}
}

// ExpireLease records that the lease of a worker has expired.
func (r *Recorder) ExpireLease(id string) {
	if w := r.workers[id]; w != nil {
		w.voidEnds()
	}
}

func (w *workerRecord) voidEnds() {
	for _, e := range w.listed {
		e.void = true
	}
	w.listed = nil
}

// Start is the start of a run on a worker.
type Start struct {
	Worker string
	Task   job.Task
	Run    int64
	// Late is set if the order was carried out after its sender had given up: the checks with
	// a time bound do not apply.
	Late bool
}

// Start records a start and checks it.
func (r *Recorder) Start(at time.Time, s Start) {
	w, j := r.workers[s.Worker], r.jobs[s.Task.Job]
	v := Violation{Job: s.Task.Job, Task: s.Task.String(), Worker: s.Worker}
	if j == nil || j.step(s.Task) == nil {
		v.Detail = "no caller has submitted such a task"
		r.violate(at, UnknownJob, v)
		return
	}
	if w == nil {
		return
	}
	if j.refused == j.attempts {
		v.Detail = "all submissions of the job were refused"
		r.violate(at, RefusedJob, v)
	}
	step, task := j.step(s.Task), j.task(s.Task)
	r.checkTask(at, j, task, step, v)
	r.checkTimes(at, j, w, s, v)
	r.checkPlace(at, j, w, s.Task, v)
	need := step.Reserved()
	w.runs[workerRun{s.Task, s.Run}] = need
	task.running[runKey{s.Worker, w.entry.Incarnation, s.Run}] = true
	task.starts = append(task.starts, startRecord{at, s.Worker, s.Run, make(map[Check]bool)})
	r.accounts[j.job.Account] = r.accounts[j.job.Account].Add(need)
	r.checkRoom(at, j, w, need, v)
	r.checkEnds(at, j, s.Task)
}

// WrongOrder records an order whose payload or checkpoint is not that of the task.
func (r *Recorder) WrongOrder(at time.Time, id string, t job.Task, detail string) {
	r.violate(at, WrongOrder, Violation{Job: t.Job, Task: t.String(), Worker: id, Detail: detail})
}

// checkTask checks the runs of the task and the state of its job.
func (r *Recorder) checkTask(at time.Time, j *jobRecord, task *taskRecord, step *job.Step, v Violation) {
	if len(task.running) > 0 && !step.Speculative {
		for other := range task.running {
			v.Detail = fmt.Sprintf("run %d is on worker %s", other.run, other.worker)
		}
		r.violate(at, TwoRuns, v)
	}
	if task.crashes >= maxCrashes {
		task.startsAfter++
	}
	if task.startsAfter > maxStartsAfterCrashes {
		v.Detail = fmt.Sprintf("start %d after the task has crashed %d workers", task.startsAfter, task.crashes)
		r.violate(at, StartAfterCrashes, v)
	}
	occurrence := taskOccurrence(v.Task)
	for _, before := range step.After {
		if j.doneCount[occurrenceStep{occurrence, before}] < j.job.Steps[before].Count {
			v.Detail = fmt.Sprintf("step %d is not done", before)
			r.violate(at, StepOrder, v)
			return
		}
	}
}

func taskOccurrence(name string) int {
	t, _ := job.ParseTask(name)
	return t.Occurrence
}

// checkTimes checks the due time, and the time since a cancellation, an evacuation or the notice
// of a worker that leaves.
func (r *Recorder) checkTimes(at time.Time, j *jobRecord, w *workerRecord, s Start, v Violation) {
	if due := j.job.Due(s.Task.Occurrence); at.Before(due.Add(-earlyTime)) {
		v.Detail = "starts " + due.Sub(at).String() + " before its time"
		r.violate(at, EarlyStart, v)
	}
	if s.Late {
		return
	}
	if !j.cancelled.IsZero() && at.After(j.cancelled.Add(cancelTime)) {
		v.Detail = "starts " + at.Sub(j.cancelled).String() + " after the cancellation"
		r.violate(at, StartAfterCancel, v)
	}
	if since, evacuated := r.evacuated[w.entry.Zone]; evacuated && at.After(since.Add(r.EvacuateWithin)) {
		v.Detail = "starts " + at.Sub(since).String() + " after the evacuation of zone " + w.entry.Zone
		r.violate(at, EvacuatedZone, v)
	}
	// Hosts learn of the notice by the store, if no fault keeps them from it.
	if w.draining.IsZero() {
		return
	}
	known := w.draining
	if calm := r.calmFrom.Add(calmTime); calm.After(known) {
		known = calm
	}
	if at.After(known.Add(drainTime)) {
		v.Detail = "starts " + at.Sub(w.draining).String() + " after the worker has told that it leaves"
		r.violate(at, DrainingWorker, v)
	}
}

// checkPlace checks that the worker may run the task.
func (r *Recorder) checkPlace(at time.Time, j *jobRecord, w *workerRecord, t job.Task, v Violation) {
	allowed := false
	for _, q := range r.queue(at, j.job.Queue) {
		allowed = allowed || q.Pool == w.entry.Pool
	}
	if !allowed {
		v.Detail = "queue " + j.job.Queue + " does not use pool " + w.entry.Pool
		r.violate(at, WrongPool, v)
	}
	step := j.step(t)
	if !w.entry.Labels.Has(step.Label) {
		v.Detail = "the worker has no label " + step.Label
		r.violate(at, MissingLabel, v)
	}
	if step.MaxPerWorker == 0 {
		return
	}
	present := 1
	for run := range w.runs {
		if run.task.Job == t.Job && run.task.Occurrence == t.Occurrence && run.task.Step == t.Step {
			present++
		}
	}
	if present > step.MaxPerWorker {
		v.Detail = fmt.Sprintf("%d tasks of the step are on the worker, %d are allowed", present, step.MaxPerWorker)
		r.violate(at, TooManyOnWorker, v)
	}
}

// checkRoom checks the capacity of the worker and the limit of the account.
func (r *Recorder) checkRoom(at time.Time, j *jobRecord, w *workerRecord, need resource.Amount, v Violation) {
	var used, capacity, limit resource.Amount
	for _, n := range w.runs {
		used = used.Add(n)
	}
	for _, c := range current(w.capacities, at) {
		capacity = highest(capacity, c.value)
	}
	if !r.enforcesCapacity(at, w.entry.Pool) && !used.Within(capacity) {
		v.Detail = fmt.Sprintf("%+v of %+v in use", used, capacity)
		r.violate(at, OverCapacity, v)
	}
	limited := false
	for _, c := range current(r.catalogs, at) {
		if a := c.value.Accounts[j.job.Account]; a != nil {
			if !limited {
				limit, limited = a.Limit, true
			}
			limit = highestLimit(limit, a.Limit)
		}
	}
	total := r.accounts[j.job.Account].Sub(need)
	if limited && !total.WithinLimit(tolerated(limit)) {
		v.Detail = fmt.Sprintf("account %s uses %+v of %+v", j.job.Account, total.Add(need), limit)
		r.violate(at, AccountLimit, v)
	}
}

func (r *Recorder) enforcesCapacity(at time.Time, pool string) bool {
	for _, c := range current(r.catalogs, at) {
		if p := c.value.Pools[pool]; p != nil && p.EnforcesCapacity {
			return true
		}
	}
	return false
}

func highest(a, b resource.Amount) resource.Amount {
	return resource.Amount{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// highestLimit is highest for limits, in which zero means that there is no limit.
func highestLimit(a, b resource.Amount) resource.Amount {
	h := highest(a, b)
	if a.CPU == 0 || b.CPU == 0 {
		h.CPU = 0
	}
	if a.Memory == 0 || b.Memory == 0 {
		h.Memory = 0
	}
	if a.Accelerators == 0 || b.Accelerators == 0 {
		h.Accelerators = 0
	}
	return h
}

func tolerated(limit resource.Amount) resource.Amount {
	scale := func(n int) int { return int(float64(n) * (1 + limitTolerance)) }
	return resource.Amount{CPU: scale(limit.CPU), Memory: scale(limit.Memory), Accelerators: scale(limit.Accelerators)}
}
