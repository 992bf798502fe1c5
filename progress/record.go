// Package progress is the durable record of how far a job has come. The record is stored under
// the key storekeys.Result; identifiers such as KeepResults and logs call it the result of the job.
package progress

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"egretdrum.example/origin"
)

// State is the state of a job as callers see it.
type State string

// The states of a job. It is Pending until a worker has confirmed that one of its tasks has begun.
const (
	Pending   State = "pending"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Succeeded || s == Failed || s == Cancelled }

// Record holds the results that a new owner needs. It does not tell which tasks are running:
// the workers list them.
type Record struct {
	State State `cbor:"1,keyasint"`
	// Queue and Account are the queue and the client account of the job.
	Queue   string `cbor:"5,keyasint"`
	Account string `cbor:"6,keyasint,omitempty"`
	// Steps has an entry for each step of an occurrence in which a task has ended.
	Steps []StepProgress `cbor:"2,keyasint,omitempty"`
	// Ended is the Unix time in milliseconds at which a final state was reached.
	Ended int64 `cbor:"3,keyasint,omitempty"`
	// Finished lists the occurrences that are done as a whole; they have no entry in Steps.
	Finished []int `cbor:"4,keyasint,omitempty"`
	// Origin identifies the queue and the account under other names, as in the job.
	Origin *origin.Origin `cbor:"7,keyasint,omitempty"`
}

// StepProgress is the progress of one step of one occurrence.
type StepProgress struct {
	Occurrence int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
	// Done has a bit for each task that is done.
	Done []byte `cbor:"3,keyasint,omitempty"`
	// Failures has an entry for each task with failed attempts.
	Failures []Failure `cbor:"4,keyasint,omitempty"`
	// Crashes has an entry for each task under which workers have crashed.
	Crashes []Crashes `cbor:"5,keyasint,omitempty"`
}

// Crashes lists the runs of a task that may have crashed their workers.
type Crashes struct {
	Index int     `cbor:"1,keyasint"`
	Runs  []int64 `cbor:"2,keyasint"`
	// Unconfirmed counts the runs that are not known to have begun, Weak those beside which another
	// run had begun later, and Shared the others whose worker crashed together with many.
	Unconfirmed int `cbor:"3,keyasint,omitempty"`
	Weak        int `cbor:"4,keyasint,omitempty"`
	Shared      int `cbor:"5,keyasint,omitempty"`
}

// Failure lists the failed runs of a task. Workers list an end until it is acknowledged, and a new
// owner sees the ends of several workers in any order, so the run numbers tell which ends are
// counted already.
type Failure struct {
	Index int     `cbor:"1,keyasint"`
	Runs  []int64 `cbor:"2,keyasint"`
}

// SetDone marks a task as done.
func (p *StepProgress) SetDone(index int) {
	for len(p.Done) <= index/8 {
		p.Done = append(p.Done, 0)
	}
	p.Done[index/8] |= 1 << (index % 8)
}

// IsDone reports whether a task is marked as done.
func (p *StepProgress) IsDone(index int) bool {
	return index/8 < len(p.Done) && p.Done[index/8]&(1<<(index%8)) != 0
}

// Encode returns the stored form.
func (r *Record) Encode() ([]byte, error) { return cbor.Marshal(r) }

// Decode reads the stored form.
func Decode(b []byte) (*Record, error) {
	r := new(Record)
	if err := cbor.Unmarshal(b, r); err != nil {
		return nil, err
	}
	for i := range r.Steps {
		if err := r.Steps[i].check(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// check returns an error for negative numbers, which no task has.
func (p *StepProgress) check() error {
	if p.Occurrence < 0 || p.Step < 0 {
		return fmt.Errorf("progress of step %d of occurrence %d", p.Step, p.Occurrence)
	}
	for _, f := range p.Failures {
		if f.Index < 0 {
			return fmt.Errorf("failures of task %d of step %d", f.Index, p.Step)
		}
	}
	for _, c := range p.Crashes {
		if c.Index < 0 || c.Unconfirmed < 0 || c.Weak < 0 || c.Shared < 0 {
			return fmt.Errorf("crashes of task %d of step %d", c.Index, p.Step)
		}
	}
	return nil
}
