package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"egretdrum.example/backlog"
	"egretdrum.example/resource"
)

const (
	// minPlanAge is how long the plan of a pool is used at least, with planAgePerJob in addition for
	// each of its jobs, so that plans take a few percent of the owner's time.
	minPlanAge    = 40 * time.Millisecond
	planAgePerJob = 40 * time.Microsecond
	// arrivalTime is how long until a machine that is ordered to a pool takes tasks there.
	arrivalTime = 1500 * time.Millisecond
)

// poolPlan is the plan for the waiting work of a pool, nil if the pool has room for it.
type poolPlan struct {
	at       time.Time
	jobs     int
	number   int64
	plan     *backlog.Plan
	capacity poolCapacity
	// arrivals is the work that has arrived since.
	arrivals []backlog.Work
}

// planned is what the plan of its pool says about an occurrence.
type planned struct {
	// by is the number of the plan, zero for none.
	by      int64
	verdict backlog.Verdict
	// place is the place in the order of starts, times two; between two of these are the places
	// of jobs that have arrived after the plan.
	place int
}

// poolCapacity is the capacity of a pool for tasks that end, with the processor time of a task that uses all of
// its memory.
type poolCapacity struct{ total, free resource.Amount }

// cores returns what a task takes of a pool, as a number of cores: that part of them which it takes of
// the scarcer one of processor time and memory.
func (c poolCapacity) cores(need resource.Amount) float64 {
	cores := float64(need.CPU)
	if c.total.Memory > 0 {
		cores = max(cores, float64(need.Memory)/float64(c.total.Memory)*float64(c.total.CPU))
	}
	return cores / milliCores
}

// milliCores is the number of units of resource.Amount in a core.
const milliCores = 1000

// capacityFor returns what a pool has for tasks that end.
func capacityFor(workers []*workerState) poolCapacity {
	var c poolCapacity
	for _, w := range workers {
		total := w.registration.Capacity
		if w.longRunning > 0 {
			total = total.Sub(w.longRunningUse())
		}
		c.total = c.total.Add(total.Max(resource.Amount{}))
		c.free = c.free.Add(w.registration.Capacity.Sub(w.used).Max(resource.Amount{}))
	}
	return c
}

// hasRoom reports whether all waiting tasks that may start fit into what is free.
func (s *Scheduler) hasRoom(steps []*stepState, c poolCapacity) bool {
	var need resource.Amount
	for _, st := range steps {
		if !s.mayNotStart(st) {
			need = need.Add(st.spec.Reserved().Times(len(st.waitingTasks)))
		}
	}
	return need.CPU <= c.free.CPU && need.Memory <= c.free.Memory && need.Accelerators <= c.free.Accelerators
}

// planPool makes a new plan for the waiting steps of a pool if the last one is too old, and sets the
// places of the steps that have none. It reports whether the steps have to be placed by the plan.
func (s *Scheduler) planPool(pool string, steps []*stepState, workers []*workerState) bool {
	if s.limits.OrderByDue || !s.recovered {
		return false
	}
	p := s.plans[pool]
	if p == nil {
		p = &poolPlan{}
		s.plans[pool] = p
	}
	if s.now.Sub(p.at) >= minPlanAge+time.Duration(p.jobs)*planAgePerJob {
		p.at, p.capacity = s.now, capacityFor(workers)
		if len(workers) == 0 || s.hasRoom(steps, p.capacity) {
			s.logRoom(pool, p, nil)
			p.plan, p.jobs = nil, 0
		} else {
			s.makePlan(pool, p, steps, workers)
		}
	}
	for _, st := range steps {
		o := st.occurrence
		switch {
		case !p.overloaded():
			o.planned = planned{}
		case o.planned.by != p.number && !st.spec.LongRunning:
			w := s.workLeft(st, p.capacity)
			_, v, place := p.plan.Predict(w)
			p.noteArrival(w)
			o.planned = planned{p.number, v, 2*place - 1}
		}
	}
	return p.overloaded()
}

// overloaded reports whether the order of the plan applies: at least as many jobs can't be in time as can.
// With a smaller overload, machines that other pools lend make up for it before the delayed jobs are late.
func (p *poolPlan) overloaded() bool {
	if p.plan == nil || !p.plan.Short() {
		return false
	}
	return p.plan.Count(backlog.Delayed)+p.plan.Count(backlog.Late)+p.plan.Count(backlog.Useless) >= p.plan.Count(backlog.First)
}

// dropPlans drops the plans of pools without waiting work.
func (s *Scheduler) dropPlans() {
	for _, pool := range slices.Sorted(maps.Keys(s.plans)) {
		if p := s.plans[pool]; p.plan != nil && len(s.waiting[pool]) == 0 {
			s.logRoom(pool, p, nil)
			p.plan, p.jobs = nil, 0
		}
	}
}

// makePlan makes the plan for the waiting steps of a pool.
func (s *Scheduler) makePlan(pool string, p *poolPlan, steps []*stepState, workers []*workerState) {
	var work []backlog.Work
	var occurrences []*occurrence
	// The order of the work decides where the plan does not.
	slices.SortStableFunc(steps, compareByDue)
	seen := make(map[*occurrence]bool, len(steps))
	for _, st := range steps {
		if !st.spec.LongRunning && !seen[st.occurrence] {
			seen[st.occurrence] = true
			work, occurrences = append(work, s.workLeft(st, p.capacity)), append(occurrences, st.occurrence)
		}
	}
	plan := backlog.New(s.now, s.planCapacity(pool, workers, p.capacity), backlog.Feasible(), work)
	s.lastPlan++
	for i, o := range occurrences {
		o.planned = planned{s.lastPlan, plan.Verdict(i), 2 * plan.Place(i)}
	}
	s.logRoom(pool, p, plan)
	p.plan, p.number, p.jobs, p.arrivals = plan, s.lastPlan, len(work), nil
}

// planCapacity returns the capacity of a pool for its plan.
func (s *Scheduler) planCapacity(pool string, workers []*workerState, c poolCapacity) backlog.Capacity {
	capacity := backlog.Capacity{Total: float64(c.total.CPU) / milliCores, Free: float64(c.free.CPU) / milliCores, SoonAfter: arrivalTime}
	for _, w := range workers {
		capacity.Aged += float64(w.agedUse.CPU) / milliCores
	}
	for _, m := range s.sortedMachines {
		if m.moveTo == pool || (m.away && m.orderedTo == pool) {
			capacity.Soon += float64(m.Capacity.CPU) / milliCores
		}
	}
	return capacity
}

// workLeft returns what is left of the occurrence of a waiting step.
func (s *Scheduler) workLeft(st *stepState, c poolCapacity) backlog.Work {
	o := st.occurrence
	total, left := s.workOf(o, c)
	return backlog.Work{
		Priority: st.rank.priority, OverShare: st.rank.overShare, Due: o.due,
		Deadline: o.due.Add(st.rank.objective), Limit: o.due.Add(lateFactor * st.rank.objective),
		Left: left, Path: st.rank.path, DelayCost: total,
		Held: s.mustWait(st) || !s.accountAllows(st, 1),
	}
}

// workOf returns the expected work of an occurrence, and that which has not started, in core-seconds.
func (s *Scheduler) workOf(o *occurrence, c poolCapacity) (total, left float64) {
	for _, st := range o.steps {
		if st.spec.LongRunning {
			continue
		}
		perTask := c.cores(st.spec.Reserved()) * s.expectedTimeOf(st.job.spec.Queue, st).Seconds()
		total += perTask * float64(st.spec.Count)
		waiting := len(st.waitingTasks)
		if st.blocked > 0 {
			waiting = st.unfinished
		}
		left += perTask * float64(waiting)
	}
	return total, left
}

// logRoom logs that a pool begins or ceases to be overloaded.
func (s *Scheduler) logRoom(pool string, p *poolPlan, next *backlog.Plan) {
	was, is := p.overloaded(), (&poolPlan{plan: next}).overloaded()
	switch {
	case is && !was:
		s.logEvent(LogEvent{Event: "pool-short", Reason: fmt.Sprintf("pool %s; %s", pool, next)})
	case was && !is:
		s.logEvent(LogEvent{Event: "pool-has-room", Reason: "pool " + pool})
	}
}

// delayedJobs returns the number of jobs that the plans of all pools delay, so that others are in time.
func (s *Scheduler) delayedJobs() int {
	n := 0
	for _, p := range s.plans {
		if p.plan != nil {
			n += p.plan.Count(backlog.Delayed)
		}
	}
	return n
}

// isAged reports whether the step starts because its job has waited for very long.
func (st *stepState) isAged() bool {
	return st.occurrence.planned.by != 0 && st.occurrence.planned.verdict == backlog.Aged && !st.spec.LongRunning
}

// rankNote returns the rank of a step as it is logged.
func (st *stepState) rankNote() string {
	if st.occurrence.planned.by == 0 {
		return st.rank.String()
	}
	return fmt.Sprintf("%s, by the plan %s", st.rank, st.occurrence.planned.verdict)
}
