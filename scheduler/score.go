package scheduler

import (
	"slices"

	"egretdrum.example/resource"
)

// choose picks the worker for a task, nil if none has free capacity.
func (s *Scheduler) choose(st *stepState, index int, workers []*workerState) *workerState {
	return s.chooseWith(st, index, workers, nil)
}

// chooseWith picks the worker for a task; extra counts the tasks that are already planned on each
// worker.
func (s *Scheduler) chooseWith(st *stepState, index int, workers []*workerState, extra map[*workerState]int) *workerState {
	var best *workerState
	var bestScore float64
	need := st.spec.Reserved()
	name := st.name(index)
	for _, w := range workers {
		// A worker holds at most one run of a task; an earlier copy may still run there.
		if w.runs[name] != nil || !s.fits(st, w, need, extra[w]) {
			continue
		}
		score := s.score(st, index, w, extra[w])
		if st.suspected(index) {
			score = s.isolationScore(w)
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

func (s *Scheduler) fits(st *stepState, w *workerState, need resource.Amount, extra int) bool {
	used := w.used
	if len(w.reservations) > 0 {
		used = used.Add(w.reservedForOthers(st))
	}
	if !used.Add(need.Times(extra+1)).Within(w.registration.Capacity) && !mutation.ignoreCapacity {
		return false
	}
	if !w.withinShare(w.used.Add(need.Times(extra+1)), len(w.runs)+extra+1) {
		return false
	}
	if w.hasSuspect() || w.onTrial() && len(w.runs)+extra > 0 {
		return false
	}
	if !w.registration.Labels.Has(st.spec.Label) || st.refusedBy(w) {
		return false
	}
	return st.spec.MaxPerWorker == 0 || s.siblings(st, w)+extra < st.spec.MaxPerWorker
}

// siblings counts the runs of a step on a worker, including detached and stopping ones.
func (s *Scheduler) siblings(st *stepState, w *workerState) int {
	n := 0
	for _, r := range w.runs {
		if r.step.job == st.job && r.step.number == st.number && r.step.occurrence.number == st.occurrence.number {
			n++
		}
	}
	return n
}

const (
	// The preferences are ordered: the rack with the data first, then a worker that the task was
	// not tried on, then one that is not slow or failing, then the load, which counts up to 1.
	preferRack    = 1000
	avoidTried    = 500
	avoidSlow     = 300
	avoidFailing  = 300
	preferPacking = 100
	avoidServing  = 200
	// avoidDue outweighs everything: a task on a machine that is due for maintenance soon moves
	// again.
	avoidDue = 5000
	// packedTasks bounds the number of long-running tasks that raise the score of a worker for
	// more of them.
	packedTasks = 6
)

// score rates a worker for a task; higher is better. Tasks are packed on few workers, so that
// the others are idle and can be lent or drained at any time. Long-running tasks are packed
// together first, as they stay.
func (s *Scheduler) score(st *stepState, index int, w *workerState, extra int) float64 {
	score := float64(w.used.CPU+extra*st.spec.Need.CPU) / float64(max(1, w.registration.Capacity.CPU))
	if st.spec.Rack != "" && w.registration.Labels.Has(st.spec.Rack) {
		score += preferRack
	}
	if slices.Contains(st.tasks[index].triedWorkers, w.registration.ID) {
		score -= avoidTried
	}
	if s.recentlySlow(w) {
		score -= avoidSlow
	}
	if w.withheld > 0 {
		score -= avoidFailing
	}
	if st.spec.LongRunning {
		score += preferPacking * float64(min(w.longRunning, packedTasks))
		if s.dueForMaintenance(w) {
			score -= avoidDue
		}
	}
	if (st.spec.LatencyTarget > 0 && w.background > 0) || (st.spec.Background && w.serving > 0) {
		score -= avoidServing
	}
	return score
}
