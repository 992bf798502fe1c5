package fleet

import (
	"fmt"
	"strings"
)

// DecodeError reports a document that is not valid JSON of the expected shape.
type DecodeError struct{ Err error }

func (e *DecodeError) Error() string { return fmt.Sprintf("configuration document: %v", e.Err) }
func (e *DecodeError) Unwrap() error { return e.Err }

// ConflictError reports that an object changed since the operator read it.
type ConflictError struct{ Kind, Name, Seen, Current string }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %s was changed by somebody else: expected %s, found %s", e.Kind, e.Name, e.Seen, e.Current)
}

// ReferenceError reports a name that does not exist.
type ReferenceError struct{ Kind, Name, From string }

func (e *ReferenceError) Error() string {
	return fmt.Sprintf("%s refers to %s %q, which does not exist", e.From, e.Kind, e.Name)
}

// AmbiguousError reports a bare name that exists on more than one side.
type AmbiguousError struct {
	Kind, Name string
	Candidates []string
}

func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("%s %q is ambiguous; use one of: %s", e.Kind, e.Name, strings.Join(e.Candidates, ", "))
}

// RangeError reports a number outside its accepted range.
type RangeError struct{ Field, Value, Accepted string }

func (e *RangeError) Error() string {
	return fmt.Sprintf("%s is %s; accepted: %s", e.Field, e.Value, e.Accepted)
}
