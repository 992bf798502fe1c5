// Package crashes weighs the evidence that a task crashes the workers that start it. It does no
// input or output.
//
// A crash shows only which runs may have been present. A task that crashes its workers does so
// right after each start, so a run that outlives its start does not count, and a task that was
// alone with its suspicion in two crashes is the likely cause.
package crashes

import (
	"slices"
	"time"
)

const (
	// Survival is how long a run has to be present until a later crash of its worker does not
	// count against it. It is far above the tenth of a second within which a crashing task ends
	// its worker, so that a slow one counts as well.
	Survival = 2 * time.Second
	// Probation is how long a task is kept apart from other suspects and from new tasks after the
	// first crash. With many suspects, the last ones wait for a multiple of it. After the second
	// crash it is longProbation, and Survival later, for tasks that take longer to end a worker.
	Probation     = 150 * time.Millisecond
	longProbation = 600 * time.Millisecond

	// maxCrashes is the number of crashes, other than weak ones, after which a task is not started
	// again, if at least minConfirmed of its runs are known to have begun.
	maxCrashes   = 3
	minConfirmed = 2
	// maxUncertain is the number of crashes after which a task is not started again although some
	// of them say little: starts may have been sent to workers that were down already.
	maxUncertain = 5

	// minShared is the number of workers, and sharedShare the share of the workers of a rack, from
	// which on crashes at the same time have a shared cause, such as a loss of power.
	minShared   = 3
	sharedShare = 0.5
)

// Evidence holds the crashes that count against a task.
type Evidence struct {
	// Runs has the numbers of the runs that may have crashed their worker. Several owners may see
	// the same crash, so the numbers tell which crashes are counted already.
	Runs []int64
	// Unconfirmed counts those whose start was not answered. Weak counts those beside which another run
	// had begun later, which is the likelier cause, and Shared the others whose worker crashed
	// together with many.
	Unconfirmed, Weak, Shared int
}

// Loss is a run that may have been present on a worker when it crashed.
type Loss struct {
	Run int64
	// Started is set if the run is known to have begun. Present is how long it is known to have
	// been present before the crash.
	Started bool
	Present time.Duration
	// Evidence is that against the task of the run.
	Evidence *Evidence
}

// Count counts a crash against the runs that may have caused it, and returns their indexes and that
// of the only likely cause, -1 if there is none. shared is set if the worker crashed together with
// many others.
func Count(losses []Loss, shared bool) (suspects []int, cause int) {
	cause = likelyCause(losses, shared)
	fresh := slices.ContainsFunc(losses, func(l Loss) bool { return l.Present < Probation })
	for i, l := range losses {
		if l.Present >= Survival || slices.Contains(l.Evidence.Runs, l.Run) {
			continue
		}
		l.Evidence.Runs = append(l.Evidence.Runs, l.Run)
		if !l.Started {
			l.Evidence.Unconfirmed++
		}
		switch {
		case fresh && l.Present >= Probation:
			l.Evidence.Weak++
		case shared:
			l.Evidence.Shared++
		}
		suspects = append(suspects, i)
	}
	if cause >= 0 && losses[cause].Evidence.confirmed() < minConfirmed {
		cause = -1
	}
	return suspects, cause
}

// likelyCause returns the index of the only run whose task was suspected before, if it had just
// begun and no other run had; -1 if there is none.
func likelyCause(losses []Loss, shared bool) int {
	cause := -1
	for i, l := range losses {
		switch {
		case l.Present >= Survival:
		case l.Evidence.Suspected() && cause >= 0:
			return -1
		case l.Evidence.Suspected():
			cause = i
		case l.Present < Probation:
			return -1
		}
	}
	if cause < 0 || shared || !losses[cause].Started || losses[cause].Present >= losses[cause].Evidence.Probation() || slices.Contains(losses[cause].Evidence.Runs, losses[cause].Run) {
		return -1
	}
	return cause
}

// confirmed returns the number of crashes under runs that are known to have begun.
func (e *Evidence) confirmed() int { return len(e.Runs) - e.Unconfirmed }

// Suspected reports whether the task has to be kept apart. One weak sign does not suffice: otherwise
// all tasks of a lost rack, and all beside a task that crashes its worker, would be suspects.
func (e *Evidence) Suspected() bool { return len(e.Runs)-e.Weak-e.Shared >= 1 || len(e.Runs) >= 2 }

// AwaitsStore reports whether the evidence has to be durable before the task is started again, as
// a further crash may be the last one that is allowed.
func (e *Evidence) AwaitsStore() bool { return len(e.Runs) >= 2 }

// Exhausted reports whether the task must not be started again.
func (e *Evidence) Exhausted() bool {
	return (len(e.Runs)-e.Weak >= maxCrashes && e.confirmed() >= minConfirmed) || len(e.Runs) >= maxUncertain
}

// Probation returns how long the next run of the task is kept apart.
func (e *Evidence) Probation() time.Duration {
	switch len(e.Runs) {
	case 0, 1:
		return Probation
	case 2:
		return longProbation
	}
	return Survival
}

// Clear removes the evidence after a run that has outlived its start: a task that crashes its
// workers does so at each start. It reports whether there was any.
func (e *Evidence) Clear() bool {
	had := len(e.Runs) > 0
	*e = Evidence{}
	return had
}

// Shared reports whether so many workers of a rack crashed at the same time that the cause is not a
// task.
func Shared(crashed, workers int) bool {
	return crashed >= minShared && float64(crashed) >= sharedShare*float64(workers)
}
