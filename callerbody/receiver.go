// Package callerbody receives the bodies of submissions and decodes them, within the memory that
// the host has for them.
package callerbody

import (
	"errors"
	"net/http"

	"egretdrum.example/callermemory"
	"egretdrum.example/job"
	"egretdrum.example/jobservice"
	"egretdrum.example/jsonlimit"
	"egretdrum.example/meter"
)

// Receiver receives the submissions of one host.
type Receiver struct {
	// Memory is the budget of the host; nil stands for one without limits.
	Memory *callermemory.Budget
	// Meter, if set, counts the bodies that are refused.
	Meter *meter.Meter
}

// Receive reads and decodes the body of a submission. If it returns no job, the answer says why.
// Release has to be called when the submission is decided.
func (c *Receiver) Receive(w http.ResponseWriter, r *http.Request, call *jobservice.Call, maxBytes int64, decode func(content []byte) (*job.Job, error)) (j *job.Job, release func(), a jobservice.Answer) {
	memory := c.Memory
	if memory == nil {
		memory = &callermemory.Budget{}
	}
	timeout := call.Timeout
	if timeout <= 0 {
		timeout = jobservice.DefaultTimeout
	}
	check := &jsonlimit.Checker{}
	body, err := memory.Receive(w, r, callermemory.Terms{MaxBytes: maxBytes, Timeout: timeout, Check: check})
	if err != nil {
		return nil, func() {}, c.answer(err)
	}
	decoded := false
	defer func() {
		if !decoded {
			body.Release()
		}
	}()
	err = body.Decode(check.Memory(), func(content []byte) (err error) {
		j, err = decode(content)
		return err
	})
	if err != nil {
		return nil, func() {}, c.answer(err)
	}
	decoded = true
	return j, body.Release, jobservice.Answer{}
}

// answer returns the answer to a submission whose body was not received or not decoded.
func (c *Receiver) answer(err error) jobservice.Answer {
	refused, ok := errors.AsType[*callermemory.RefusedError](err)
	if !ok {
		return jobservice.Answer{Outcome: jobservice.Invalid, Reason: err.Error()}
	}
	if c.Meter != nil {
		c.Meter.Count("refused_bodies", "cause", refused.Cause)
	}
	return jobservice.Answer{Outcome: jobservice.Refused, RetryAfter: refused.RetryAfter, Reason: refused.Error()}
}
