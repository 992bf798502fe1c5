package scheduler

import (
	"time"

	"egretdrum.example/crashes"
)

// A worker on which every run fails has free capacity again at once, attracts more tasks and
// uses up their attempts. Two signs distinguish it from tasks that fail everywhere: runs of
// several jobs fail there in a row, and their tasks have not failed elsewhere before.
const (
	// faultyAfter is the number of consecutive failed runs, of at least faultyJobs jobs, after
	// which a worker is put into quarantine.
	faultyAfter = 3
	faultyJobs  = 2
	// firstQuarantine is the duration of a worker's first quarantine. It doubles with each further
	// one without a successful run in between, up to maxQuarantine, so that a repaired worker is
	// used again within seconds.
	firstQuarantine = time.Second
	maxQuarantine   = 8 * time.Second
	// quarantineShare is the maximum share of a pool's workers in quarantine. If runs fail on
	// more of them, the tasks are the likelier cause.
	quarantineShare = 0.25
)

// faults counts the failed runs on a worker since its last successful one.
type faults struct {
	runs, jobs  int
	job         string
	quarantines int
	until       time.Time
}

// recordSuccess resets the faults after a successful run.
func (f *faults) recordSuccess() { *f = faults{} }

// recordFailure counts a failed run of a job.
func (f *faults) recordFailure(job string) {
	f.runs++
	if f.job != job {
		f.job = job
		f.jobs++
	}
}

// quarantined reports whether a worker gets no tasks because of its failed runs.
func (w *workerState) quarantined(now time.Time) bool { return now.Before(w.faults.until) }

// onTrial reports whether a worker was in quarantine and has had no successful run since. It gets
// one task at a time.
func (w *workerState) onTrial() bool { return w.faults.quarantines > 0 }

// endTrial ends the trial of a worker on which a long-running task, which never ends as done, has started
// up and outlived its start.
func (s *Scheduler) endTrial(w *workerState) {
	if !w.onTrial() {
		return
	}
	for _, r := range w.runs {
		if r.step.spec.LongRunning && r.state == present && r.percent == 100 && w.knownPresence(r) >= crashes.Survival {
			w.faults.recordSuccess()
			s.changedPools[w.registration.Pool] = true
			return
		}
	}
}

// quarantineIfFaulty puts a worker into quarantine if it is the likely cause of its failed runs.
func (s *Scheduler) quarantineIfFaulty(w *workerState) {
	f := &w.faults
	if f.runs < faultyAfter || f.jobs < faultyJobs || w.quarantined(s.now) || s.quarantineFull(w) {
		return
	}
	d := min(firstQuarantine<<f.quarantines, maxQuarantine)
	f.quarantines++
	f.until = s.now.Add(d)
	s.logEvent(LogEvent{Event: "worker-quarantined", Worker: w.registration.ID, AffectedCount: f.runs, Reason: d.String()})
}

// quarantineFull reports whether so many workers of the pool are in quarantine or on trial
// that the tasks are the likelier cause.
func (s *Scheduler) quarantineFull(w *workerState) bool {
	workers := s.workersOf(w.registration.Pool)
	n := 0
	for _, other := range workers {
		if other != w && other.onTrial() {
			n++
		}
	}
	return float64(n+1) > max(1, quarantineShare*float64(len(workers)))
}
