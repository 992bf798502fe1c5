package scheduler

import (
	"math"
	"time"

	"egretdrum.example/resource"
)

// A worker that fails a part of its runs is never in quarantine for long, as each run that is done
// clears it. It gets a share of its capacity by how much more often it fails than its pool does.
const (
	// outcomeHalfLife is the time after which the end of a run counts half.
	outcomeHalfLife = 5 * time.Second
	// priorOutcomes runs that were done are added, as a few runs say little.
	priorOutcomes = 3
	// negligible failed runs need no further attention.
	negligible = 0.05
	// someFailures and manyFailures are the shares of failed runs above that of the pool from which a
	// worker gets fewerRuns and fewestRuns of its capacity.
	someFailures = 0.12
	manyFailures = 0.24
	fewerRuns    = 0.5
	fewestRuns   = 0.25
)

// outcomes counts the ends of runs, the older ones for less.
type outcomes struct {
	runs, failed float64
	at           time.Time
	// failedJob is the job of the last failed run: the other runs of a job that fails everywhere do not count.
	failedJob string
}

// decay lowers the weight of the ends so far.
func (o *outcomes) decay(now time.Time) {
	if d := now.Sub(o.at); d > 0 {
		keep := math.Exp2(-d.Seconds() / outcomeHalfLife.Seconds())
		o.runs, o.failed, o.at = keep*o.runs, keep*o.failed, now
		if o.failed < negligible {
			o.failed = 0
		}
	}
}

// failedShare is the share of the runs that failed.
func (o *outcomes) failedShare(now time.Time) float64 {
	o.decay(now)
	return o.failed / (o.runs + priorOutcomes)
}

// add counts the end of a run.
func (o *outcomes) add(failed bool, now time.Time) {
	o.decay(now)
	o.runs++
	if failed {
		o.failed++
	}
}

// recordOutcome counts the end of a run for its worker and its pool.
func (s *Scheduler) recordOutcome(w *workerState, job string, failed bool) {
	if !s.limits.RunTimeQuantiles || failed && w.outcomes.failedJob == job {
		return
	}
	if failed {
		w.outcomes.failedJob = job
	}
	w.outcomes.add(failed, s.now)
	s.outcomesOf(w.registration.Pool).add(failed, s.now)
}

func (s *Scheduler) outcomesOf(pool string) *outcomes {
	o := s.learnt.outcomes[pool]
	if o == nil {
		o = &outcomes{}
		s.learnt.outcomes[pool] = o
	}
	return o
}

// updateShare sets the share of its capacity that a worker gets at present.
func (s *Scheduler) updateShare(w *workerState) {
	share := 1.0
	if w.outcomes.failed > 0 {
		switch excess := w.outcomes.failedShare(s.now) - s.outcomesOf(w.registration.Pool).failedShare(s.now); {
		case excess >= manyFailures:
			share = fewestRuns
		case excess >= someFailures:
			share = fewerRuns
		}
	}
	if before := 1 - w.withheld; share != before {
		w.withheld = 1 - share
		s.logEvent(LogEvent{Event: "worker-share", Worker: w.registration.ID, AffectedCount: int(math.Round(percentOfAll * share)), Reason: "failed runs"})
	}
}

// percentOfAll is the number of percent of the whole.
const percentOfAll = 100

// withinShare reports whether a worker may have the given number of runs, and that much of its capacity in use. One run is always
// allowed, so that it can show that it is sound.
func (w *workerState) withinShare(used resource.Amount, runs int) bool {
	if w.withheld == 0 || runs <= 1 {
		return true
	}
	allowed := func(n int) int { return int((1 - w.withheld) * float64(n)) }
	c := w.registration.Capacity
	return used.CPU <= allowed(c.CPU) && used.Memory <= allowed(c.Memory)
}
