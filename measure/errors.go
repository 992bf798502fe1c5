package measure

import "fmt"

// PreviousError reports that the stored previous result could not be decoded.
type PreviousError struct{ Err error }

func (e *PreviousError) Error() string {
	return fmt.Sprintf("the previous result does not decode: %v", e.Err)
}

// Unwrap returns the decoding error.
func (e *PreviousError) Unwrap() error { return e.Err }

// CycleError reports that the wave planner returned an error in the maintenance cycle.
type CycleError struct{ Err error }

func (e *CycleError) Error() string { return fmt.Sprintf("maintenance cycle: %v", e.Err) }
func (e *CycleError) Unwrap() error { return e.Err }
