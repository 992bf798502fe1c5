package scheduler

import (
	"maps"
	"slices"
	"time"
)

// PoolUse holds, by the name that a queue had when it accepted a job, the pools in which tasks of the job may
// have been started. During a
// recovery, a worker that does not answer delays only the queues that have used its pool. The
// use is stored before a queue uses a pool for the first time, so that it stays correct when the
// configuration changes.
type PoolUse map[string][]string

// has reports whether the queue may have used the pool.
func (u PoolUse) has(queue, pool string) bool { return slices.Contains(u[queue], pool) }

// with returns a copy in which the queue uses the pool as well.
func (u PoolUse) with(queue, pool string) PoolUse {
	if u.has(queue, pool) {
		return u
	}
	next := maps.Clone(u)
	if next == nil {
		next = make(PoolUse)
	}
	next[queue] = append(slices.Clone(u[queue]), pool)
	slices.Sort(next[queue])
	return next
}

// SetPoolUse sets the pool use that the previous owner has stored. Without it, a recovery delays
// all queues.
func (s *Scheduler) SetPoolUse(u PoolUse, now time.Time) {
	s.poolUseKnown = true
	s.PoolUseStored(u, now)
}

// PoolUseStored reports the pool use that is durable.
func (s *Scheduler) PoolUseStored(u PoolUse, now time.Time) {
	s.now = now
	s.poolUse = u
	s.changeAll()
}

// ensurePoolUseStored reports whether it is durable that the queue of the step uses its pool, so
// that tasks of the step may start. If it is not, the use is to be stored.
func (s *Scheduler) ensurePoolUseStored(st *stepState) bool {
	q := s.queueOf(st.job)
	if q == nil || s.poolUse.has(st.job.spec.Queue, q.Pool) || mutation.ignorePoolUse {
		return true
	}
	s.requestPoolUse(st.job.spec.Queue, q.Pool)
	return false
}

// requestPoolUse orders a write which records that a queue uses a pool, together with the uses that
// are being stored.
func (s *Scheduler) requestPoolUse(queue, pool string) {
	if s.poolUse.has(queue, pool) {
		return
	}
	pending := s.poolUse
	for q, pools := range s.pendingPoolUse {
		for _, p := range pools {
			pending = pending.with(q, p)
		}
	}
	if !pending.has(queue, pool) {
		s.pendingPoolUse = pending.with(queue, pool)
		s.actions.PoolUse = s.pendingPoolUse
	}
}

// mayHaveUnknownRuns reports whether the previous owner may have started runs of the queue that are
// not known yet.
func (s *Scheduler) mayHaveUnknownRuns(queue string) bool {
	if s.recovered {
		return false
	}
	if s.unreachedPools == nil || !s.poolUseKnown {
		return true
	}
	for _, pool := range s.poolUse[queue] {
		if s.unreachedPools[pool] {
			return true
		}
	}
	return false
}

// findUnreachedPools sets unreachedPools to the pools with workers on which runs of the previous
// owner may be unknown; nil stands for all pools.
func (s *Scheduler) findUnreachedPools() {
	s.unreachedPools = nil
	if !s.machinesKnown || len(s.workers) == 0 {
		return
	}
	pools := make(map[string]bool)
	for id, r := range s.recoveryWorkers {
		w := s.workers[id]
		switch {
		case w == nil:
			pools[r.pool] = true
		case !w.accounted():
			pools[w.registration.Pool] = true
		}
	}
	s.unreachedPools = pools
}
