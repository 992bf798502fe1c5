package dispatch

import (
	"context"
	"sync"
)

// lanes bounds the calls of one kind that are in flight to each worker, as all calls of all hosts to a
// worker share a limited number of connections. Further calls wait in the order in which they came.
type lanes struct {
	// ctx ends with the term: calls that still wait then are not made.
	ctx context.Context
	// perWorker bounds the calls in flight to one worker. maxCalls bounds those to all workers, but for
	// one that each may have.
	perWorker, maxCalls int
	// run runs f in a goroutine.
	run func(f func())

	mu       sync.Mutex
	calls    int
	byWorker map[string]*lane
}

// lane has the calls to one worker.
type lane struct {
	calls   int
	waiting []func()
}

// add makes a call to a worker as soon as fewer than perWorker calls are in flight to it.
func (l *lanes) add(worker string, call func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.byWorker[worker]
	if w == nil {
		if l.byWorker == nil {
			l.byWorker = make(map[string]*lane)
		}
		w = &lane{}
		l.byWorker[worker] = w
	}
	w.waiting = append(w.waiting, call)
	l.grow(worker, w)
}

// grow makes calls to a worker at the same time as those in flight, if it may have more of them and
// calls wait. The caller holds mu.
func (l *lanes) grow(worker string, w *lane) {
	if len(w.waiting) > 0 && (w.calls == 0 || (w.calls < l.perWorker && l.calls < l.maxCalls)) {
		l.calls++
		w.calls++
		l.run(func() { l.makeCalls(worker, w) })
	}
}

// makeCalls makes the waiting calls to a worker one after the other.
func (l *lanes) makeCalls(worker string, w *lane) {
	for call := l.next(worker, w); call != nil && l.ctx.Err() == nil; call = l.next(worker, w) {
		call()
	}
}

// next removes and returns the call that has waited longest, nil if there is none.
func (l *lanes) next(worker string, w *lane) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(w.waiting) == 0 {
		l.calls--
		if w.calls--; w.calls == 0 {
			delete(l.byWorker, worker)
		}
		return nil
	}
	call := w.waiting[0]
	w.waiting = w.waiting[1:]
	l.grow(worker, w)
	return call
}
