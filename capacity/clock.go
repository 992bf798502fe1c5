package capacity

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// cpuRuns is the number of runs of which the smallest counts, because other work on the
// machine only ever adds time. All sizes are run once before one is run again, so that a
// busy period does not fall on one size.
const cpuRuns = 3

// threadTime is the processor time of the calling thread. Other work on the machine adds
// to the elapsed time of a step, but hardly to this. The collector's own threads are not
// in it.
func threadTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// timed returns the microseconds of processor time that f takes.
func timed(f func() error) (float64, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	started := threadTime()
	err := f()
	return float64(threadTime()-started) / float64(time.Microsecond), err
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
