package scheduler

import (
	"slices"
	"time"

	"egretdrum.example/resource"
	"egretdrum.example/runtimes"
)

// A run that takes much longer than those of its queue and size is on a slow worker, or has bad luck
// that another run would not have, or its task is long. A second run helps in the first two cases
// only. What second runs have brought is recorded for each queue, and decides whether there are more.
const (
	// explainedShare is the share of the runs of a queue and size that are shorter than one whose length
	// can't be explained by that of others. explainedMargin covers steps of histograms and whole percent.
	explainedShare  = 0.99
	explainedMargin = 1.25
	// clearGain is the remaining time of a run in multiples of the time that a restart costs, from which
	// the run is stopped and started elsewhere. The checkpoint may be old.
	clearGain = 2
	// minFreeShare is the share of the capacity of a pool that copies of long runs leave free for
	// tasks that arrive.
	minFreeShare = 0.1
	// maxSpareAge is how long the spare room of a pool is used before it is computed again.
	maxSpareAge = 100 * time.Millisecond
	// longRun is why a task gets a second run.
	longRun = "long run"
)

// repeats has the further runs that a task got because earlier ones were slow or long.
type repeats struct {
	// slowRestarts counts restarts because of slow workers.
	slowRestarts int
	// lengthJudged is set once a second run was started, or decided against, because the first one was
	// long. original is the first one while its copy runs, predictedEnd is when a stopped one would have ended.
	lengthJudged bool
	original     *run
	predictedEnd time.Time
}

// judgeLength notes a run that is longer than most of its queue and size and, at its measured rate, would
// not end before a second run of its task.
func (s *Scheduler) judgeLength(r *run) {
	st := r.step
	if !s.limits.RunTimeQuantiles || !s.mayRunAgain(r) || s.now.Sub(r.sent) < s.expectedTimeOf(st.job.spec.Queue, st) {
		return
	}
	fresh, long := s.learnt.stats.Long(st.job.spec.Queue, st.job.spec.Account, st.spec, runtimes.LongShare, s.now.Sub(r.sent))
	if !st.spec.Speculative {
		fresh = clearGain * (fresh + stopCost)
	}
	if long && s.remainingAtLeast(r) > fresh {
		s.learnt.longRuns = append(s.learnt.longRuns, r)
	}
}

// mayRunAgain reports whether the task of a run may get a second run because the first one is long. Each
// task gets one of these at most.
func (s *Scheduler) mayRunAgain(r *run) bool {
	st := r.step
	if st.detached || st.spec.Gang || st.spec.Background || !st.spec.Speculative && !st.spec.Checkpointing || r.state != present {
		return false
	}
	t := &st.tasks[r.index]
	return !t.lengthJudged && t.run == r && len(t.earlierRuns) == 0 && !st.suspected(r.index)
}

// copyLongRuns starts second runs of the tasks of the runs that were noted since the last call, as far
// as there is room that no other task waits for. Runs that it passes over are noted again while they are long.
func (s *Scheduler) copyLongRuns() {
	runs := s.learnt.longRuns
	s.learnt.longRuns = nil
	if s.catalog == nil || s.restricted {
		return
	}
	for _, r := range runs {
		if s.startsHeld() {
			return
		}
		st := r.step
		if !s.mayRunAgain(r) || s.mustWait(st) {
			continue
		}
		if w := s.workerForCopy(r); w != nil && s.rankOf(st.job, st.occurrence).lateness <= 1 {
			s.runAgain(r, w)
		}
	}
}

// workerForCopy returns the worker for a second run of the task of a run, nil if the room for it is
// not free.
func (s *Scheduler) workerForCopy(r *run) *workerState {
	st := r.step
	pool := s.queueOf(st.job).Pool
	if s.capacitiesUnknown || !s.ensurePoolUseStored(st) || !s.hasSpareRoom(pool, r.need) {
		return nil
	}
	if st.spec.Speculative && (!s.mayCopy(r) || !s.accountAllows(st, 1)) {
		return nil
	}
	w := s.choose(st, r.index, s.colocate(st, s.advisedWorkers(st, s.candidates(pool))))
	if w == nil || s.recentlySlow(w) {
		return nil
	}
	return w
}

// spareRoom is the capacity of a pool that copies of long runs may take, as of at.
type spareRoom struct {
	at   time.Time
	left resource.Amount
}

// spareRoomOf returns the spare room of a pool: what is free beyond minFreeShare of its capacity.
func (s *Scheduler) spareRoomOf(pool string) *spareRoom {
	room := s.learnt.spare[pool]
	if room != nil && s.now.Sub(room.at) < maxSpareAge {
		return room
	}
	var capacity, used resource.Amount
	for _, w := range s.candidates(pool) {
		capacity = capacity.Add(w.registration.Capacity)
		used = used.Add(w.used)
	}
	left := capacity.Sub(used)
	left.CPU -= int(minFreeShare * float64(capacity.CPU))
	left.Memory -= int(minFreeShare * float64(capacity.Memory))
	room = &spareRoom{s.now, left}
	s.learnt.spare[pool] = room
	return room
}

// hasSpareRoom reports whether a copy with the given need fits into the spare room of a pool, in which no
// task waits for room.
func (s *Scheduler) hasSpareRoom(pool string, need resource.Amount) bool {
	return need.Within(s.spareRoomOf(pool).left) && !slices.ContainsFunc(s.waiting[pool], func(st *stepState) bool {
		return len(st.waitingTasks) > 0 && st.reason != accountLimitWait
	})
}

// runAgain starts a copy of a long run if its step allows that, or else stops the run, so that its task
// starts elsewhere from its checkpoint, unless second runs have not helped in its queue.
func (s *Scheduler) runAgain(r *run, w *workerState) {
	st, index := r.step, r.index
	t := &st.tasks[index]
	t.lengthJudged = true
	switch workerID := r.worker.registration.ID; {
	case !s.learnt.stats.CopyPays(st.job.spec.Queue):
		s.logEvent(LogEvent{Event: "copy-withheld", Job: st.job.spec.ID, Task: st.name(index), Worker: workerID, Run: r.number, Reason: "copies of its queue did not help"})
	case st.spec.Speculative:
		s.logEvent(LogEvent{Event: "run-copied", Job: st.job.spec.ID, Task: st.name(index), Worker: workerID, Run: r.number, Reason: longRun})
		s.learnt.copies++
		detach(r)
		t.earlierRuns = append(t.earlierRuns, r)
		t.original = r
		room := s.spareRoomOf(w.registration.Pool)
		room.left = room.left.Sub(r.need)
		s.lastRun++
		s.start(st, index, w, s.lastRun)
	default:
		s.learnt.copies++
		t.predictedEnd = s.now.Add(s.remainingAtLeast(r))
		t.triedWorkers = append(t.triedWorkers, workerID)
		s.stop(r, longRun)
	}
}

// resumeOriginal makes a long run that goes on the current run of its task again once its copy is gone,
// and reports whether there is one.
func (s *Scheduler) resumeOriginal(st *stepState, index int) bool {
	t := &st.tasks[index]
	r := t.original
	if r == nil || r.state != present || r.worker.runs[st.name(index)] != r || r.worker.unansweredPolls > 0 {
		return false
	}
	t.original = nil
	t.earlierRuns = slices.DeleteFunc(t.earlierRuns, func(other *run) bool { return other == r })
	r.step, t.run = st, r
	st.occurrence.runs++
	return true
}

// originalDone records that a long run was done before its copy.
func (s *Scheduler) originalDone(st *stepState, r *run) {
	if t := &st.tasks[r.index]; t.original == r && !t.done {
		t.original = nil
		s.recordCopy(st, false)
		s.recordRunTime(r)
	}
}

// copyDone records that the second run of a task is done, and whether it was faster. The time of
// the first run until now is recorded too: without it, the long runs would be missing in the
// distribution, and ever shorter ones would count as long.
func (s *Scheduler) copyDone(st *stepState, index int) {
	t := &st.tasks[index]
	if !t.predictedEnd.IsZero() {
		s.recordCopy(st, s.now.Before(t.predictedEnd))
		t.predictedEnd = time.Time{}
	}
	if r := t.original; r != nil && r.worker.runs[st.name(index)] == r {
		t.original = nil
		s.recordCopy(st, true)
		s.recordRunTime(r)
	}
}

func (s *Scheduler) recordCopy(st *stepState, helped bool) {
	s.learnt.stats.RecordCopy(st.job.spec.Queue, helped)
	if helped {
		s.learnt.copiesHelped++
	}
}

// lengthExplains reports whether a run at ratio of the usual speed is slow only because it is one of the
// long runs of its queue and size, so that its worker is not the cause. Several slow runs in a row on one
// worker are not explained.
func (s *Scheduler) lengthExplains(r *run, ratio float64) bool {
	w, st := r.worker, r.step
	if !s.limits.RunTimeQuantiles {
		return false
	}
	if ratio >= slowRatio {
		w.longInARow = 0
		return false
	}
	if !r.long {
		r.long = true
		w.longInARow++
	}
	if w.longInARow >= minSlowRuns {
		return false
	}
	d, known := s.learnt.stats.Quantile(st.job.spec.Queue, st.job.spec.Account, st.spec, explainedShare)
	return known && 100/s.highestRate(r) <= explainedMargin*d.Seconds()
}

// highestRate is an upper bound of the rate of a run, in percent per second: over a short window, whole
// percent make it look slower by up to a third.
func (s *Scheduler) highestRate(r *run) float64 {
	v := &r.speed
	return max(v.rate, float64(v.percent-v.first+1)/s.now.Sub(v.since).Seconds())
}

// remainingAtLeast is a lower bound of the time that a run still needs.
func (s *Scheduler) remainingAtLeast(r *run) time.Duration {
	return time.Duration(float64(100-r.percent-1) / s.highestRate(r) * float64(time.Second))
}

// longestPerPercent is the longest time that a run may need for a percent without being slow: at its own
// pace so far, or else at that of the longest runs of its queue and size.
func (s *Scheduler) longestPerPercent(r *run) time.Duration {
	if !s.limits.RunTimeQuantiles {
		return 0
	}
	v, st := &r.speed, r.step
	if r.percent > v.first {
		return v.changed.Sub(v.since) / time.Duration(r.percent-v.first)
	}
	d, _ := s.learnt.stats.Quantile(st.job.spec.Queue, st.job.spec.Account, st.spec, explainedShare)
	return d / 100
}
