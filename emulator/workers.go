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

// poll carries out a poll, and waits for an end without holding the lock.
func (e *Emulator) poll(ctx context.Context, machine, id string, p fleetmodel.Poll, wait time.Duration) (*worker.Listing, error) {
	deadline := time.Now().Add(wait)
	for {
		e.mu.Lock()
		l, err := e.fleet.Poll(time.Now(), machine, id, p)
		news := e.news[machine]
		if news == nil {
			news = make(chan struct{})
			e.news[machine] = news
		}
		e.mu.Unlock()
		left := time.Until(deadline)
		if err != nil || len(l.Ended) > 0 || left <= 0 {
			return l, err
		}
		select {
		case <-news:
		case <-time.After(left):
		case <-ctx.Done():
			return nil, fleetmodel.ErrNoWorker
		}
	}
}
