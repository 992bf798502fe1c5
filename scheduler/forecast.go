package scheduler

import (
	"math"
	"slices"
	"time"

	"egretdrum.example/backlog"
	"egretdrum.example/job"
	"egretdrum.example/runtimes"
)

const (
	// maxForecastAge is the age above which a plan says nothing about jobs that arrive: plans of large
	// pools are made less often, but a pool without waiting work gets none.
	maxForecastAge = time.Second
	// minErrorFactor allows for what plans leave out, such as the fragments of capacity between tasks.
	minErrorFactor = 1.25
	// errorDeviations is the number of mean deviations of run times by which a forecast may be wrong.
	errorDeviations = 2.0
)

// Forecast is what the plan of a pool says about a job that arrives now.
type Forecast struct {
	// Refuse is set if the result would be of no use, whatever the error of the expected run times.
	Refuse bool
	// DoneIn is the expected time until the job is done, Objective the time in which it is to be done.
	DoneIn, Objective time.Duration
	// ErrorFactor is the factor by which run times may differ from the expectation.
	ErrorFactor float64
	// RoomIn is the time after which the result of such a job would be of use again.
	RoomIn time.Duration
	// PlanAge is the age of the plan.
	PlanAge time.Duration
}

// ShortPools returns the names of the overloaded pools, in which most of the waiting jobs can't be in time. There
// are none before the recovery is over, as the runs of the previous owner are not known until then.
func (s *Scheduler) ShortPools(now time.Time) []string {
	if !s.recovered || s.zonesUnknown || s.capacitiesUnknown {
		return nil
	}
	var pools []string
	for pool := range s.plans {
		if s.freshPlan(pool, now) != nil {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// freshPlan returns the last plan of a pool if the pool is overloaded, otherwise nil.
func (s *Scheduler) freshPlan(pool string, now time.Time) *poolPlan {
	p := s.plans[pool]
	if s.limits.OrderByDue || p == nil || !p.overloaded() || now.Sub(p.at) > maxForecastAge {
		return nil
	}
	return p
}

// Forecast returns what the plan of its pool says about a job that arrives now, and changes nothing. It
// returns false if the pool is not short of room, if too little is known of the run times of the
// queue, and for jobs to which objectives do not apply.
func (s *Scheduler) Forecast(spec *job.Job, now time.Time) (Forecast, bool) {
	if !s.recovered || s.zonesUnknown || s.capacitiesUnknown || s.catalog == nil || !spec.RunsAtOnce() || !s.runTimesKnown(spec) {
		return Forecast{}, false
	}
	s.now = now
	q := s.catalog.Queues[spec.Queue]
	if q == nil {
		return Forecast{}, false
	}
	p := s.freshPlan(q.Pool, now)
	if p == nil {
		return Forecast{}, false
	}
	o := arriving(spec)
	path, _ := s.criticalPath(spec.Queue, o)
	total, _ := s.workOf(o, p.capacity)
	share := s.shareOf(spec.Account)
	f := Forecast{Objective: objective(q, path), ErrorFactor: s.errorFactor(), PlanAge: now.Sub(p.at)}
	w := backlog.Work{
		Priority: q.Priority, OverShare: share != nil && share.jobs < 1, Due: now,
		Deadline: now.Add(f.Objective), Limit: now.Add(lateFactor * f.Objective),
		Left: total, Path: path, DelayCost: total,
	}
	done, _, place := p.plan.PredictAfter(w, p.arrivedBefore(w))
	// The pool has worked off a part of the plan since it was made.
	f.DoneIn = max(path, done.Sub(now))
	useless := f.DoneIn > time.Duration(f.ErrorFactor*lateFactor*float64(f.Objective))
	// The pool has room for the work of others before that of accounts beyond their share.
	f.Refuse = useless && (w.OverShare || place <= p.plan.OverSharePlace())
	f.RoomIn = max(0, f.DoneIn-lateFactor*f.Objective)
	return f, true
}

// noteArrival adds work that has arrived after the plan, by its priority and share.
func (p *poolPlan) noteArrival(w backlog.Work) {
	if w.Held {
		return
	}
	for i := range p.arrivals {
		if a := &p.arrivals[i]; a.Priority == w.Priority && a.OverShare == w.OverShare {
			a.Left += w.Left
			return
		}
	}
	p.arrivals = append(p.arrivals, w)
}

// arrivedBefore returns the work that has arrived after the plan and goes before a job that arrives now.
func (p *poolPlan) arrivedBefore(w backlog.Work) float64 {
	left := 0.0
	for _, a := range p.arrivals {
		if a.OverShare == w.OverShare && a.Priority <= w.Priority || !a.OverShare && w.OverShare {
			left += a.Left
		}
	}
	return left
}

// runTimesKnown reports whether enough runs are known of tasks like those of a job.
func (s *Scheduler) runTimesKnown(spec *job.Job) bool {
	for i := range spec.Steps {
		if _, known := s.learnt.stats.Expected(spec.Queue, spec.Account, &spec.Steps[i]); !known {
			return false
		}
	}
	return true
}

// arriving returns the occurrence of a job that the scheduler does not have.
func arriving(spec *job.Job) *occurrence {
	o, j := &occurrence{}, &jobState{spec: spec}
	for i := range spec.Steps {
		// All tasks count as waiting for an earlier step, so that none is a candidate for a start.
		o.steps = append(o.steps, &stepState{job: j, occurrence: o, number: i, spec: &spec.Steps[i], unfinished: spec.Steps[i].Count, blocked: 1})
	}
	return o
}

// errorFactor returns the factor by which the work that a plan expects may differ from what it takes: the
// learnt mean deviation of run times, errorDeviations times. The average of few runs is corrected for
// its start at zero.
func (s *Scheduler) errorFactor() float64 {
	l := &s.learnt
	known := 1 - math.Pow(1-runTimeErrorWeight, float64(max(l.runs, runtimes.MinRuns)))
	return max(minErrorFactor, math.Exp(errorDeviations*l.deviation/known))
}
