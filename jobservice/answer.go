package jobservice

import (
	"time"

	"egretdrum.example/progress"
)

// Answer is the answer to a call.
type Answer struct {
	Outcome Outcome
	// State is the state of the job if Outcome is Shown.
	State progress.State
	// Count is the number of jobs that have not started if Outcome is Counted.
	Count int
	// RetryAfter is how long the caller should wait before it retries if Outcome is Refused.
	RetryAfter time.Duration
	// Reason is for logs and the bodies of error responses.
	Reason string
}

// Outcome is the kind of an answer.
type Outcome string

// Outcomes of a call.
const (
	// Accepted means that the job or the cancellation is durable.
	Accepted Outcome = "accepted"
	Shown    Outcome = "shown"
	Counted  Outcome = "counted"
	// Refused means that the call had no effect and never will have.
	Refused Outcome = "refused"
	// Unknown means that the call may have taken effect or may still take effect.
	Unknown Outcome = "unknown"
	// NoQueue means that no queue matches the call.
	NoQueue Outcome = "no-queue"
	// NoJob means that the queue has no such job of this account.
	NoJob Outcome = "no-job"
	// BadKey means that no account has the key of the call.
	BadKey Outcome = "bad-key"
	// Invalid means that the job of the call cannot be read or is invalid.
	Invalid Outcome = "invalid"
)
