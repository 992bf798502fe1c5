package entry

import "fmt"

// StartError reports a component of the entry host that could not start.
type StartError struct {
	Component string
	Err       error
}

func (e *StartError) Error() string {
	return fmt.Sprintf("entry host: start %s: %v", e.Component, e.Err)
}
func (e *StartError) Unwrap() error { return e.Err }

// RequestError reports a malformed part of a caller's request.
type RequestError struct{ Field, Accepted string }

func (e *RequestError) Error() string {
	return fmt.Sprintf("%s is not acceptable; accepted: %s", e.Field, e.Accepted)
}
