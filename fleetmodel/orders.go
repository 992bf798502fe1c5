package fleetmodel

import (
	"errors"
	"time"

	"egretdrum.example/job"
	"egretdrum.example/worker"
	"egretdrum.example/workermodel"
)

var (
	// ErrNoWorker means that no worker runs on the machine.
	ErrNoWorker = errors.New("no worker runs on the machine")
	// ErrOtherWorker means that the machine carries another worker.
	ErrOtherWorker = errors.New("another worker runs on the machine")
	// ErrFenced means that the worker has seen a higher fencing token.
	ErrFenced = errors.New("the worker has seen a higher fencing token")
)

// model returns the worker of a machine, which has to have the given ID unless that is empty.
func (f *Fleet) model(machineID, workerID string) (*machine, error) {
	m := f.byID[machineID]
	if m == nil || m.model == nil {
		return nil, ErrNoWorker
	}
	if workerID != "" && workerID != m.workerID {
		return nil, ErrOtherWorker
	}
	return m, nil
}

// StartOrder is an order to start a run.
type StartOrder struct {
	workermodel.Order
	Payload string
	// Late is set if the order is carried out after its sender has given up.
	Late bool
}

// Start carries out an order to start a run, and returns the reading of the worker's clock.
func (f *Fleet) Start(now time.Time, machineID, workerID string, o *StartOrder) (workermodel.Result, time.Duration, error) {
	m, err := f.model(machineID, workerID)
	if err != nil {
		return "", 0, err
	}
	b := f.behavior(m, o.Task, o.Run)
	result := m.model.Start(now, &o.Order, &b)
	switch result {
	case workermodel.Started:
		if j := f.jobs[o.Task.Job]; j != nil && j.Payload != o.Payload {
			f.recorder.WrongOrder(now, m.workerID, o.Task, "the payload is not that of the job")
		}
		f.recorder.Start(now, promisesStart(m.workerID, o))
		f.started[o.Task]++
		f.starts = append(f.starts, Start{now, m.workerID, m.model.Incarnation(), o.Task, o.Run, o.Checkpoint, o.Late})
		if b.Gang {
			f.joinGang(now, m, o.Task, o.Run)
		}
	case workermodel.BadCheckpoint:
		f.recorder.WrongOrder(now, m.workerID, o.Task, "the checkpoint is not one of the task")
	}
	return result, m.model.Clock(now), nil
}

// Stop carries out an order to stop a run, and returns the reading of the worker's clock.
func (f *Fleet) Stop(now time.Time, machineID, workerID string, t job.Task, run, fence int64) (time.Duration, error) {
	m, err := f.model(machineID, workerID)
	if err != nil {
		return 0, err
	}
	if !m.model.Stop(now, t, run, fence) {
		return m.model.Clock(now), ErrFenced
	}
	return m.model.Clock(now), nil
}

// Poll is a request for the listing of a worker.
type Poll struct {
	Fence, Acknowledged int64
	// LeaseEnd is on the worker's clock; zero leaves the lease unchanged.
	LeaseEnd time.Duration
}

// Poll carries out a poll. With ErrFenced, the listing has only the incarnation and the clock.
func (f *Fleet) Poll(now time.Time, machineID, workerID string, p Poll) (*worker.Listing, error) {
	m, err := f.model(machineID, workerID)
	if err != nil {
		return nil, err
	}
	l := m.model.Poll(now, p.Fence, p.Acknowledged, p.LeaseEnd)
	if l == nil {
		return &worker.Listing{Incarnation: m.model.Incarnation(), Clock: m.model.Clock(now)}, ErrFenced
	}
	f.recorder.Acknowledge(now, m.workerID, p.Acknowledged)
	return l, nil
}

// HasWorker reports whether a worker runs on a machine.
func (f *Fleet) HasWorker(machineID string) bool {
	m := f.byID[machineID]
	return m != nil && m.model != nil
}

// List returns what runs and has ended on a worker, for the answer to a poll that has waited. The
// incarnation is the one that the poll has reached.
func (f *Fleet) List(now time.Time, machineID string, incarnation int64) (*worker.Listing, error) {
	m := f.byID[machineID]
	if m == nil || m.model == nil || m.model.Incarnation() != incarnation {
		return nil, ErrNoWorker
	}
	return m.model.List(now), nil
}

// Clock returns the incarnation of the worker of a machine and the reading of its clock, zero
// without a worker.
func (f *Fleet) Clock(now time.Time, machineID string) (int64, time.Duration) {
	m := f.byID[machineID]
	if m == nil || m.model == nil {
		return 0, 0
	}
	return m.model.Incarnation(), m.model.Clock(now)
}
