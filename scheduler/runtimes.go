package scheduler

import (
	"math"
	"time"
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

// recordRunTime adds the run time of a task that is done to the average of its queue.
func (s *Scheduler) recordRunTime(st *stepState, d time.Duration) {
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
