package capacity

import "fmt"

// MeasureError reports what could not be measured.
type MeasureError struct {
	What string
	Err  error
}

func (e *MeasureError) Error() string { return fmt.Sprintf("measure %s: %v", e.What, e.Err) }

func (e *MeasureError) Unwrap() error { return e.Err }
