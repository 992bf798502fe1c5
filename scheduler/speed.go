package scheduler

import (
	"slices"
	"time"

	"egretdrum.example/worker"
)

const (
	// speedWindow is the time over which the progress of a run is measured. Progress is
	// listed in whole percent, and short runs take half a second.
	speedWindow = 200 * time.Millisecond
	// stalledAfter is how long a run may make no progress before it counts as stalled. Runs on
	// slow workers still make some.
	stalledAfter = 450 * time.Millisecond
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
	percent int
	at      time.Time
	// changed is when the progress last changed.
	changed time.Time
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
		*v = speed{percent: listed.Percent, at: s.now, changed: s.now}
		return
	}
	if listed.Percent > r.percent {
		v.changed = s.now
	}
	d := s.now.Sub(v.at)
	if d < speedWindow {
		return
	}
	v.rate = float64(listed.Percent-v.percent) / d.Seconds()
	v.percent, v.at = listed.Percent, s.now
	s.judgeSpeed(r)
}

// judgeSpeed compares a run with the other tasks of its step on other workers. If the task would
// be done sooner by a restart elsewhere, it stops the run, or starts a copy if the step allows it.
func (s *Scheduler) judgeSpeed(r *run) {
	st, w := r.step, r.worker
	t := st.task(r.index)
	t.rate, t.rateWorker = r.speed.rate, w
	stalled := s.now.Sub(r.speed.changed) > stalledAfter
	usual, known := st.usualRate(w)
	slow := false
	if known {
		ratio := min(1.5, r.speed.rate/usual)
		w.speed += speedWeight * (ratio - w.speed)
		slow = ratio < slowRatio && w.speed < slowWorkerRatio
	}
	if w.speed < slowWorkerRatio || stalled {
		w.slowUntil = s.now.Add(avoidSlowFor)
	}
	if r.state != present || st.spec.Gang || (!stalled && !slow) {
		return
	}
	restartTime := s.expectedTime(st.job.spec.Queue, st.spec.Estimate)
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

// remainingTime is the time that a run still needs at its current speed.
func (r *run) remainingTime() time.Duration {
	if r.speed.rate <= 0 {
		return time.Hour
	}
	return time.Duration(float64(100-r.percent) / r.speed.rate * float64(time.Second))
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
