package scheduler

import (
	"slices"
	"time"

	"egretdrum.example/job"
)

// maxClockDifference bounds how far the clock of an earlier owner may have been ahead of that of this
// host: clocks of hosts may jump by seconds. A task of a later occurrence that a worker lists is taken
// for a fault of the worker.
const maxClockDifference = 10 * time.Second

// beginEarlier begins the occurrences of a repeating job up to the given one, which an earlier owner
// has begun. They may not be due by the clock of this host; tasks that have not started yet wait until
// they are.
func (s *Scheduler) beginEarlier(j *jobState, number int) {
	if !j.inherited || number >= j.spec.Repeat || j.state.Final() {
		return
	}
	for j.nextOccurrence <= number {
		if slices.Contains(j.finished, j.nextOccurrence) {
			j.nextOccurrence++
			continue
		}
		s.begin(j, j.nextOccurrence)
	}
}

// listedStep returns the step of a task that a worker lists or an earlier owner has recorded, nil if
// the task is not known or its occurrence is not active.
func (s *Scheduler) listedStep(t job.Task) *stepState {
	if j := s.jobs[t.Job]; j != nil && j.spec.Due(t.Occurrence).Sub(s.now.Round(0)) < maxClockDifference {
		s.beginEarlier(j, t.Occurrence)
	}
	return s.step(t)
}
