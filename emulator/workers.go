package emulator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/fleetmodel"
	"egretdrum.example/job"
	"egretdrum.example/platform/emulated"
	"egretdrum.example/worker"
	"egretdrum.example/workermodel"
)

// workerListener is the listener of the worker of a machine.
type workerListener struct {
	address netip.AddrPort
	handler *emulated.WorkerHandler
	// server is nil while no worker runs: connections are refused then.
	server *http.Server
}

// addMachine adds a machine to a pool, in the given zone or the next one.
func (e *Emulator) addMachine(pool, zone string) (string, error) {
	handler := &emulated.WorkerHandler{Gate: e.gate}
	server, address, err := e.startServer(0, handler)
	if err != nil {
		return "", err
	}
	id, ok := e.fleet.AddMachine(time.Now(), pool, zone, e.machineCounts[pool], address)
	if !ok {
		return "", errors.Join(fmt.Errorf("no pool %q, or no zone %q in it", pool, zone), server.Close())
	}
	e.machineCounts[pool]++
	e.connect(handler, id)
	e.workers[id] = &workerListener{address, handler, server}
	return id, nil
}

// updateListeners closes the listeners of workers that are gone, with their connections, and
// opens those of workers that have started.
func (e *Emulator) updateListeners() {
	for id, w := range e.workers {
		switch present := e.fleet.HasWorker(id); {
		case !present && w.server != nil:
			if err := w.server.Close(); err != nil {
				e.log.Warn("listener-not-closed", zap.Error(err))
			}
			w.server = nil
		case present && w.server == nil:
			server, _, err := e.startServer(w.address.Port(), w.handler)
			if err != nil {
				// A connection may have taken the port for a while; the next tick tries again.
				e.log.Warn("listener-not-opened", zap.Error(err))
				continue
			}
			w.server = server
		}
	}
}

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
