package emulator

import (
	"context"
	"time"

	"egretdrum.example/fleetmodel"
	"egretdrum.example/job"
	"egretdrum.example/platform/emulated"
	"egretdrum.example/worker"
	"egretdrum.example/workermodel"
)

// connect lets the calls to a machine reach its worker.
func (e *Emulator) connect(h *emulated.WorkerHandler, machine string) {
	h.Machine = machine
	h.Start = func(id string, o *fleetmodel.StartOrder) (workermodel.Result, time.Duration, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.fleet.Start(time.Now(), machine, id, o)
	}
	h.Stop = func(id string, t job.Task, run, fence int64) (time.Duration, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.fleet.Stop(time.Now(), machine, id, t, run, fence)
	}
	h.Poll = func(ctx context.Context, id string, p fleetmodel.Poll, wait time.Duration) (*worker.Listing, error) {
		return e.poll(ctx, machine, id, p, wait)
	}
	h.Clock = func() (int64, time.Duration) {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.fleet.Clock(time.Now(), machine)
	}
}

// poll carries out a poll, and waits for an end without holding the lock. The answer comes from
// the incarnation that the poll has reached: a worker that ends meanwhile breaks the connection.
func (e *Emulator) poll(ctx context.Context, machine, id string, p fleetmodel.Poll, wait time.Duration) (*worker.Listing, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	e.mu.Lock()
	l, err := e.fleet.Poll(time.Now(), machine, id, p)
	news := e.awaitNews(machine)
	e.mu.Unlock()
	if err != nil || len(l.Ended) > 0 || wait <= 0 {
		return l, err
	}
	select {
	case <-news:
	case <-timeout.C:
	case <-ctx.Done():
		return nil, fleetmodel.ErrNoWorker
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fleet.List(time.Now(), machine, l.Incarnation)
}

// awaitNews returns the channel that wake closes.
func (e *Emulator) awaitNews(machine string) <-chan struct{} {
	news := e.news[machine]
	if news == nil {
		news = make(chan struct{})
		e.news[machine] = news
	}
	return news
}
