package scheduler

import (
	"time"

	"egretdrum.example/latency"
)

// answerStats has statistics of the calls to workers: the latency of answers and the share of lost
// ones. Timeouts follow from them, so that a call without an answer delays the scheduling on its
// worker for no longer than it takes to detect that.
type answerStats struct {
	// latency estimates the latency of answers to calls that do not wait for an end.
	latency latency.Estimate
	// lostShare is the moving average of the share of unanswered polls. Of a worker that does not
	// answer, only the first unanswered poll counts.
	lostShare float64
}

const (
	// minAnswerTimeout is above the pauses of a host that gets its CPU time in slices of a tenth
	// of a second; maxAnswerTimeout is far above the few milliseconds of an answer.
	minAnswerTimeout = 100 * time.Millisecond
	maxAnswerTimeout = 400 * time.Millisecond
	// lostWeight is the weight of a poll in the moving average, which covers about fifty polls.
	lostWeight = 0.02
	// lossyShare is a share of lost answers far above that of a network without disturbances.
	// Above it, a poll waits no longer than lossyWait: while its answer is missing, the owner
	// does not learn of the ends on the worker.
	lossyShare = 0.03
	lossyWait  = 200 * time.Millisecond
)

// recordPoll records whether a poll of a worker that had answered before was answered.
func (a *answerStats) recordPoll(answered bool) {
	lost := 1.0
	if answered {
		lost = 0
	}
	a.lostShare += lostWeight * (lost - a.lostShare)
}

// answerTimeout is the timeout of a call that does not wait for an end.
func (s *Scheduler) answerTimeout() time.Duration { return s.pollTimeout(0) }

// pollTimeout is the timeout of a poll, without its wait. It grows with each poll that the
// worker leaves unanswered.
func (s *Scheduler) pollTimeout(failures int) time.Duration {
	return s.answers.latency.Timeout(minAnswerTimeout, maxAnswerTimeout, failures)
}

// pollWait is how long a poll waits for the end of a task.
func (s *Scheduler) pollWait() time.Duration {
	if s.answers.lostShare > lossyShare {
		return min(s.limits.PollWait, lossyWait)
	}
	return s.limits.PollWait
}
