package scheduler

import (
	"fmt"
	"math"
	"time"

	"egretdrum.example/runtimes"
)

// runTimeStats holds the measured run times of the tasks of a queue.
type runTimeStats struct {
	// mean is the moving average of the logarithm of the run time in seconds. It is kept
	// because the estimates of callers may be off by a factor of ten.
	mean float64
	runs int
}

// runTimeWeight is the weight of a new run time: the average covers about twenty runs.
const runTimeWeight = 0.05

const (
	// maxExpectedAge is how long the expected run time of a step is used before it is computed again.
	maxExpectedAge = 250 * time.Millisecond
	// runTimeErrorWeight is the weight of a run in the average error of the expected run times.
	runTimeErrorWeight = 0.01
	// minSlowRuns is the number of slow runs from which the worker counts as their cause: a single
	// run may be long by itself.
	minSlowRuns = 2
)

// learntTimes is what the owner has learnt of run times beyond the averages of queues.
type learntTimes struct {
	stats *runtimes.Stats
	// queues has the queues of which enough is known.
	queues map[string]bool
	// deviation is the moving average of the absolute logarithm of the run time relative to
	// the expected one.
	deviation float64
	// runs is the number of runs in the average.
	runs int
	// copies counts the second runs of tasks whose first one was long, copiesHelped those that were faster.
	copies, copiesHelped int
	// outcomes has the ends of runs in each pool.
	outcomes map[string]*outcomes
	// spare has the spare room of each pool.
	spare map[string]*spareRoom
	// longRuns has the runs that were found to be long since the last Tick.
	longRuns []*run
}

func newLearntTimes() learntTimes {
	return learntTimes{stats: runtimes.New(), queues: make(map[string]bool), outcomes: make(map[string]*outcomes), spare: make(map[string]*spareRoom)}
}

// recordRunTime records the run time of the run of a task that is done.
func (s *Scheduler) recordRunTime(r *run) {
	st, d := r.step, s.now.Sub(r.sent)
	s.averageRunTime(st, d)
	if !s.limits.RunTimeQuantiles || st.spec.LongRunning || !s.representative(r) {
		return
	}
	l := &s.learnt
	ratio := math.Abs(math.Log(max(0.01, d.Seconds()) / max(0.01, s.expectedTimeOf(st.job.spec.Queue, st).Seconds())))
	l.deviation += runTimeErrorWeight * (ratio - l.deviation)
	l.runs++
	queue := st.job.spec.Queue
	l.stats.Record(queue, st.job.spec.Account, st.spec, d)
	if l.queues[queue] {
		return
	}
	if usual, known := l.stats.Expected(queue, st.job.spec.Account, st.spec); known {
		l.queues[queue] = true
		s.logEvent(LogEvent{Event: "run-times-learnt", Job: st.job.spec.ID, Reason: fmt.Sprintf("queue %s, a task like this one is expected to take %s", queue, usual.Round(time.Millisecond))})
	}
}

// representative reports whether the time of a run that has ended as done says what its task takes.
// Left out are runs that did only a part of the work or were not seen from their start, copies, of which
// only the short ones end as done, background tasks, whose pace sets their time, and runs on workers that were
// slow, cold or silent.
func (s *Scheduler) representative(r *run) bool {
	w := r.worker
	switch {
	case r.adopted, r.recorded, r.resumed, r.copied, r.step.spec.Background:
		return false
	case w.slowUntil.After(r.sent) && w.slowRuns >= minSlowRuns, w.warmAt.After(r.sent):
		return false
	}
	return !w.answeredAgain.Equal(s.now)
}

// expectedTimeOf returns the expected run time of the tasks of a step of a queue. Until enough runs
// are known, it is that of expectedTime.
func (s *Scheduler) expectedTimeOf(queue string, st *stepState) time.Duration {
	if !s.limits.RunTimeQuantiles {
		return s.expectedTime(queue, st.spec.Estimate)
	}
	if e := &st.expected; e.time == 0 || s.now.Sub(e.at) > maxExpectedAge {
		d, known := s.learnt.stats.Expected(queue, st.job.spec.Account, st.spec)
		if !known {
			d = s.expectedTime(queue, st.spec.Estimate)
		}
		*e = expectedTime{s.now, d}
	}
	return st.expected.time
}

// expectedTime is the expected run time of a step, as of at.
type expectedTime struct {
	at   time.Time
	time time.Duration
}

// averageRunTime adds the run time of a task that is done to the average of its queue.
func (s *Scheduler) averageRunTime(st *stepState, d time.Duration) {
	x := s.runTimes[st.job.spec.Queue]
	if x == nil {
		x = &runTimeStats{}
		s.runTimes[st.job.spec.Queue] = x
	}
	seconds := math.Log(max(0.01, d.Seconds()))
	x.runs++
	weight := max(runTimeWeight, 1/float64(x.runs))
	x.mean += weight * (seconds - x.mean)
}

// expectedTime returns the expected run time of a task: the geometric mean of the caller's
// estimate and of the measured run times of its queue.
func (s *Scheduler) expectedTime(queue string, estimate time.Duration) time.Duration {
	x := s.runTimes[queue]
	switch {
	case x == nil && estimate <= 0:
		return time.Second
	case x == nil:
		return estimate
	case estimate <= 0:
		return time.Duration(math.Exp(x.mean) * float64(time.Second))
	}
	return time.Duration(math.Exp((x.mean+math.Log(estimate.Seconds()))/2) * float64(time.Second))
}
