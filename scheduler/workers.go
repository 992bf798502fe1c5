package scheduler

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"egretdrum.example/job"
	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

// workerState is a worker with what this owner knows of it.
type workerState struct {
	registration   worker.Entry
	registered     bool
	unregisteredAt time.Time
	// firstSeen is when this owner first saw the registration.
	firstSeen time.Time
	// leaseExpired is set once the lease of an unresponsive worker has ended, until it has listed all its
	// ends.
	leaseExpired bool
	// replaced is set once its machine carries another worker: nothing runs on it any more.
	replaced bool
	// barred is set while a restricted owner may neither poll the worker nor start tasks on it.
	barred bool
	// answered is set once the worker has answered a poll of this owner in its present incarnation.
	answered bool
	// furtherEnds is set while the last listing had so many ends that there may be further ones.
	furtherEnds bool
	incarnation int64
	// recordOutdated is set while the stored record has runs that were dropped since.
	recordOutdated bool
	// recordStored is set from the decision to store a record of the unresponsive worker until
	// the removal of the record is durable: the worker gets no task meanwhile, so that the record
	// stays correct. recordEnding is set while the removal is in flight, and recordEmpty once the
	// record says that the worker has no runs any more.
	recordStored, recordEnding, recordEmpty bool
	// recordOmitted is set while the worker does not answer and has too many runs for a record.
	recordOmitted bool
	// runsAccounted is set while the runs that the previous owner may have there are known from
	// such a record.
	runsAccounted bool
	// orderedAway is set once the machine was ordered to another pool or to maintenance.
	orderedAway bool
	// fence is the fencing token. It rises when a call was not answered or a new incarnation was
	// seen, so that an older call which is still in flight has no effect. newest holds it for the
	// goroutines that send.
	fence  int64
	newest *atomic.Int64
	// uncertain is set while a run may be present that the worker has not listed.
	uncertain bool

	// clock is the worker's clock as of clockRead.
	clock     time.Duration
	clockRead time.Time
	// leaseEnd is the time at which all runs of the known incarnation must have ended if the lease is
	// not renewed. unseenLeaseEnd is that of runs in a newer incarnation that has not been listed yet.
	leaseEnd, unseenLeaseEnd time.Time
	// granted is when a lease was last granted on the clock of the present incarnation.
	granted time.Time
	// clockFence is the fencing token above those of the calls with leases on the clock of an earlier
	// incarnation, zero once the worker has answered a poll with it.
	clockFence int64

	runs map[job.Task]*run
	// stops has the stops whose answers are outstanding.
	stops map[runKey]*claim
	used  resource.Amount
	// lateUse is the part of used that belongs to runs of jobs that can't be in time any more.
	lateUse resource.Amount
	// agedUse is the part of used that belongs to runs of aged work.
	agedUse resource.Amount
	// reservations hold capacity for long-running tasks that wait.
	reservations []*reservation

	// processedEnd is the number of the last end that was processed, durableEnd that of the last
	// one whose result is durable, acknowledgedEnd that of the last one that the worker has been
	// allowed to forget.
	processedEnd, durableEnd, acknowledgedEnd int64
	unsavedEnds                               []unsavedEnd

	polling bool
	// sequence is the number of the newest poll. ignoredUpTo is that of the newest one that was
	// answered, or that was in flight when a new incarnation was seen: outcomes of polls up to
	// ignoredUpTo are ignored.
	sequence, ignoredUpTo int64
	pollSent              time.Time
	pollFence             int64
	nextPoll              time.Time
	unansweredPolls       int // since the last answer
	// copiesQueued is set once its speculative tasks were queued again since the last answer.
	copiesQueued bool
	pausedUntil  time.Time
	// serving and background count the runs with a latency target and the background runs, which
	// disturb each other.
	serving, background, longRunning int
	pacedAt                          time.Time
	// speed is the average speed of its runs relative to equal runs elsewhere; slowUntil is
	// set while it is too low.
	speed     float64
	slowUntil time.Time
	// slowRuns counts the runs that were slow until slowUntil, warmAt is when the worker is not cold any
	// more, and answeredAgain when it last answered after it had not.
	slowRuns int
	// longInARow counts the runs whose progress was slow since one was not.
	longInARow            int
	warmAt, answeredAgain time.Time
	faults                faults
	// withheld is the share of its capacity that it does not get because of its outcomes.
	outcomes outcomes
	withheld float64
	// aliveAt is the latest time at which the worker is known to have been alive. watched holds the
	// runs of tasks under which workers have crashed. recordedIncarnation is that of the record of
	// the previous owner.
	aliveAt             time.Time
	watched             []*run
	recordedIncarnation int64
	// hasUnknownRuns is set while the worker lists a run of which nothing is known, so that its
	// free capacity is not known either.
	hasUnknownRuns bool
}

// unsavedEnd is an end that the worker must not forget until a version of the job is durable.
type unsavedEnd struct {
	number  int64
	job     *jobState
	version int
}

// runKey names a run.
type runKey struct {
	task job.Task
	run  int64
}

// run is one run of a task on a worker.
type run struct {
	step      *stepState
	index     int
	number    int64
	worker    *workerState
	state     runState
	sent      time.Time
	confirmed time.Time
	// awaitsAnswer is set until the start is answered or its timeout has passed.
	awaitsAnswer bool
	// usualLease is set once the run is known to be bound by leaseEnd of its worker: it was listed, or
	// the clock in the answer to its start was not behind the one that was expected.
	usualLease bool
	// stopped is when the first stop was answered, stopSent when the last one was planned or answered.
	stopped, stopSent time.Time
	percent           int
	load              int
	// percentAllowed is the pace of a background task. paceKnown is false for a task that
	// another owner has started, until this owner sets its pace.
	percentAllowed int
	paceKnown      bool
	// repeatPaceUntil is set while a pace call without an answer may still be carried out, after a
	// newer one.
	repeatPaceUntil time.Time
	// recorded is set for runs that are known only from the record of an unresponsive worker.
	recorded bool
	// begun and survived are set for recorded runs that are known to have begun and to have outlived
	// their start, isolated while a run of a suspected task has not.
	begun, survived, isolated bool
	// probation is how long it is isolated.
	probation  time.Duration
	checkpoint string
	speed      speed
	need       resource.Amount
	// adopted is set for runs that another owner has started, resumed for those that began at a
	// checkpoint, copied for those that were started beside another run of their task, and slow for
	// those that were slow on a slow worker, and long for those whose progress was slow.
	adopted, resumed, copied, slow, long bool
	// late is set if the job could not be in time any more when the run was started.
	late bool
	// aged is set if the run was started because its job had waited for very long.
	aged bool
	// claim holds the fencing token with which the start was sent.
	claim claim
}

func (r *run) key() runKey { return runKey{r.step.name(r.index), r.number} }

// listed reports whether the worker has listed all its runs and ends to this owner, in its present
// incarnation.
func (w *workerState) listed() bool {
	return w.answered && (!w.furtherEnds || mutation.trustFullListing)
}

// accounted reports whether the runs of previous owners on the worker are known, and those that have
// ended.
func (w *workerState) accounted() bool { return w.listed() || w.runsAccounted }

type runState int

const (
	starting runState = iota
	present
	stopping
)

// unhealthyPause is how long a worker gets no tasks after it reported that it is not healthy.
const unhealthyPause = time.Second

// SetWorker reports a registration.
func (s *Scheduler) SetWorker(e worker.Entry, now time.Time) {
	s.now = now
	w := s.workers[e.ID]
	if w == nil {
		w = &workerState{firstSeen: now, barred: s.restricted, speed: 1, newest: new(atomic.Int64), runs: make(map[job.Task]*run), stops: make(map[runKey]*claim)}
		w.setFence(s.forgottenFence)
		w.registration = e
		s.workers[e.ID] = w
		at, _ := slices.BinarySearchFunc(s.sortedWorkers, e.ID, func(w *workerState, id string) int { return cmp.Compare(w.registration.ID, id) })
		s.sortedWorkers = slices.Insert(s.sortedWorkers, at, w)
		s.byPool = nil
		if !s.recovered {
			s.recoveryWorkers[e.ID] = recoveryWorker{e.Machine, e.Pool, now}
			w.leaseEnd, w.unseenLeaseEnd = s.started.Add(s.leaseBound(s.limits.Lease)), s.recoveryDeadline
		}
	}
	if e.Leaving && !w.registration.Leaving {
		s.logEvent(LogEvent{Event: "worker-leaving", Worker: e.ID})
	}
	if w.incarnation != 0 && e.Incarnation > w.incarnation && w.registration.Incarnation < e.Incarnation {
		s.suspectNewIncarnation(w)
	}
	if w.registration.Pool != e.Pool {
		s.byPool = nil
	}
	before := w.registration.Capacity
	w.registration, w.registered = e, true
	if before != e.Capacity {
		s.capacityChanged(w, before)
	}
	if warm := now.Add(e.ColdFor); warm.After(w.slowUntil) {
		w.slowUntil = warm
	}
	if e.ColdFor > 0 {
		w.warmAt = now.Add(e.ColdFor)
	}
	s.changedWorkers[w] = true
	if e.Leaving {
		s.evacuate(w)
	}
}

// RemoveWorker reports that a registration is gone. The worker may still run, so its tasks
// are not started elsewhere before its lease has ended.
func (s *Scheduler) RemoveWorker(id string, now time.Time) {
	s.now = now
	if w := s.workers[id]; w != nil && w.registered {
		w.registered, w.unregisteredAt = false, now
		s.bar(w)
	}
}

// evacuate stops the long-running tasks of a worker that is leaving, so that they start elsewhere.
func (s *Scheduler) evacuate(w *workerState) {
	if s.restricted {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.step.spec.LongRunning && r.state == present {
			s.stop(r, "worker leaving")
		}
	}
}

// drop removes a run that can't be present any more, and queues its task again.
func (s *Scheduler) drop(r *run, reason string) {
	s.release(r)
	s.logEvent(LogEvent{Event: "run-gone", Job: r.step.job.spec.ID, Task: r.step.name(r.index), Worker: r.worker.registration.ID, Run: r.number, Reason: reason})
	s.breakGang(r)
	s.requeue(r.step, r.index)
}

// release frees the resources of a run.
func (s *Scheduler) release(r *run) {
	w := r.worker
	r.claim.withdraw()
	if stop := w.stops[r.key()]; stop != nil {
		stop.withdraw()
	}
	w.unwatch(r)
	delete(w.runs, r.step.name(r.index))
	r.step.occurrence.runs--
	w.used = w.used.Sub(r.need)
	s.changedPools[w.registration.Pool] = true
	w.countRun(r, -1)
	s.addUse(r.step.job.account, resource.Amount{}.Sub(r.step.spec.Need))
	if t := r.step.task(r.index); t.run == r {
		t.run = nil
		if r.checkpoint != "" {
			t.checkpoint = r.checkpoint
			r.step.checkpoint = r.checkpoint
		}
	}
	r.step.job.forget(r.step.occurrence)
}

// reserve takes the resources of a run from its worker and its client account.
func (s *Scheduler) reserve(r *run) {
	w := r.worker
	s.changedWorkers[w] = true
	w.runs[r.step.name(r.index)] = r
	r.step.occurrence.runs++
	w.used = w.used.Add(r.need)
	w.countRun(r, 1)
	s.addUse(r.step.job.account, r.step.spec.Need)
	r.step.task(r.index).run = r
	s.watch(r)
}

func (w *workerState) countRun(r *run, n int) {
	if r.step.spec.LatencyTarget > 0 {
		w.serving += n
	}
	if r.step.spec.Background {
		w.background += n
	}
	if r.step.spec.LongRunning {
		w.longRunning += n
	}
	if r.late {
		w.lateUse = w.lateUse.Add(r.need.Times(n))
	}
	if r.aged {
		w.agedUse = w.agedUse.Add(r.need.Times(n))
	}
}

// expire drops the runs of a worker once their lease must have ended, and removes workers that are
// gone.
func (s *Scheduler) expire(w *workerState) {
	if s.restricted && !mutation.expireRestricted {
		// Another owner may have adopted the runs and extended their lease.
		return
	}
	if s.now.After(w.leaseEnd) {
		s.expireRuns(w)
	}
	if !w.registered && len(w.runs) == 0 && s.now.Sub(w.unregisteredAt) > s.limits.Absence && s.now.After(w.leaseEnd) {
		if w.recordStored {
			s.actions.UnresponsiveEnds = append(s.actions.UnresponsiveEnds, w.registration.ID)
		}
		// If the worker comes back, it may have seen this token, and older calls may be in flight.
		s.forgottenFence = max(s.forgottenFence, w.fence+1)
		delete(s.workers, w.registration.ID)
		s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(other *workerState) bool { return other == w })
		s.byPool = nil
	}
}

// expireRuns drops the runs of a worker whose lease must have ended.
func (s *Scheduler) expireRuns(w *workerState) {
	var expired, held []*run
	for _, r := range w.sortedRuns() {
		if s.mayOutliveLease(r) {
			held = append(held, r)
		} else {
			expired = append(expired, r)
		}
	}
	if w.unansweredPolls > 0 && !w.leaseExpired {
		w.leaseExpired = true
		if len(held) > 0 {
			s.logEvent(LogEvent{Event: "runs-held", Worker: w.registration.ID, AffectedCount: len(held), Reason: "the worker may have restarted before their start"})
		}
	}
	if len(expired) == 0 {
		return
	}
	s.rememberLost(w, expired)
	for _, r := range expired {
		s.drop(r, "lease ended")
	}
	w.recordOutdated = w.recordStored
	// The worker rejects a start that is still in flight by its deadline on the worker's clock.
	w.setFence(w.fence + 1)
	w.uncertain, w.answered = false, false
}

func (s *Scheduler) logEvent(n LogEvent) { s.actions.LogEvents = append(s.actions.LogEvents, n) }

// Workers returns the IDs of the registered workers.
func (s *Scheduler) Workers() []string {
	var ids []string
	for _, w := range s.sortedWorkers {
		if w.registered {
			ids = append(ids, w.registration.ID)
		}
	}
	return ids
}

// Task returns the current run of a task and its worker, for explanations and tests.
func (s *Scheduler) Task(t job.Task) (workerID string, run int64) {
	if st := s.step(t); st != nil && st.tasks[t.Index].run != nil {
		r := st.tasks[t.Index].run
		return r.worker.registration.ID, r.number
	}
	return "", 0
}
