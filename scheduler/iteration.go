package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"egretdrum.example/job"
)

// Go iterates over maps in random order. Wherever that order could reach an action or the order
// of waiting tasks, the scheduler iterates over sorted keys instead, so that equal events at
// equal times have equal results.

// sorted returns the values of a map in the order of its keys.
func sorted[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[key])
	}
	return values
}

// sortedRuns returns the runs of a worker in the order of their tasks.
func (w *workerState) sortedRuns() []*run {
	if len(w.runs) == 0 {
		return nil
	}
	runs := make([]*run, 0, len(w.runs))
	for _, task := range slices.SortedFunc(maps.Keys(w.runs), job.Compare) {
		runs = append(runs, w.runs[task])
	}
	return runs
}
