package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// colocate narrows the workers down to one rack for a step whose tasks are slower when they run in
// several racks. The rack must have free capacity for all waiting tasks: without such a rack the
// step is spread, as it might wait for long until a single rack has enough.
func (s *Scheduler) colocate(st *stepState, workers []*workerState) []*workerState {
	if !st.spec.Colocated {
		return workers
	}
	used := st.racks()
	if len(used) > 1 {
		return workers
	}
	fitting := make(map[string]int)
	for _, w := range workers {
		fitting[w.registration.Rack] += s.tasksFitting(st, w)
	}
	racks := slices.SortedFunc(maps.Keys(fitting), func(a, b string) int {
		return cmp.Or(-boolCompare(a == st.spec.Rack, b == st.spec.Rack), cmp.Compare(fitting[b], fitting[a]), cmp.Compare(a, b))
	})
	for _, rack := range racks {
		if fitting[rack] < len(st.waitingTasks) || (len(used) > 0 && !used[rack]) {
			continue
		}
		return slices.DeleteFunc(slices.Clone(workers), func(w *workerState) bool { return w.registration.Rack != rack })
	}
	return workers
}

// racks returns the racks in which tasks of the step run.
func (st *stepState) racks() map[string]bool {
	racks := make(map[string]bool)
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil {
			racks[r.worker.registration.Rack] = true
		}
	}
	return racks
}

// tasksFitting returns how many waiting tasks of the step fit on a worker.
func (s *Scheduler) tasksFitting(st *stepState, w *workerState) int {
	n := 0
	for n < len(st.waitingTasks) && s.fits(st, w, st.spec.Reserved(), n) {
		n++
	}
	return n
}
