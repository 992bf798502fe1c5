package capacity

import (
	"math"
	"runtime"
	"time"
)

// cpuRuns is the number of runs of which the smallest counts, because other work on the
// machine only ever adds time.
const cpuRuns = 3

// smallest returns the least result of cpuRuns runs.
func smallest(run func() (float64, error)) (float64, error) {
	least := math.Inf(1)
	for range cpuRuns {
		y, err := run()
		if err != nil {
			return 0, err
		}
		least = min(least, y)
	}
	return least, nil
}

// timed returns the microseconds that f takes.
func timed(f func() error) (float64, error) {
	started := time.Now()
	err := f()
	return float64(time.Since(started)) / float64(time.Microsecond), err
}

// heapBytes returns the live heap after a collection.
func heapBytes() float64 {
	// The second collection frees what finalizers and pools of the first one held.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// held returns the heap bytes that the value of build keeps alive.
func held[V any](build func() (V, error)) (float64, error) {
	before := heapBytes()
	v, err := build()
	if err != nil {
		return 0, err
	}
	bytes := heapBytes() - before
	runtime.KeepAlive(v)
	return max(0, bytes), nil
}
