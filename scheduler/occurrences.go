package scheduler

import (
	"fmt"
	"slices"
	"time"

	"egretdrum.example/job"
)

// maxClockDifference bounds how far the clock of an earlier owner may have been ahead of that of this
// host: clocks of hosts may jump by seconds. A task of a later occurrence that a worker lists is taken
// for a fault of the worker.
const maxClockDifference = 10 * time.Second

const (
	// maxFurtherPerJob is the part of Limits.FurtherTasks that one job may use. A job without
	// occurrences may have as many tasks.
	maxFurtherPerJob = 10_000
	// stepSize is the memory that a step takes besides its tasks, in tasks.
	stepSize = 4
)

// occurrenceSize returns the size of an occurrence of a job, in tasks.
func occurrenceSize(j *job.Job) int {
	size := stepSize * len(j.Steps)
	for i := range j.Steps {
		size += j.Steps[i].Count
	}
	return size
}

// startDue begins the occurrences that are due, the oldest ones of a job first, as far as there is room
// for them.
func (s *Scheduler) startDue() {
	s.repeating = slices.DeleteFunc(s.repeating, func(j *jobState) bool {
		for j.nextOccurrence < j.spec.Repeat && !s.now.Before(j.spec.Due(j.nextOccurrence)) && !j.state.Final() {
			switch {
			case j.hasBegun(j.nextOccurrence):
				j.nextOccurrence++
			case s.mayBegin(j):
				s.begin(j, j.nextOccurrence)
			default:
				s.hold(j)
				return false
			}
		}
		j.held = false
		return j.state.Final() || j.nextOccurrence >= j.spec.Repeat
	})
}

// mayBegin reports whether another occurrence of a job may begin. Each job may have one at any time.
// Further ones share a limited size, as thousands may be overdue. An account may use as much of it as
// it leaves to the others, so that none can use it up.
func (s *Scheduler) mayBegin(j *jobState) bool {
	free := s.limits.FurtherTasks - s.further
	return len(j.occurrences) == 0 ||
		j.further+j.size <= maxFurtherPerJob && s.furtherOfAccount[j.spec.Account]+j.size <= free
}

// countFurther adds n to the size of the further occurrences of a job.
func (s *Scheduler) countFurther(j *jobState, n int) {
	j.further += n
	s.further += n
	if s.furtherOfAccount[j.spec.Account] += n; s.furtherOfAccount[j.spec.Account] == 0 {
		delete(s.furtherOfAccount, j.spec.Account)
	}
}

// hold logs, once until it has caught up, that due occurrences of a job have to wait.
func (s *Scheduler) hold(j *jobState) {
	if j.held {
		return
	}
	j.held = true
	s.logEvent(LogEvent{
		Event: "occurrences-held", Job: j.spec.ID, AffectedCount: j.dueAt(s.now.Round(0)) - j.nextOccurrence,
		Reason: fmt.Sprintf("%d have begun; size of further ones: %d of the job, %d of the account, %d of all", len(j.occurrences), j.further, s.furtherOfAccount[j.spec.Account], s.further),
	})
}

// dueAt returns how many occurrences of a job are due at a time of day.
func (j *jobState) dueAt(now time.Time) int {
	if j.spec.Interval == 0 {
		return j.spec.Repeat
	}
	return int(min(int64(j.spec.Repeat), int64(now.Sub(j.spec.Start)/j.spec.Interval)+1))
}

// hasBegun reports whether an occurrence has begun, also if it is done.
func (j *jobState) hasBegun(number int) bool {
	_, done := slices.BinarySearch(j.finished, number)
	return done || j.occurrences[number] != nil
}

// setFinished adds an occurrence to those that are done.
func (j *jobState) setFinished(number int) {
	if at, known := slices.BinarySearch(j.finished, number); !known {
		j.finished = slices.Insert(j.finished, at, number)
	}
}

// forget removes the state of an occurrence of a job that has ended, once none of its runs can be
// present any more.
func (j *jobState) forget(o *occurrence) {
	if j.state.Final() && o.runs == 0 && j.occurrences[o.number] == o {
		delete(j.occurrences, o.number)
	}
}

// beginKnown begins an occurrence of a repeating job that an earlier owner has begun. It may not be due
// by the clock of this host; tasks that have not started yet wait until it is.
func (s *Scheduler) beginKnown(j *jobState, number int) {
	if j.inherited && number < j.spec.Repeat && !j.state.Final() && !j.hasBegun(number) {
		s.begin(j, number)
	}
}

// listedStep returns the step of a task that a worker lists or an earlier owner has recorded, nil if
// the task is not known or its occurrence is not active.
func (s *Scheduler) listedStep(t job.Task) *stepState {
	if j := s.jobs[t.Job]; j != nil && j.spec.Due(t.Occurrence).Sub(s.now.Round(0)) < maxClockDifference {
		s.beginKnown(j, t.Occurrence)
	}
	return s.step(t)
}
