package measure

import "fmt"

// PreviousError reports a kept result that does not decode.
type PreviousError struct{ Err error }

func (e *PreviousError) Error() string {
	return fmt.Sprintf("the previous result does not decode: %v", e.Err)
}

// Unwrap returns the cause.
func (e *PreviousError) Unwrap() error { return e.Err }

// CycleError reports that the planner refused a step of the maintenance cycle.
type CycleError struct{ Err error }

func (e *CycleError) Error() string { return fmt.Sprintf("maintenance cycle: %v", e.Err) }
func (e *CycleError) Unwrap() error { return e.Err }
