package scheduler

import (
	"slices"
	"time"

	"egretdrum.example/worker"
)

const (
	// speedWindow is the time over which the progress of a run is measured at least; short runs take
	// half a second. minProgress is the progress in percent that is measured at least, as it is listed
	// in whole percent and long runs take seconds for one.
	speedWindow = 200 * time.Millisecond
	minProgress = 2
	// stalledAfter is how long a run may make no progress before it counts as stalled, and
	// stalledPercents the same in multiples of the time for a percent. Runs on slow workers still make
	// some.
	stalledAfter    = 450 * time.Millisecond
	stalledPercents = 2
	// slowRatio is the fraction of the usual speed below which a run is slow; equal tasks differ
	// by a third.
	slowRatio = 0.4
	// slowWorkerRatio is the average relative speed of its runs below which a worker is slow.
	// speedWeight is the weight of a new value in that moving average.
	slowWorkerRatio = 0.5
	speedWeight     = 0.4
	// avoidSlowFor is how long a worker is avoided after its last slow run.
	avoidSlowFor = 3 * time.Second
	// stopCost is the usual duration of a stop, which precedes the next start.
	stopCost = 600 * time.Millisecond
	// maxSlowRestarts bounds how often a task is restarted because of slow workers.
	maxSlowRestarts = 3
)

// speed is the measured progress of a run.
type speed struct {
	// percent is the progress at the start of the present window, at.
	percent int
	at      time.Time
	// judged is when the speed was last judged, changed when the progress last changed.
	judged, changed time.Time
	// first is the progress in the first listing, at since.
	first int
	since time.Time
	// rate is in percent per second; zero if it is not known.
	rate float64
}

// measure updates the speed of a run from the progress that its worker lists.
func (s *Scheduler) measure(r *run, listed *worker.Run) {
	if r.step.spec.LongRunning {
		return
	}
	v := &r.speed
	if v.at.IsZero() || listed.Percent < v.percent {
		*v = speed{percent: listed.Percent, at: s.now, judged: s.now, changed: s.now, first: listed.Percent, since: s.now}
		return
	}
	if listed.Percent > r.percent {
		v.changed = s.now
	}
	if s.now.Sub(v.judged) < speedWindow {
		return
	}
	v.judged = s.now
	t := r.step.task(r.index)
	d, progressed := s.now.Sub(v.at).Seconds(), listed.Percent-v.percent
	measured := progressed >= minProgress
	if measured {
		v.rate = float64(progressed) / d
		v.percent, v.at = listed.Percent, s.now
		t.rate, t.rateWorker = v.rate, r.worker
	} else if highest := float64(progressed+1) / d; v.rate == 0 || v.rate > highest {
		// Less than the next percent was reached since the window began.
		v.rate, t.rate = highest, 0
	}
	s.judgeSpeed(r, measured)
}

// judgeSpeed compares a run with the other tasks of its step on other workers. If the task would
// be done sooner by a restart elsewhere, it stops the run, or starts a copy if the step allows it. The
// rate of a run that is not measured is an upper bound.
func (s *Scheduler) judgeSpeed(r *run, measured bool) {
	st, w := r.step, r.worker
	t := st.task(r.index)
	usual, known := st.usualRateAt(s.now, w)
	stalled := s.now.Sub(r.speed.changed) > s.stallTime(r, usual)
	slow := false
	if ratio := min(1.5, r.speed.rate/usual); known && (measured || ratio < slowRatio) && !s.lengthExplains(r, ratio) {
		w.speed += speedWeight * (ratio - w.speed)
		slow = ratio < slowRatio && w.speed < slowWorkerRatio
	}
	if w.speed < slowWorkerRatio || stalled {
		s.avoidSlow(r, slow || stalled)
	}
	if s.restricted || r.state != present || st.spec.Gang {
		return
	}
	if !stalled && !slow {
		s.judgeLength(r)
		return
	}
	restartTime := s.expectedTimeOf(st.job.spec.Queue, st)
	if known {
		restartTime = time.Duration(100 / usual * float64(time.Second))
	}
	if !stalled && r.remainingTime() < restartTime+stopCost {
		return
	}
	if t.slowRestarts >= maxSlowRestarts || !s.fitsElsewhere(r) {
		return
	}
	t.slowRestarts++
	t.triedWorkers = append(t.triedWorkers, w.registration.ID)
	if st.spec.Speculative {
		s.queueCopy(r, "slow worker")
		return
	}
	s.stop(r, "slow worker")
}

// avoidSlow has the worker of a run avoided for a while. slow is set if this run is slow itself.
func (s *Scheduler) avoidSlow(r *run, slow bool) {
	w := r.worker
	if s.now.After(w.slowUntil) {
		w.slowRuns = 0
	}
	if slow && (!r.slow || w.slowRuns == 0) {
		w.slowRuns++
		r.slow = true
	}
	w.slowUntil = s.now.Add(avoidSlowFor)
}

// stallTime is how long a run may make no progress before it counts as stalled. usual is the usual rate of
// its step, zero if it is not known.
func (s *Scheduler) stallTime(r *run, usual float64) time.Duration {
	var perPercent time.Duration
	if usual > 0 {
		perPercent = time.Duration(float64(time.Second) / usual)
	} else {
		perPercent = s.expectedTimeOf(r.step.job.spec.Queue, r.step) / 100
		if v := &r.speed; r.percent > v.first {
			perPercent = max(perPercent, v.changed.Sub(v.since)/time.Duration(r.percent-v.first))
		}
	}
	return max(stalledAfter, stalledPercents*max(perPercent, s.longestPerPercent(r)))
}

// remainingTime is the time that a run still needs at its current speed.
func (r *run) remainingTime() time.Duration {
	if r.speed.rate <= 0 {
		return time.Hour
	}
	return time.Duration(float64(100-r.percent) / r.speed.rate * float64(time.Second))
}

// usualRate is the usual rate on other workers than worker, as of at.
type usualRate struct {
	at     time.Time
	worker *workerState
	rate   float64
	known  bool
}

// usualRateAt is usualRate, which it computes once for all runs in a listing.
func (st *stepState) usualRateAt(now time.Time, w *workerState) (rate float64, known bool) {
	if u := &st.usual; u.worker != w || !u.at.Equal(now) {
		rate, known := st.usualRate(w)
		*u = usualRate{now, w, rate, known}
	}
	return st.usual.rate, st.usual.known
}

// usualRate is the median speed of the tasks of a step on other workers than w. Run times
// within a queue differ too much to be used instead.
func (st *stepState) usualRate(w *workerState) (rate float64, known bool) {
	const minRates = 2
	var rates []float64
	for i := range st.tasks {
		if t := &st.tasks[i]; t.rate > 0 && t.rateWorker != w {
			rates = append(rates, t.rate)
		}
	}
	if len(rates) < minRates {
		return 0, false
	}
	slices.Sort(rates)
	return rates[len(rates)/2], true
}

// fitsElsewhere reports whether the task of a run could start on another worker of the pool that
// is not slow.
func (s *Scheduler) fitsElsewhere(r *run) bool {
	for _, w := range s.sortedWorkers {
		if w != r.worker && w.registration.Pool == r.worker.registration.Pool && s.usable(w) && !s.cordoned(w) && !s.recentlySlow(w) && s.fits(r.step, w, r.need, 0) {
			return true
		}
	}
	return false
}

// recentlySlow reports whether a worker was slow recently.
func (s *Scheduler) recentlySlow(w *workerState) bool { return s.now.Before(w.slowUntil) }
