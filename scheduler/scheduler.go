// Package scheduler decides which task runs on which worker. It does no input or output:
// its methods receive events and the time, and TakeActions returns the actions to carry out.
//
// The workers hold the authoritative state of what runs. A new owner polls every worker with
// its own fencing token before it starts a task that the previous owner may have started.
// Ends of tasks are durable before a worker is allowed to forget them.
package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"egretdrum.example/catalog"
	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/resource"
)

// Scheduler is the scheduling state of one owner. It is not safe for concurrent use.
type Scheduler struct {
	limits  Limits
	fence   int64
	started time.Time
	now     time.Time
	catalog *catalog.Catalog

	jobs    map[string]*jobState
	workers map[string]*workerState
	// sortedWorkers has the workers sorted by ID, so that equal events have equal results.
	sortedWorkers []*workerState
	// sortedMachines has the machines sorted by ID.
	sortedMachines []*machine
	// byPool has the workers of each pool sorted by ID; nil if it has to be built again.
	byPool map[string][]*workerState
	// accounts has what the runs of each account use, by its present name.
	accounts map[string]resource.Amount
	// seenQueues has the queues of all configurations that this owner has seen, by name, formerQueues those
	// that are known from stored jobs only. changeLogged has the changes of queues that were logged last.
	seenQueues   map[string]*catalog.Queue
	formerQueues map[formerQueue]*catalog.Queue
	changeLogged map[string]int
	waiting      map[string][]*stepState // by pool
	repeating    []*jobState
	// further is the size of the occurrences that have begun beside another one of their job,
	// furtherOfAccount that of those of each account.
	further          int
	furtherOfAccount map[string]int
	dirty            map[string]*jobState
	machines         map[string]*machine
	// runTimes has the statistics of the tasks of each queue, shareBuckets what is left of
	// the share of each account.
	runTimes     map[string]*runTimeStats
	learnt       learntTimes
	shareBuckets map[string]*shareBucket
	// plans has the plan of each pool, lastPlan is the number of the last one.
	plans    map[string]*poolPlan
	lastPlan int64
	waves    map[int64]*wave
	// evacuatedZones has the availability zones under evacuation with the revisions of their
	// evacuations. zonesUnknown is set while the owner does not know which ones are.
	evacuatedZones map[string]int64
	zonesUnknown   bool
	// capacitiesUnknown is set while the capacities of the workers may have shrunk without notice.
	capacitiesUnknown bool
	// restricted is set while the lease of the owner is not confirmed and another owner may have begun.
	// restrictedStarts is set while it may start tasks nevertheless.
	restricted, restrictedStarts bool
	nextPlan                     time.Time
	// relocationNeeds has the machines that pools lack to relocate long-running tasks that
	// have to leave their worker.
	relocationNeeds map[relocationNeed]bool
	// longWaits has the long-running steps that have waited for room for long, by pool.
	longWaits map[string][]*stepState
	// changedPools has the pools in which a task may fit that did not fit before; lastPass is
	// the time of the last placement pass over all pools.
	changedPools map[string]bool
	lastPass     time.Time
	// nextPass is the earliest time of the next placement pass over a pool.
	nextPass map[string]time.Time
	// changedWorkers has the workers whose state changed since the last Tick, lastSweep is the
	// time at which all workers were last checked.
	changedWorkers map[*workerState]bool
	lastSweep      time.Time
	// eventDelay is how late the owner processes events. unansweredStarts counts the starts
	// whose answers it has not processed yet.
	eventDelay       time.Duration
	unansweredStarts int
	// startWindow is the upper limit of unansweredStarts. windowFull is set if the limit was
	// reached since windowChanged.
	startWindow   int
	windowFull    bool
	windowChanged time.Time

	answers answerStats

	// lastRun is the last run number in use. The numbers of an owner are above those of all
	// previous owners.
	lastRun int64
	// forgottenFence is above the fencing tokens of all workers that were removed and may come back.
	forgottenFence int64
	// recovered is set once every run of previous owners is known or has ended. Until then,
	// tasks of jobs that a previous owner may have seen are not started.
	recovered        bool
	recoveryDeadline time.Time
	// recoveryWorkers are the workers that may hold runs of a previous owner, by ID.
	recoveryWorkers map[string]recoveryWorker
	// machinesAsked is when the present list of machines was requested, machinesInterval how long after the
	// one before.
	machinesAsked    time.Time
	machinesInterval time.Duration
	machinesKnown    bool
	// poolUse is the stored use of pools, pendingPoolUse the one that is being stored.
	poolUse, pendingPoolUse PoolUse
	// poolUseKnown is set once the use stored by the previous owner was loaded.
	poolUseKnown bool
	// unreachedPools has the pools with workers that were not reached yet; nil means all pools.
	unreachedPools map[string]bool

	// adviceInFlight counts the advice requests in flight.
	adviceInFlight int

	// crashReports holds the crashes since the last Tick, rackCrashes the last ones, and lost the runs
	// of workers of which it is not known whether they have crashed, by worker.
	crashReports []crashReport
	rackCrashes  []rackCrash
	givenUp      int
	lost         map[string]*lostWorker

	actions Actions
}

// Limits are the durations, ratios and sizes that depend on the platform.
type Limits struct {
	// Lease is how long a worker keeps its tasks running without a poll. A longer one saves
	// polls and lost work, a shorter one frees the tasks of unreachable workers sooner.
	Lease time.Duration
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// PollWait is how long a poll waits for the end of a task.
	PollWait time.Duration
	// MaxDrift is the fraction by which the clock of a worker may be slow.
	MaxDrift float64
	// Absence is how long a registration may be missing before its worker counts as gone.
	Absence time.Duration
	// Maintenance is how long a machine is unavailable during its maintenance.
	Maintenance time.Duration
	// Stop is how long a worker needs to end a run that was ordered to stop.
	Stop time.Duration
	// FurtherTasks bounds the size of the occurrences of scheduled jobs that have begun beside
	// another one of their job, in tasks of about 300 bytes. Other due occurrences wait.
	FurtherTasks int
	// ListedEnds is how many ends a listing of a worker has at most; zero means no limit. A worker that
	// lists so many may have further ones.
	ListedEnds int
	// RecordedRuns is how many runs the record of an unresponsive worker has at most, of about 230 bytes
	// each; zero means no limit. For a worker with more, the next owner waits.
	RecordedRuns int
	// RunTimeQuantiles has the distribution of run times learnt, and acts on long runs and failed ones by it.
	RunTimeQuantiles bool
	// OrderByDue orders waiting work by age, also while a pool has too little room for it.
	OrderByDue bool
}

// DefaultLimits returns the limits that apply if none are configured.
func DefaultLimits() Limits {
	return Limits{
		Lease: 2800 * time.Millisecond, MaxLease: 10 * time.Second, PollWait: 700 * time.Millisecond, MaxDrift: 0.02, Absence: 2 * time.Second,
		Maintenance: 2 * time.Second, Stop: 900 * time.Millisecond, FurtherTasks: 50_000, ListedEnds: 500, RecordedRuns: 4000, RunTimeQuantiles: true,
	}
}

const (
	// runsPerOwner and fencesPerOwner are the sizes of the ranges of run numbers and fencing
	// tokens of one owner. An owner that makes 5,000 starts a second for one hour stays below.
	runsPerOwner   = 1 << 25
	fencesPerOwner = 1 << 20
	// leaseMargin covers the time that an order is in flight.
	leaseMargin = 100 * time.Millisecond
)

// New returns the scheduler of the owner with the given ownership number. Later owners have
// higher numbers.
func New(limits Limits, ownership int64, now time.Time) *Scheduler {
	s := &Scheduler{
		limits:  limits,
		started: now, now: now,
		startWindow:    maxWindow,
		fence:          ownership * fencesPerOwner,
		forgottenFence: ownership * fencesPerOwner,
		lastRun:        ownership * runsPerOwner,

		jobs:     make(map[string]*jobState),
		waiting:  make(map[string][]*stepState),
		dirty:    make(map[string]*jobState),
		workers:  make(map[string]*workerState),
		machines: make(map[string]*machine),
		waves:    make(map[int64]*wave),
		accounts: make(map[string]resource.Amount),

		runTimes:        make(map[string]*runTimeStats),
		learnt:          newLearntTimes(),
		shareBuckets:    make(map[string]*shareBucket),
		plans:           make(map[string]*poolPlan),
		relocationNeeds: make(map[relocationNeed]bool),
		longWaits:       make(map[string][]*stepState),
		recoveryWorkers: make(map[string]recoveryWorker),
		changedPools:    make(map[string]bool),
		changedWorkers:  make(map[*workerState]bool),
		nextPass:        make(map[string]time.Time),
		lost:            make(map[string]*lostWorker),

		furtherOfAccount: make(map[string]int),

		seenQueues:   make(map[string]*catalog.Queue),
		formerQueues: make(map[formerQueue]*catalog.Queue),
	}
	if mutation.restartRuns {
		s.lastRun = 0
	}
	// The previous owner may have granted leases on the clocks of earlier incarnations, and may go on
	// without a confirmed lease until PollsAfterLease has passed.
	s.recoveryDeadline = now.Add(s.leaseBound(limits.MaxLease))
	return s
}

// leaseBound is the longest real time that a lease of d on a worker's clock can last.
func (s *Scheduler) leaseBound(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*s.limits.MaxDrift) + leaseMargin
}

// SetCatalog replaces the configuration.
func (s *Scheduler) SetCatalog(c *catalog.Catalog) {
	changed := c != s.catalog
	s.catalog = c
	if c != nil {
		if changed {
			s.adoptNames()
		}
		s.moveToNewPool()
	}
}

// Tick advances the time: it starts what is due and plans polls, stops and moves.
func (s *Scheduler) Tick(now time.Time) {
	s.now = now
	s.finishRecovery()
	s.startDue()
	sweep := now.Sub(s.lastSweep) >= sweepInterval
	if sweep {
		s.lastSweep = now
		for _, w := range slices.Clone(s.sortedWorkers) {
			s.expire(w)
		}
		s.recordUnresponsive()
		s.resolveLost()
	}
	s.judgeCrashes()
	s.planMachines()
	s.place()
	s.copyLongRuns()
	if sweep {
		for _, w := range s.sortedWorkers {
			s.planPoll(w)
		}
	} else {
		for _, w := range slices.SortedFunc(maps.Keys(s.changedWorkers), func(a, b *workerState) int { return cmp.Compare(a.registration.ID, b.registration.ID) }) {
			s.planPoll(w)
		}
	}
	clear(s.changedWorkers)
}

// sweepInterval is how often all workers are checked for expired leases, missing answers and
// polls that are due; in between, only changed workers are. With 3,000 workers, checking all
// of them after each event used most of a fast CPU core.
const sweepInterval = 25 * time.Millisecond

// finishRecovery ends the recovery once every worker that may hold runs of a previous owner
// has answered, or once their leases have expired.
func (s *Scheduler) finishRecovery() {
	if s.recovered {
		return
	}
	before := len(s.unreachedPools)
	if s.findUnreachedPools(); len(s.unreachedPools) != before {
		s.changeAll()
	}
	if s.now.Before(s.recoveryDeadline) {
		if !s.machinesKnown || len(s.workers) == 0 {
			return
		}
		for id := range s.recoveryWorkers {
			if w := s.workers[id]; w == nil || !w.accounted() {
				return
			}
		}
	}
	if s.awaitsListings() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.recoveryWorkers)) {
		if w := s.workers[id]; w == nil || !w.accounted() {
			s.logEvent(LogEvent{Event: "worker-not-recovered", Worker: id, Reason: s.unresponsiveReason(id)})
		}
	}
	s.recovered = true
	s.changeAll()
	s.actions.LogEvents = append(s.actions.LogEvents, LogEvent{Event: "recovery-finished", AffectedCount: len(s.recoveryWorkers), AfterDeadline: !s.now.Before(s.recoveryDeadline)})
}

// awaitsListings reports whether a worker may still list ends that no owner has processed. A registered
// one may that has not had the chance to answer a poll yet, or answers and has more ends than one
// listing; nothing else of a previous owner is left there, as the leases have expired. One that went
// silent between two listings may until the lease expires that this owner has given it.
func (s *Scheduler) awaitsListings() bool {
	for id := range s.recoveryWorkers {
		w := s.workers[id]
		if w == nil || w.accounted() || w.replaced {
			continue
		}
		if (w.registered && w.unansweredPolls == 0) || (w.furtherEnds && !s.now.After(w.leaseEnd)) {
			return true
		}
	}
	return false
}

// changeAll includes the waiting tasks of all pools in the next placement pass.
func (s *Scheduler) changeAll() {
	for pool := range s.waiting {
		s.changedPools[pool] = true
	}
}

// unresponsiveReason says why a worker has not answered during the recovery.
func (s *Scheduler) unresponsiveReason(id string) string {
	w := s.workers[id]
	switch {
	case w == nil:
		return "not registered"
	case w.unansweredPolls > 0:
		return "does not answer"
	case w.answered:
		return "has not listed all ends"
	}
	return "not polled yet"
}

// Recovered reports whether the recovery after the change of owners is over.
func (s *Scheduler) Recovered() bool { return s.recovered }

// VisibleState returns a job and the state that is reported to callers, or nil for an unknown
// job. A success or a failure is reported once it is durable; a cancellation is durable before
// the scheduler learns of it.
func (s *Scheduler) VisibleState(id string) (*job.Job, progress.State) {
	j := s.jobs[id]
	if j == nil {
		return nil, ""
	}
	if j.state.Final() && j.state != progress.Cancelled && j.saved < j.version {
		return j.spec, progress.Running
	}
	return j.spec, j.state
}

// Pending returns the number of jobs of each queue for which no task has started.
func (s *Scheduler) Pending() map[string]int {
	counts := make(map[string]int)
	if s.catalog == nil {
		return counts
	}
	for _, j := range s.jobs {
		if j.state != progress.Pending || j.cancelled {
			continue
		}
		if q := s.catalog.AcceptedBy(j.spec.Queue, j.spec.Origin); q != nil {
			counts[q.Name]++
		}
	}
	return counts
}

// Summary has the counts of jobs, tasks, runs and workers for metrics.
type Summary struct {
	Jobs, Waiting, Running, Workers, Unanswered int
	// Isolated counts the runs of suspected tasks that have not outlived their start, GivenUp the
	// jobs that were given up because a task crashed its workers.
	Isolated, GivenUp int
	// Held counts the scheduled jobs with due occurrences that wait until earlier ones are done.
	Held int
	// RunTimeError is the average factor by which run times differ from the expected ones.
	RunTimeError float64
	// Delayed counts the jobs that are delayed so that others are in time.
	Delayed int
	// LongRunCopies counts second runs because of long first ones, LongRunCopiesHelped those done sooner.
	LongRunCopies, LongRunCopiesHelped int
}

// Summary returns the current counts.
func (s *Scheduler) Summary() Summary {
	sum := Summary{Jobs: len(s.jobs), Workers: len(s.workers), GivenUp: s.givenUp, RunTimeError: math.Exp(s.learnt.deviation), LongRunCopies: s.learnt.copies, LongRunCopiesHelped: s.learnt.copiesHelped}
	for _, steps := range s.waiting {
		for _, st := range steps {
			sum.Waiting += len(st.waitingTasks)
		}
	}
	for _, j := range s.repeating {
		if j.held {
			sum.Held++
		}
	}
	sum.Delayed = s.delayedJobs()
	for _, w := range s.workers {
		sum.Running += len(w.runs)
		for _, r := range w.watched {
			if r.isolated {
				sum.Isolated++
			}
		}
		if w.unansweredPolls > 0 {
			sum.Unanswered++
		}
	}
	return sum
}

// usable reports whether new tasks may be started on a worker.
func (s *Scheduler) usable(w *workerState) bool {
	if s.barred(w) || !w.answered || w.hasUnknownRuns || w.unansweredPolls > 0 || w.uncertain || (w.recordStored && !mutation.useRecorded) || w.registration.Leaving || w.orderedAway || s.now.Before(w.pausedUntil) || w.quarantined(s.now) || s.evacuated(w) {
		return false
	}
	return w.registered || s.now.Sub(w.unregisteredAt) < s.limits.Absence
}
