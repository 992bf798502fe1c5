package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"egretdrum.example/catalog"
)

const (
	// maxRankAge is how long the rank of a step is used before it is computed again; ranks
	// change with time and with the progress of the job.
	maxRankAge = 40 * time.Millisecond
	// lateFactor times the objective is the age of a job after which its result is of no use.
	lateFactor = 3
	// shareBurst is the number of seconds of its share that an account may use at once.
	shareBurst = 2.0
)

// rank decides in which order steps are placed; lower ranks go first.
type rank struct {
	at time.Time
	// priority is that of the queue; zero goes first.
	priority int
	// overShare is set for jobs beyond the share of their client account.
	overShare bool
	// lateness is 0 while the occurrence can meet its objective, 1 while it can end late but
	// with a result of use, and 2 afterwards.
	lateness int
	// objective is the time in which the job is to be done, path the critical path that is left.
	objective, path time.Duration
}

// String returns the rank as it is logged.
func (r rank) String() string {
	return fmt.Sprintf("lateness %d, over share %t", r.lateness, r.overShare)
}

// criticalPath returns the expected time of the longest chain of dependent steps of an occurrence,
// and that of the longest chain of its steps that are not done.
func (s *Scheduler) criticalPath(queue string, o *occurrence) (total, remaining time.Duration) {
	var longest, longestLeft [maxCriticalPathSteps]time.Duration
	for _, st := range o.steps {
		d := s.expectedTimeOf(queue, st)
		if rate, known := st.usualRate(nil); known {
			d = time.Duration(100 / rate * float64(time.Second))
		}
		var before, beforeLeft time.Duration
		for _, earlier := range st.spec.After {
			if earlier < maxCriticalPathSteps {
				before, beforeLeft = max(before, longest[earlier]), max(beforeLeft, longestLeft[earlier])
			}
		}
		after, afterLeft := before+d, beforeLeft
		if st.unfinished > 0 && !st.spec.LongRunning {
			afterLeft += d
		}
		if st.number < maxCriticalPathSteps {
			longest[st.number], longestLeft[st.number] = after, afterLeft
		}
		total, remaining = max(total, after), max(remaining, afterLeft)
	}
	return total, remaining
}

// maxCriticalPathSteps is the number of steps of a job that the critical path covers.
const maxCriticalPathSteps = 16

// sortSteps sorts the waiting steps of a pool in the order in which they are placed: long-running tasks
// first, and the others by the plan of the pool. In a pool with room for all, or without plans, the
// order is the priority of the queue, then accounts within their share, then jobs that can still
// meet their objective, and then the due time.
func (s *Scheduler) sortSteps(pool string, steps []*stepState, workers []*workerState) {
	var last *stepState
	for _, st := range steps {
		if s.now.Sub(st.rank.at) <= maxRankAge {
			continue
		}
		// Steps of one occurrence, which have the same rank, follow each other.
		if last != nil && last.occurrence == st.occurrence {
			st.rank = last.rank
		} else {
			st.rank = s.rankOf(st.job, st.occurrence)
		}
		last = st
	}
	if !s.planPool(pool, steps, workers) {
		slices.SortStableFunc(steps, compareByDue)
		return
	}
	slices.SortStableFunc(steps, func(a, b *stepState) int {
		if a.spec.LongRunning || b.spec.LongRunning || a.occurrence.planned.place == b.occurrence.planned.place {
			return compareByDue(a, b)
		}
		return cmp.Compare(a.occurrence.planned.place, b.occurrence.planned.place)
	})
}

// compareByDue compares steps in the order that does not depend on plans.
func compareByDue(a, b *stepState) int {
	return cmp.Or(
		-boolCompare(a.spec.LongRunning, b.spec.LongRunning),
		cmp.Compare(a.rank.priority, b.rank.priority),
		boolCompare(a.rank.overShare, b.rank.overShare),
		cmp.Compare(a.rank.lateness, b.rank.lateness),
		a.occurrence.due.Compare(b.occurrence.due),
		cmp.Compare(a.job.spec.ID, b.job.spec.ID),
		cmp.Compare(a.occurrence.number, b.occurrence.number),
		cmp.Compare(a.number, b.number),
	)
}

func (s *Scheduler) rankOf(j *jobState, o *occurrence) rank {
	total, remaining := s.criticalPath(j.spec.Queue, o)
	r := rank{at: s.now, overShare: j.overShare}
	q := s.queueOf(j)
	if q == nil {
		return r
	}
	r.priority = q.Priority
	r.objective, r.path = objective(q, total), remaining
	switch end := s.now.Sub(o.due) + remaining; {
	case end > lateFactor*r.objective:
		r.lateness = 2
	case end > r.objective:
		r.lateness = 1
	}
	return r
}

// objective returns the time in which a job with the given critical path is to be done.
func objective(q *catalog.Queue, criticalPath time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(criticalPath)) + q.Allowance
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// shareBucket is the token bucket of an account's share: the number of jobs that it may still
// submit within its share.
type shareBucket struct {
	jobs float64
	at   time.Time
}

// takeFromShare takes a job from the share of its account, and reports whether the share was used
// up. The share is the number of jobs a second that are guaranteed to the account.
func (s *Scheduler) takeFromShare(account string) bool {
	a := s.shareOf(account)
	if a == nil {
		return false
	}
	if a.jobs < 1 {
		return true
	}
	a.jobs--
	return false
}

// shareOf returns the bucket of an account's share with what has come in until now, nil if the account is
// guaranteed nothing.
func (s *Scheduler) shareOf(account string) *shareBucket {
	if account == "" || s.catalog == nil || s.catalog.Accounts[account] == nil {
		return nil
	}
	rate := float64(s.catalog.Accounts[account].GuaranteedJobsPerSecond)
	if rate <= 0 {
		return nil
	}
	a := s.shareBuckets[account]
	if a == nil {
		a = &shareBucket{jobs: shareBurst * rate, at: s.now}
		s.shareBuckets[account] = a
	}
	a.jobs = min(shareBurst*rate, a.jobs+rate*s.now.Sub(a.at).Seconds())
	a.at = s.now
	return a
}
