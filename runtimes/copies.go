package runtimes

import (
	"time"

	"egretdrum.example/job"
)

// LongShare is the share of the runs of a step that are shorter than one whose task may get a second run.
// The measured progress tells which runs a second one would overtake, so that a higher share hardly
// saves copies, but has them begin too late.
const LongShare = 0.75

const (
	// minCopies is the number of copies from which it is judged whether copies help. copyMemory is
	// the number of copies that the share of those that helped covers.
	minCopies  = 6
	copyMemory = 20
	// minHelped is the share of copies that have to be faster than their originals. A copy
	// that is not faster has taken as much room as a run for nothing.
	minHelped = 0.3
	// trialInterval is the number of refused copies after which one is allowed, in case
	// the tasks of the queue have changed.
	trialInterval = 20
)

// copies counts the copies of the tasks of a queue that were started because a run was long.
type copies struct {
	ended   float64
	helped  float64
	refused int
}

// Long reports whether a run of a step that has lasted for elapsed is longer than the given share of the
// runs, and the expected time of a second one.
func (s *Stats) Long(queue, account string, step *job.Step, share float64, elapsed time.Duration) (fresh time.Duration, long bool) {
	limit, known := s.Quantile(queue, account, step, share)
	if !known || elapsed < limit {
		return 0, false
	}
	return s.Expected(queue, account, step)
}

// RecordCopy records whether a copy of a task of a queue was done before its original.
func (s *Stats) RecordCopy(queue string, helped bool) {
	c := &s.recordOf(key{queue: queue}).copies
	c.ended++
	x := 0.0
	if helped {
		x = 1
	}
	c.helped += share(1, c.ended, copyMemory) * (x - c.helped)
}

// CopyPays reports whether a copy of a long run of a queue is worth its room: whether the length
// belongs to the runs of the queue or to its tasks. While copies don't help, one is allowed now and then.
func (s *Stats) CopyPays(queue string) bool {
	r := s.records[key{queue: queue}]
	if r == nil || r.copies.ended < minCopies || r.copies.helped >= minHelped {
		return true
	}
	c := &r.copies
	c.refused++
	return c.refused%trialInterval == 0
}
