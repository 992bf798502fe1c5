package scheduler

import (
	"slices"
	"time"

	"egretdrum.example/worker"
)

// An owner whose lease is not confirmed may have a successor that it does not know of. It is
// restricted to what can't contradict that one: docs/design/store-outage-owner.md says why.

// restrictedMargin covers the difference of the clocks of hosts, calls in flight, and what the drift of a
// worker's clock adds to a lease since the clock was last read.
const restrictedMargin = 500 * time.Millisecond

// PollsAfterLease returns how long an owner may extend the leases of workers after its own lease has
// ended: a successor that begins then still waits for them. It is not positive if it may not.
func (l Limits) PollsAfterLease() time.Duration {
	s := Scheduler{limits: l}
	return s.leaseBound(l.MaxLease) - s.leaseBound(l.Lease) - restrictedMargin
}

// SetRestricted reports whether the lease of the owner is not confirmed, and whether it may start tasks
// nevertheless. Once it is confirmed, no other owner has begun, and what was held back goes on.
func (s *Scheduler) SetRestricted(restricted, starts bool, now time.Time) {
	s.now = now
	before, startsBefore := s.restricted, s.restrictedStarts
	s.restricted, s.restrictedStarts = restricted, starts
	switch {
	case restricted && !before:
		s.barWorkers()
	case !restricted && before:
		for _, w := range s.sortedWorkers {
			if w.barred = false; w.registration.Leaving {
				s.evacuate(w)
			}
		}
		for _, j := range s.jobs {
			j.late = false
		}
		// Leases whose end was not noticed meanwhile are checked, and workers are polled, at once.
		s.lastSweep = time.Time{}
		s.changeAll()
	case starts != startsBefore:
		s.changeAll()
	}
}

// Outranked reports whether the refusal of a call with this fencing token shows that a later owner
// has called the worker: this owner has sent it no higher one.
func (s *Scheduler) Outranked(workerID string, fence int64) bool {
	w := s.workers[workerID]
	return w != nil && fence >= w.fence
}

// barWorkers bars the workers for which a successor may not wait, or only for the leases that were
// granted before. They stay barred while the owner is restricted.
func (s *Scheduler) barWorkers() {
	if !s.restricted {
		return
	}
	listed := make(map[string]bool, len(s.machines))
	for _, m := range s.machines {
		if m.State == worker.Up {
			listed[m.Worker] = true
		}
	}
	for _, w := range s.sortedWorkers {
		if !awaitedBySuccessor(w) || (len(s.machines) > 0 && !listed[w.registration.ID]) {
			s.bar(w)
		}
	}
}

// bar bars a worker if the owner is restricted.
func (s *Scheduler) bar(w *workerState) {
	if s.restricted && !w.barred {
		w.barred = true
		s.dropUnsent(w, termWait)
	}
}

// awaitedBySuccessor reports whether a new owner that knows the machine of a worker waits for it if it
// does not reach it: there is no record of it, and no proof of its end.
func awaitedBySuccessor(w *workerState) bool {
	return w.registered && !w.recordStored && !w.replaced && !w.orderedAway && w.incarnation != 0
}

// barred reports whether the worker is barred at present.
func (s *Scheduler) barred(w *workerState) bool {
	return s.restricted && w.barred && !mutation.useBarred
}

// termWait is the wait reason of tasks that a restricted owner does not start.
const termWait = "the lease of the owner is not confirmed"

// waitsForTerm reports whether a restricted owner does not start the tasks of a step. Those of jobs
// that arrived since may be started by a successor at once. The crashes of a suspected task may not be
// known to it.
func (s *Scheduler) waitsForTerm(st *stepState) bool {
	if !s.restricted {
		return false
	}
	if st.job.late && !mutation.startLate {
		return true
	}
	return slices.ContainsFunc(st.waitingTasks, func(index int) bool { return len(st.tasks[index].evidence.Runs) > 0 })
}
