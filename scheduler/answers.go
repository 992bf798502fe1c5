package scheduler

import (
	"slices"
	"time"

	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/worker"
)

// PollAnswered reports the answer to a poll, nil if there was none. Another incarnation of a
// worker under the same ID shows in the Incarnation of the listing, or in otherIncarnation if
// there is no listing.
func (s *Scheduler) PollAnswered(poll Poll, answer *worker.Listing, otherIncarnation bool, now time.Time) {
	s.now = now
	w := s.workers[poll.Worker.ID]
	if w == nil {
		return
	}
	if poll.Deadline > 0 && (answer == nil || poll.sequence != w.sequence) {
		s.noteUnconfirmedGrant(w)
	}
	if poll.sequence <= w.ignoredUpTo {
		return
	}
	if answer == nil {
		s.pollUnanswered(w, poll, otherIncarnation)
		return
	}
	if poll.sequence != w.sequence {
		return
	}
	w.polling, w.nextPoll = false, now.Add(s.pollPause())
	w.ignoredUpTo = poll.sequence
	s.answers.recordPoll(true)
	if poll.Wait == 0 {
		s.answers.latency.RecordAnswer(now.Sub(w.pollSent))
	}
	s.changedWorkers[w] = true
	if w.unansweredPolls > 0 {
		s.logEvent(LogEvent{Event: "worker-answered", Worker: w.registration.ID, AffectedCount: len(w.runs)})
		w.unansweredPolls, w.copiesQueued, w.recordOmitted, w.answeredAgain = 0, false, false, now
	}
	s.reportUnlisted(w, answer)
	switch {
	case w.incarnation == 0:
		s.coverPreviousOwner(w, answer)
	case answer.Incarnation != w.incarnation:
		s.newIncarnation(w, answer.Incarnation)
		w.uncertain = true
	}
	w.incarnation = answer.Incarnation
	s.coverEarlierClock(w)
	w.clock, w.clockRead = answer.Clock, now
	w.acknowledgedEnd = max(w.acknowledgedEnd, min(poll.AckedEnd, w.durableEnd))
	w.recordAlive(w.pollSent)
	s.applyListing(w, answer)
	s.checkWatched(w)
	s.endTrial(w)
	if !w.answered || w.uncertain {
		s.changedPools[w.registration.Pool] = true
	}
	if w.pollFence == w.fence {
		w.uncertain = false
	}
	w.answered = true
	s.pace(w)
}

// pollUnanswered counts a poll without an answer. A poll that a newer one has superseded counts
// as well: each unanswered call causes a new poll, so an unresponsive worker would otherwise
// go unnoticed.
func (s *Scheduler) pollUnanswered(w *workerState, poll Poll, otherIncarnation bool) {
	first := w.unansweredPolls == 0
	s.changedWorkers[w] = true
	switch {
	case poll.sequence != w.sequence:
		w.unansweredPolls = max(1, w.unansweredPolls)
	case first:
		w.polling, w.unansweredPolls, w.nextPoll = false, 1, s.now.Add(firstPollRetry)
	default:
		w.polling, w.nextPoll = false, s.now.Add(pollRetry)
		w.unansweredPolls++
	}
	if first {
		s.answers.recordPoll(false)
		s.logEvent(LogEvent{Event: "worker-unanswered", Worker: w.registration.ID, AffectedCount: len(w.runs)})
	}
	if w.unansweredPolls >= s.copyAfter() && !w.copiesQueued {
		w.copiesQueued = true
		s.queueCopies(w)
	}
	if otherIncarnation {
		s.endIncarnation(w)
		delete(s.recoveryWorkers, w.registration.ID)
	}
}

// applyListing applies the running and ended runs that a worker lists. A listing that is full may lack
// ends, so it does not show which runs are gone.
func (s *Scheduler) applyListing(w *workerState, answer *worker.Listing) {
	w.furtherEnds = s.limits.ListedEnds > 0 && len(answer.Ended) >= s.limits.ListedEnds
	for _, e := range answer.Ended {
		if e.Number > w.processedEnd {
			w.processedEnd = e.Number
			s.processEnd(w, e)
		}
	}
	w.leaseExpired = w.leaseExpired && w.furtherEnds
	listed := make(map[job.Task]bool, len(answer.Running))
	w.hasUnknownRuns = false
	for i := range answer.Running {
		r := &answer.Running[i]
		listed[r.Task] = true
		s.applyRun(w, r)
	}
	if w.furtherEnds {
		return
	}
	for _, r := range w.sortedRuns() {
		if listed[r.step.name(r.index)] {
			continue
		}
		confirmed := r.state != starting && !r.confirmed.IsZero() && r.confirmed.Before(w.pollSent)
		fenced := r.claim.sentBelow(w.pollFence) || mutation.keepFence
		stopped := r.state == stopping && !r.stopped.IsZero() && r.stopped.Before(w.pollSent)
		if confirmed || fenced || stopped {
			s.drop(r, "not listed")
		}
	}
}

// applyRun applies a run that a worker lists.
func (s *Scheduler) applyRun(w *workerState, listed *worker.Run) {
	if r := w.runs[listed.Task]; r != nil && r.number == listed.Run {
		s.confirm(r)
		r.usualLease = true
		s.measure(r, listed)
		r.percent, r.load = listed.Percent, listed.Load
		if listed.Checkpoint != "" {
			r.checkpoint = listed.Checkpoint
		}
		s.enforceStop(r)
		return
	}
	st := s.listedStep(listed.Task)
	if st != nil {
		st.detachOlderRecord(listed.Task.Index, listed.Run)
	}
	if st == nil || st.job.state.Final() || st.tasks[listed.Task.Index].done || st.tasks[listed.Task.Index].run != nil {
		s.rejectRun(w, listed)
		return
	}
	index := listed.Task.Index
	st.waitingTasks = slices.DeleteFunc(st.waitingTasks, func(n int) bool { return n == index })
	s.adopt(w, st, listed)
	s.markRunning(st.job)
}

// notWanted is why runs are stopped that no job needs, or no longer.
const notWanted = "not wanted"

// wanted reports whether a run is the current run of a task that is not done, or an earlier one
// beside it.
func (s *Scheduler) wanted(r *run) bool {
	if r.step.job.state.Final() {
		return false
	}
	if !r.step.detached {
		// All members of a gang are done with the first one and end by themselves.
		return !r.step.tasks[r.index].done || r.step.spec.Gang
	}
	st := s.step(r.step.name(r.index))
	return st != nil && !st.tasks[r.index].done && slices.Contains(st.tasks[r.index].earlierRuns, r)
}

// rejectRun stops a run that is not wanted. The run still counts against the capacity of the
// worker and the limit of the account until it has ended.
func (s *Scheduler) rejectRun(w *workerState, listed *worker.Run) {
	j := s.jobs[listed.Task.Job]
	if j == nil || listed.Task.Step >= len(j.spec.Steps) || w.runs[listed.Task] != nil || listed.Task.Index >= j.spec.Steps[listed.Task.Step].Count {
		w.hasUnknownRuns = true
		// No run in the books stands for it: each listing leads to another stop until it is gone.
		w.nextPoll = s.now.Add(pollRetry)
		s.orderStop(w, runKey{listed.Task, listed.Run}, notWanted)
		return
	}
	s.stop(s.adopt(w, newDetached(j, listed.Task.Occurrence, listed.Task.Step), listed), notWanted)
}

// adopt takes over a run that this owner did not start.
func (s *Scheduler) adopt(w *workerState, st *stepState, listed *worker.Run) *run {
	index := listed.Task.Index
	s.lastRun = max(s.lastRun, listed.Run)
	r := &run{
		step: st, index: index, number: listed.Run, worker: w, state: present, sent: s.now, confirmed: s.now,
		percent: listed.Percent, load: listed.Load, checkpoint: listed.Checkpoint, need: st.spec.Reserved(),
		usualLease: true, adopted: true,
	}
	r.claim.setFence(w.fence)
	s.reserve(r)
	s.requestPoolUse(st.job.spec.Queue, w.registration.Pool)
	if w.leaseEnd.Before(s.now) {
		// The owner that has started the run may have granted the lease on an earlier clock.
		s.extendLease(w, s.limits.MaxLease)
	}
	s.logEvent(LogEvent{Event: "run-adopted", Job: st.job.spec.ID, Task: listed.Task, Worker: w.registration.ID, Run: listed.Run})
	return r
}

// confirm records that a run has begun.
func (s *Scheduler) confirm(r *run) {
	if r.state == starting {
		r.state = present
	}
	if r.confirmed.IsZero() {
		r.confirmed = s.now
	}
	s.markRunning(r.step.job)
}

// markRunning records that a task of a job has begun. That a start was decided does not count: it may be
// refused.
func (s *Scheduler) markRunning(j *jobState) {
	if j.state == progress.Pending {
		j.state = progress.Running
		s.markDirty(j)
	}
}

// processEnd applies an end that a worker lists.
func (s *Scheduler) processEnd(w *workerState, e worker.End) {
	st := s.listedStep(e.Task)
	if r := w.runs[e.Task]; r != nil && r.number == e.Run && r.step.detached {
		if st != nil && e.Reason == worker.Done {
			s.originalDone(st, r)
		}
		s.release(r)
	}
	u := unsavedEnd{number: e.Number}
	defer func() { w.unsavedEnds = append(w.unsavedEnds, u) }()
	known := s.jobs[e.Task.Job]
	if known != nil {
		s.logEvent(LogEvent{Event: "run-ended", Job: e.Task.Job, Task: e.Task, Worker: w.registration.ID, Run: e.Run, Reason: string(e.Reason)})
	}
	if st != nil {
		s.applyEnd(w, st, e)
	}
	// An end that changes nothing may repeat an earlier one whose effect is not durable yet.
	if known != nil && known.version > known.saved {
		u.job, u.version = known, known.version
	}
}

func (s *Scheduler) applyEnd(w *workerState, st *stepState, e worker.End) {
	t := &st.tasks[e.Task.Index]
	r := w.runs[e.Task]
	current := r != nil && r.number == e.Run
	s.markRunning(st.job)
	if current {
		if e.Checkpoint != "" {
			r.checkpoint = e.Checkpoint
		}
		s.release(r)
	}
	// Ends that are listed after the lease has expired count only if the task is done and was
	// not started again: otherwise it has been started elsewhere or is going to be.
	if !current && w.leaseExpired && (e.Reason != worker.Done || t.run != nil) {
		return
	}
	if t.run == nil && e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
		st.checkpoint = e.Checkpoint
	}
	if e.Reason == worker.Done || e.Reason == worker.Failed {
		s.clearEvidence(st, e.Task.Index)
	}
	switch {
	case st.job.state.Final():
		return
	case e.Reason == worker.Done:
		w.faults.recordSuccess()
		s.recordOutcome(w, e.Task.Job, false)
		if current {
			s.recordRunTime(r)
			s.copyDone(st, e.Task.Index)
		}
		if st.spec.LongRunning {
			break
		}
		if st.spec.Gang {
			s.completeGang(st)
			return
		}
		s.completeTask(st, e.Task.Index)
		if other := t.run; other != nil {
			s.stop(other, "done elsewhere")
		}
		return
	case e.Reason == worker.Failed:
		if first := len(t.failed) == 0; first {
			w.faults.recordFailure(e.Task.Job)
			s.recordOutcome(w, e.Task.Job, true)
			s.quarantineIfFaulty(w)
		}
		s.recordFailedAttempt(st, e.Task.Index, e.Run, w.registration.ID)
	}
	if current {
		s.breakGang(r)
	}
	s.requeue(st, e.Task.Index)
}

// completeGang marks all tasks of a gang as done: the end of one member counts for all of them.
func (s *Scheduler) completeGang(st *stepState) {
	for i := range st.tasks {
		s.completeTask(st, i)
	}
}

// breakGang stops the other members of a gang that has lost one.
func (s *Scheduler) breakGang(r *run) {
	if !r.step.spec.Gang || r.step.unfinished == 0 {
		return
	}
	for i := range r.step.tasks {
		if other := r.step.tasks[i].run; other != nil && other.number == r.number {
			s.stop(other, "gang broken")
		}
	}
}

// StartAnswered reports the answer to a start.
func (s *Scheduler) StartAnswered(a Start, answer StartAnswer, now time.Time) {
	s.now = now
	s.unansweredStarts--
	w := s.workers[a.Worker.ID]
	if w == nil {
		return
	}
	r := w.runs[a.Task]
	if r == nil || r.number != a.Run {
		return
	}
	r.awaitsAnswer = false
	s.noteStartAnswer(r, answer)
	switch answer.Result {
	case StartAccepted:
		w.recordAlive(r.sent)
		s.confirm(r)
		if r.step.spec.Background && w.serving > 0 && r.state == present {
			s.setPace(r, initialPace)
		}
	case StartNotSent:
		s.drop(r, "withdrawn before it was sent")
	case StartUnanswered:
		s.logEvent(LogEvent{Event: "start-unanswered", Job: a.Task.Job, Task: a.Task, Worker: w.registration.ID, Run: a.Run})
		if r.confirmed.IsZero() {
			s.markCallUncertain(r.worker, &r.claim)
		}
	case StartFenced:
		if a.Fence >= w.fence {
			// Another owner has polled the worker.
			w.pausedUntil = now.Add(pollRetry)
			w.nextPoll = now
		}
		s.drop(r, "rejected: "+answer.Reason)
	case StartOtherIncarnation:
		s.drop(r, "other incarnation of the worker")
		if w.incarnation != 0 && w.answered {
			s.endIncarnation(w)
		}
	case StartWithoutTicket:
		delete(r.step.tickets, w.registration.ID)
		s.drop(r, "ticket has ended")
	default:
		if answer.Result == StartUnavailable {
			w.pausedUntil = now.Add(unhealthyPause)
		} else {
			// The worker holds a run that this owner does not know of.
			w.pausedUntil = now.Add(pollRetry)
			w.nextPoll = now
		}
		s.drop(r, "rejected: "+answer.Reason)
	}
}
