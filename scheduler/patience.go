package scheduler

import "time"

// answers is what was seen of the calls to workers: how long answers take and how many of
// them do not come. Patience follows from it, so that a call without an answer holds up its
// worker for no longer than it takes to tell.
type answers struct {
	// slowest follows the slowest answers and forgets them slowly.
	slowest time.Duration
	// lost is the moving average share of looks at workers that had answered before and that
	// got no answer.
	lost float64
}

const (
	// answerFactor times the slowest answer seen lately is still a usual delay.
	answerFactor = 8
	// leastAnswerPatience is above the pauses of a host whose processor time comes in slices of a
	// tenth of a second; mostAnswerPatience is far above the few milliseconds of an answer.
	leastAnswerPatience = 100 * time.Millisecond
	mostAnswerPatience  = 400 * time.Millisecond
	// answerWeight lets about fifty answers decide.
	answerWeight = 0.02
	// lossyShare of lost answers is far above that of a network at rest. From there on, a
	// look waits for lossyWait: while its answer is missing, the ends on its worker are not
	// heard of.
	lossyShare = 0.03
	lossyWait  = 200 * time.Millisecond
)

// answered takes how long an answer to a call that does not wait took.
func (a *answers) answered(d time.Duration) {
	a.slowest = max(d, a.slowest-time.Duration(answerWeight*float64(a.slowest-d)))
}

// look takes whether a look at a worker that had answered before was answered.
func (a *answers) look(answered bool) {
	lost := 1.0
	if answered {
		lost = 0
	}
	a.lost += answerWeight * (lost - a.lost)
}

// answerPatience is how late the answer to a call may be that does not wait.
func (s *Scheduler) answerPatience() time.Duration {
	return min(max(leastAnswerPatience, answerFactor*s.answers.slowest), mostAnswerPatience)
}

// lookPatience is how late the answer to a look may be. It grows with each look that the
// worker leaves unanswered, in case answers have become slow.
func (s *Scheduler) lookPatience(failures int) time.Duration {
	return min(s.answerPatience()<<min(failures, maxDoublings), mostAnswerPatience)
}

// maxDoublings of leastAnswerPatience reach mostAnswerPatience.
const maxDoublings = 2

// lookWait is how long a look waits for the end of a task.
func (s *Scheduler) lookWait() time.Duration {
	if s.answers.lost > lossyShare {
		return min(s.limits.LookWait, lossyWait)
	}
	return s.limits.LookWait
}
