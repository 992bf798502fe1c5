package membership

import "fmt"

// JoinError reports that the host did not join before it was stopped.
type JoinError struct{ Err error }

func (e *JoinError) Error() string { return fmt.Sprintf("join the epoch: %v", e.Err) }
func (e *JoinError) Unwrap() error { return e.Err }

// RemovedError reports that the other hosts removed this one as lost. The process has
// to restart as a new incarnation.
type RemovedError struct{ Member string }

func (e *RemovedError) Error() string { return fmt.Sprintf("member %s was removed", e.Member) }

// StepError reports a membership step that failed. The step is retried.
type StepError struct {
	Step string
	Err  error
}

func (e *StepError) Error() string { return fmt.Sprintf("membership: %s: %v", e.Step, e.Err) }
func (e *StepError) Unwrap() error { return e.Err }

// StaleError reports that the epoch at the store differs from the adopted one.
type StaleError struct{ Adopted, Found uint64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("epoch %d was adopted; the store has %d", e.Adopted, e.Found)
}
