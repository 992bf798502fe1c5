package scheduler

import (
	"errors"
	"sync/atomic"
	"time"

	"egretdrum.example/job"
	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

// Actions holds the calls and writes that the caller has to make. The outcome of each is
// reported by the method that its type names.
type Actions struct {
	Starts    []Start
	Stops     []Stop
	Polls     []Poll
	Saves     []Save
	Orders    []MachineOrder
	LogEvents []LogEvent
	// PoolUse is to be stored unless it is nil; report it by PoolUseStored once it is durable.
	PoolUse PoolUse
	Advice  []AdviceRequest
	Paces   []Pace
	// Unresponsive lists workers that have stopped answering and whose records are to be stored,
	// UnresponsiveEnds those that answer again or are gone and whose records are to be removed;
	// report a removal by UnresponsiveEnded once it is durable.
	Unresponsive     []UnresponsiveWorker
	UnresponsiveEnds []string
	// WaveStates lists waves whose state changed.
	WaveStates []WaveState
}

// Start tells a worker to run a task; report it by StartAnswered.
type Start struct {
	Worker   worker.Entry
	Task     job.Task
	Run      int64
	Spec     string
	LeaseEnd time.Duration // on the clock of the worker
	// Fence is set by Claim.
	Fence      int64
	Checkpoint string
	// Ticket is the permission to run the step on the worker, if its queue needs one.
	Ticket string
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
	// newest is the newest fencing token of the worker, claim holds that of this start.
	newest *atomic.Int64
	claim  *claim
}

// Claim gives the start the newest fencing token of its worker, and reports whether the run is
// still wanted. It is called once, right before the start is sent, from any goroutine.
func (a *Start) Claim() bool {
	a.Fence = a.newest.Load()
	return a.claim.markSent(a.Fence)
}

// Stop tells a worker to end a run; report it by StopAnswered.
type Stop struct {
	Worker worker.Entry
	Task   job.Task
	Run    int64
	// Fence is set by Claim.
	Fence  int64
	Reason string
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
	// newest is the newest fencing token of the worker, claim holds that of this stop.
	newest *atomic.Int64
	claim  *claim
}

// Claim gives the stop the newest fencing token of its worker, and reports whether it is still
// needed. It is called once, right before the stop is sent, from any goroutine.
func (a *Stop) Claim() bool {
	a.Fence = a.newest.Load()
	return a.claim.markSent(a.Fence)
}

// Poll asks a worker for the list of its runs and ends, and renews its lease; report it by
// PollAnswered.
type Poll struct {
	// Timeout is how long to wait for the answer, besides Wait.
	Timeout time.Duration
	Worker  worker.Entry
	Fence   int64
	// AckedEnd is the number of the last end that the worker may forget.
	AckedEnd int64
	// Deadline is the end of the lease on the worker's clock; zero leaves it unchanged.
	Deadline time.Duration
	// Wait is how long the worker may wait for the end of a task before it answers.
	Wait     time.Duration
	sequence int64
}

// ErrFenced means that a worker did nothing because it has seen a higher fencing token.
var ErrFenced = errors.New("the worker has seen a higher fencing token")

// Save stores the progress of a job; report it by Saved.
type Save struct {
	Job     string
	Version int
	Record  []byte
	// Final is set for the record of a job that has ended; callers wait for it.
	Final bool
}

// MachineOrder moves a machine to another pool or starts its maintenance; report it by MachineOrderAnswered.
type MachineOrder struct {
	Machine string
	Pool    string
	// Wave is the maintenance wave; zero for a move.
	Wave int64
	// Fence is higher than that of each earlier order for the machine.
	Fence int64
}

// OrderResult is the platform's answer to an order for a machine.
type OrderResult int

// The answers to an order.
const (
	// OrderAccepted means that the order is carried out or was before.
	OrderAccepted OrderResult = iota
	// OrderRefused means that nothing was done; the order may be repeated.
	OrderRefused
	// OrderImpossible means that the order can never be carried out.
	OrderImpossible
	// OrderUnanswered means that the order may be carried out now or later.
	OrderUnanswered
)

// UnresponsiveWorker is the record of a worker that does not answer, with the runs that may be on
// it. With this record, a new owner need not wait until the lease of the worker has ended before
// it starts other tasks.
type UnresponsiveWorker struct {
	Worker string `cbor:"1,keyasint"`
	// Incarnation is that of the worker, zero if it was never seen.
	Incarnation int64            `cbor:"2,keyasint,omitempty"`
	Runs        []UnconfirmedRun `cbor:"3,keyasint,omitempty"`
	// Survived has the tasks of Runs that have outlived their start.
	Survived []job.Task `cbor:"4,keyasint,omitempty"`
	// Lost has the runs whose lease has ended. If the worker turns out to have crashed, they count.
	Lost []UnconfirmedRun `cbor:"5,keyasint,omitempty"`
	// Begun has the tasks of Runs and Lost whose run is known to have begun.
	Begun []job.Task `cbor:"6,keyasint,omitempty"`
	// UsualLease has the tasks of Runs whose lease is no longer than the usual one. That of the others
	// may have been granted on the clock of an earlier incarnation, and be the longest one.
	UsualLease []job.Task `cbor:"7,keyasint,omitempty"`
}

// UnconfirmedRun is a run that may be present on an unresponsive worker.
type UnconfirmedRun struct {
	Task job.Task `cbor:"1,keyasint"`
	Run  int64    `cbor:"2,keyasint"`
}

// WaveState is the progress of a maintenance wave; report it by WaveStored once it is durable.
type WaveState struct {
	Wave     int64
	Finished bool
	// Done lists the machines whose maintenance order was accepted, Begun those for which an
	// order may be sent from now on.
	Done, Begun []string
}

// LogEvent is a decision that is to be logged.
type LogEvent struct {
	Event         string
	Job           string
	Task          job.Task
	Worker        string
	Run           int64
	Reason        string
	AffectedCount int // runs, or workers, that the event affects
	AfterDeadline bool
	// Waited is how long tasks have waited, WaitReason what they waited for.
	Waited     time.Duration
	WaitReason string
	// Took is the time that the last occurrence of a job needed, Objective the time in which it
	// was to be done.
	Took, Objective time.Duration
	// Capacity is set for a worker whose capacity has changed.
	Capacity *CapacityChange
}

// CapacityChange is a change of the capacity of a worker while its runs use some of it.
type CapacityChange struct{ From, To, Used resource.Amount }

// TakeActions returns the actions since the last call.
func (s *Scheduler) TakeActions() Actions {
	a := s.actions
	s.actions = Actions{}
	s.collectSaves(&a)
	return a
}

// StartAnswer is a worker's answer to a start.
type StartAnswer struct {
	Result StartResult
	// Reason is for logs.
	Reason string
	// Clock is the worker's clock at the time of the answer, zero if the answer had none.
	Clock time.Duration
}

// StartResult is what a worker did about a start.
type StartResult int

// The answers to a start.
const (
	// StartAccepted means that the run is present.
	StartAccepted StartResult = iota
	// StartRejected means that the worker did nothing.
	StartRejected
	// StartFenced means that the worker did nothing because it has seen a higher fencing token.
	StartFenced
	// StartUnavailable means that the start did not reach the worker, or that the worker refused it for
	// now.
	StartUnavailable
	// StartWithoutTicket means that the worker did nothing because the ticket has expired.
	StartWithoutTicket
	// StartOtherIncarnation means that a worker with another ID answered at the address.
	StartOtherIncarnation
	// StartNotSent means that the start was withdrawn before it was sent.
	StartNotSent
	// StartUnanswered means that there was no answer: the run may be present now or later.
	StartUnanswered
)

// StopAnswer is a worker's answer to a stop.
type StopAnswer struct {
	Result StopResult
	// Reason is for logs.
	Reason string
}

// StopResult is what a worker did about a stop.
type StopResult int

// The answers to a stop.
const (
	// StopAccepted means that the run ends, or that it is not there and never will be.
	StopAccepted StopResult = iota
	// StopNotSent means that the stop was not sent, or did not reach the worker.
	StopNotSent
	// StopRejected means that the worker did nothing.
	StopRejected
	// StopFenced means that the worker did nothing because it has seen a higher fencing token.
	StopFenced
	// StopOtherIncarnation means that a worker with another ID answered at the address.
	StopOtherIncarnation
	// StopUnanswered means that there was no answer: the stop may be carried out now or later.
	StopUnanswered
)
