package scheduler

import (
	"slices"
	"time"

	"egretdrum.example/crashes"
	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/resource"
)

// jobState is a job and its progress.
type jobState struct {
	spec *job.Job
	// account is the present name of the account that handed the job in.
	account   string
	state     progress.State
	cancelled bool
	// inherited jobs may have runs that a previous owner started.
	inherited bool
	// late is set if the job arrived while the owner was restricted: another owner may start its tasks
	// at once, as they are newer than its term.
	late bool
	// overShare is set if the account had used up its share when the job arrived.
	overShare bool
	arrived   time.Time
	ended     time.Time
	// took and objective are those of the last occurrence that was done.
	took, objective time.Duration
	// occurrences holds those that have begun and are not done, finished has the sorted numbers of
	// those that are done. All before nextOccurrence have begun, and possibly later ones.
	occurrences    map[int]*occurrence
	nextOccurrence int
	finished       []int
	// size is the size of an occurrence, further that of those that have begun beside another one.
	size, further int
	// held is set while due occurrences wait until there is room for further ones.
	held bool
	// version counts changes of the record; saving is the version that is being saved, saved the
	// last durable one.
	version, saving, saved int
	restored               map[stepKey]*progress.StepProgress
}

// occurrence is one repetition of the steps of a job.
type occurrence struct {
	number int
	// due is when it was to begin: the arrival of the job if the job does not repeat.
	due       time.Time
	steps     []*stepState
	openSteps int // steps that are not done
	// runs counts the runs of its tasks that may be present.
	runs    int
	planned planned
}

// stepState is the progress of one step of one occurrence.
type stepState struct {
	job           *jobState
	occurrence    *occurrence
	number        int
	spec          *job.Step
	tasks         []task
	waitingTasks  []int // tasks that wait for a worker
	unfinished    int
	blocked       int // earlier steps that are not done
	inWaitingList bool
	checkpoint    string // of a gang
	rank          rank
	// reservations holds the workers that are reserved for tasks of a long-running step.
	reservations []*reservation
	// waitingSince is when its first task began to wait, and reason why tasks of it wait now.
	// waitedFor was the reason of the last pass that started none, waitLogged is set once that
	// reason is logged.
	waitingSince      time.Time
	reason, waitedFor string
	waitLogged        bool
	// tickets has the advice about workers by their IDs. adviceInFlight is set while an advice
	// request is in flight; the next one is sent after askAfter.
	tickets        map[string]*ticket
	adviceInFlight bool
	askAfter       time.Time
	// usual is the usual rate of its tasks in the last listing.
	usual usualRate
	// expected is the last expected run time of its tasks.
	expected expectedTime
	// detached states belong to runs that are not the current run of a task, one to each such run.
	// They have no tasks but the one of the run, which is not started.
	detached     bool
	detachedTask task
}

type task struct {
	run        *run
	done       bool
	failed     []int64 // numbers of the failed runs
	checkpoint string
	// earlierRuns holds earlier runs of a speculative step that may still be present.
	earlierRuns []*run
	repeats
	// rate is the last measured speed, in percent per second, and rateWorker the worker on which
	// it was measured.
	rate       float64
	rateWorker *workerState
	// evidence holds the crashes that count against the task, evidenceVersion is the version of the
	// job's record that has them. crashedWorkers has the IDs of the workers, for the log.
	evidence        crashes.Evidence
	evidenceVersion int
	crashedWorkers  []string
	// fateKnownBy is when the task may start again although it is unknown whether the worker of its
	// last run has crashed.
	fateKnownBy time.Time
	// triedWorkers has the IDs of the workers on which the task failed or was slow.
	triedWorkers []string
}

// newDetached returns the state for a run that is not the current run of its task.
func newDetached(j *jobState, occurrenceNumber, number int) *stepState {
	return &stepState{job: j, occurrence: &occurrence{number: occurrenceNumber}, number: number, spec: &j.spec.Steps[number], detached: true}
}

// task returns the task of a run of the step.
func (st *stepState) task(index int) *task {
	if st.detached {
		return &st.detachedTask
	}
	return &st.tasks[index]
}

func (st *stepState) name(index int) job.Task {
	return job.Task{Job: st.job.spec.ID, Occurrence: st.occurrence.number, Step: st.number, Index: index}
}

// maxTrustedAge is the age from which the computed age of a job is ignored, and its arrival is now:
// it is computed from the wall clock, which may jump by seconds.
const maxTrustedAge = 2 * time.Minute

// AddJob adds an accepted job with its stored progress, if there is any. Inherited jobs are those
// that a previous owner may have seen. It reports false for a job that the scheduler already has.
func (s *Scheduler) AddJob(spec *job.Job, r *progress.Record, inherited bool, now time.Time) bool {
	s.now = now
	if s.jobs[spec.ID] != nil {
		return false
	}
	j := &jobState{spec: spec, state: progress.Pending, inherited: inherited, late: s.restricted, arrived: now, occurrences: make(map[int]*occurrence), account: s.accountOf(spec)}
	j.size = occurrenceSize(spec)
	s.jobs[spec.ID] = j
	if inherited {
		// The wall clocks of hosts may differ, so the time of acceptance is used only for jobs of
		// a previous owner.
		if age := now.Round(0).Sub(spec.Accepted); age > 0 && age < maxTrustedAge {
			j.arrived = now.Add(-age)
		}
	} else {
		j.overShare = s.takeFromShare(j.account)
	}
	if r != nil {
		j.state = r.State
		j.restore(r)
		if r.Ended > 0 {
			j.ended = time.UnixMilli(r.Ended)
		}
	}
	if j.state.Final() || len(spec.Steps) == 0 {
		return true
	}
	if spec.Repeat > 0 {
		if r != nil {
			for i := range r.Steps {
				s.beginKnown(j, r.Steps[i].Occurrence)
			}
		}
		s.repeating = append(s.repeating, j)
		s.startDue()
		return true
	}
	s.begin(j, 0)
	return true
}

// Cancel ends a job before it is done and stops its tasks.
func (s *Scheduler) Cancel(id string, now time.Time) {
	s.now = now
	j := s.jobs[id]
	if j == nil || j.state.Final() || mutation.ignoreCancel {
		return
	}
	j.cancelled = true
	s.finishJob(j, progress.Cancelled)
}

// HasJob reports whether the scheduler has a job.
func (s *Scheduler) HasJob(id string) bool { return s.jobs[id] != nil }

// RemoveExpired removes the jobs whose final state is durable and older than age, and returns
// their IDs.
func (s *Scheduler) RemoveExpired(age time.Duration, now time.Time) []string {
	var ids []string
	for id, j := range s.jobs {
		if j.state.Final() && j.saved == j.version && now.Sub(j.ended) > age {
			ids = append(ids, id)
			delete(s.jobs, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// begin creates the steps of an occurrence and queues those that depend on no unfinished step.
func (s *Scheduler) begin(j *jobState, number int) {
	o := &occurrence{number: number, due: j.arrived}
	if j.spec.Repeat > 0 {
		// Due times are on the wall clock, which may jump; all other times are on the monotonic
		// clock.
		o.due = s.now.Add(j.spec.Due(number).Sub(s.now.Round(0)))
	}
	if len(j.occurrences) > 0 {
		s.countFurther(j, j.size)
	}
	j.occurrences[number] = o
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		st := &stepState{job: j, occurrence: o, number: i, spec: step, tasks: make([]task, step.Count), unfinished: step.Count}
		o.steps = append(o.steps, st)
		s.restore(st)
		if st.unfinished > 0 {
			o.openSteps++
		}
	}
	for _, st := range o.steps {
		for _, earlier := range distinct(st.spec.After) {
			if o.steps[earlier].unfinished > 0 {
				st.blocked++
			}
		}
		if st.blocked == 0 || mutation.ignoreDependencies {
			s.enqueueAll(st)
		}
	}
	if o.openSteps == 0 {
		s.finishOccurrence(j, o)
	}
}

func distinct(steps []int) []int {
	steps = slices.Clone(steps)
	slices.Sort(steps)
	return slices.Compact(steps)
}

func (s *Scheduler) enqueueAll(st *stepState) {
	st.waitingTasks = st.waitingTasks[:0]
	for i := range st.tasks {
		if t := &st.tasks[i]; !t.done && t.run == nil {
			st.waitingTasks = append(st.waitingTasks, i)
		}
	}
	s.addToWaiting(st)
}

// addToWaiting adds a step to the waiting list of its pool, which placement reads.
func (s *Scheduler) addToWaiting(st *stepState) {
	if q := s.queueOf(st.job); st.inWaitingList && q != nil {
		s.changedPools[q.Pool] = true
	}
	if st.inWaitingList || len(st.waitingTasks) == 0 {
		return
	}
	q := s.queueOf(st.job)
	pool := ""
	if q != nil {
		pool = q.Pool
	}
	s.changedPools[pool] = true
	st.inWaitingList = true
	st.waitingSince, st.waitLogged, st.waitedFor = s.now, false, ""
	s.waiting[pool] = append(s.waiting[pool], st)
}

func (s *Scheduler) requeue(st *stepState, index int) {
	t := st.task(index)
	if st.detached || st.job.state.Final() || st.blocked > 0 || t.done || t.run != nil || slices.Contains(st.waitingTasks, index) || s.resumeOriginal(st, index) {
		return
	}
	st.waitingTasks = append(st.waitingTasks, index)
	s.addToWaiting(st)
}

// step returns the step of a task, nil if the task is not known or its occurrence is not active.
func (s *Scheduler) step(t job.Task) *stepState {
	j := s.jobs[t.Job]
	if j == nil {
		return nil
	}
	o := j.occurrences[t.Occurrence]
	if o == nil || t.Step >= len(o.steps) || t.Index >= len(o.steps[t.Step].tasks) {
		return nil
	}
	return o.steps[t.Step]
}

// completeTask marks a task as done.
func (s *Scheduler) completeTask(st *stepState, index int) {
	t := &st.tasks[index]
	if t.done {
		return
	}
	t.done = true
	t.checkpoint = ""
	st.unfinished--
	st.waitingTasks = slices.DeleteFunc(st.waitingTasks, func(n int) bool { return n == index })
	s.stopEarlierRuns(t, "done elsewhere")
	s.markDirty(st.job)
	if st.unfinished > 0 {
		return
	}
	st.occurrence.openSteps--
	for _, later := range st.occurrence.steps[st.number+1:] {
		if slices.Contains(later.spec.After, st.number) {
			if later.blocked--; later.blocked == 0 {
				s.enqueueAll(later)
			}
		}
	}
	if st.occurrence.openSteps == 0 {
		s.finishOccurrence(st.job, st.occurrence)
	}
}

func (s *Scheduler) finishOccurrence(j *jobState, o *occurrence) {
	s.timeOccurrence(j, o)
	delete(j.occurrences, o.number)
	s.markDirty(j)
	if j.spec.Repeat > 0 {
		if len(j.occurrences) > 0 {
			s.countFurther(j, -j.size)
		}
		j.setFinished(o.number)
	}
	if len(j.occurrences) == 0 && len(j.finished) >= j.spec.Repeat {
		s.finishJob(j, progress.Succeeded)
	}
}

// finishJob sets the final state of a job and stops its remaining runs.
func (s *Scheduler) finishJob(j *jobState, state progress.State) {
	j.state = state
	j.ended = s.now
	s.markDirty(j)
	s.countFurther(j, -j.further)
	for _, o := range sorted(j.occurrences) {
		for _, st := range o.steps {
			st.waitingTasks = nil
			for i := range st.tasks {
				if r := st.tasks[i].run; r != nil {
					s.stop(r, string(state))
				}
				s.stopEarlierRuns(&st.tasks[i], string(state))
			}
		}
		j.forget(o)
	}
	s.logEvent(LogEvent{Event: "job-ended", Job: j.spec.ID, Reason: string(state), Took: j.took, Objective: j.objective})
}

// timeOccurrence sets how long an occurrence took and the objective for it.
func (s *Scheduler) timeOccurrence(j *jobState, o *occurrence) {
	j.took = max(0, s.now.Sub(o.due))
	if q := s.queueOf(j); q != nil {
		path, _ := s.criticalPath(j.spec.Queue, o)
		j.objective = objective(q, path)
	}
}

// recordFailedAttempt counts a failed attempt of a task.
func (s *Scheduler) recordFailedAttempt(st *stepState, index int, number int64, workerID string) {
	t := &st.tasks[index]
	if st.spec.LongRunning || slices.Contains(t.failed, number) {
		return
	}
	t.failed = append(t.failed, number)
	t.triedWorkers = append(t.triedWorkers, workerID)
	s.markDirty(st.job)
	s.failExhausted(st, t)
}

// failExhausted fails the job of a task that has used up its attempts, and reports whether it did.
// It is called before each start as well, because a new owner may process a failed run before it
// has the configuration.
func (s *Scheduler) failExhausted(st *stepState, t *task) bool {
	q := s.queueOf(st.job)
	if q == nil || mutation.ignoreAttempts || q.MaxAttempts <= 0 || len(t.failed) < q.MaxAttempts || st.job.state.Final() {
		return false
	}
	s.finishJob(st.job, progress.Failed)
	return true
}

func (s *Scheduler) addUse(account string, need resource.Amount) {
	if account != "" {
		s.accounts[account] = s.accounts[account].Add(need)
	}
}
