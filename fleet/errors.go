package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"egretdrum.example/change"
)

// DecodeError reports a document or an object that is not valid JSON or does not have the
// expected fields and types. Position is the line, the column and, if known, the field.
type DecodeError struct {
	Position string
	Err      error
}

func (e *DecodeError) Error() string {
	if e.Position == "" {
		return fmt.Sprintf("configuration document: %v", e.Err)
	}
	return fmt.Sprintf("configuration document: %s: %v", e.Position, e.Err)
}
func (e *DecodeError) Unwrap() error { return e.Err }

var errTrailing = errors.New("unexpected content after the value")

func decodeError(b []byte, err error) error {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return &DecodeError{Position: position(b, syntax.Offset), Err: err}
	case errors.As(err, &mismatch):
		return &DecodeError{Position: position(b, mismatch.Offset) + ", field " + mismatch.Field, Err: err}
	default:
		return &DecodeError{Err: err}
	}
}

func position(b []byte, offset int64) string {
	before := b[:min(offset, int64(len(b)))]
	line := 1 + bytes.Count(before, []byte("\n"))
	return fmt.Sprintf("line %d, column %d", line, len(before)-bytes.LastIndexByte(before, '\n')-1)
}

// ConflictError reports that an object changed since the operator read it. By is the
// last change of the object, nil if it is no longer among the recent ones.
type ConflictError struct {
	Kind, Name, Seen, Current string
	By                        *change.Change
}

func (e *ConflictError) Error() string {
	author := "somebody else"
	if e.By != nil {
		author = fmt.Sprintf("%s in version %d (%s, reason %q)", e.By.Operator, e.By.Version, e.By.Action, e.By.Reason)
	}
	return fmt.Sprintf("%s %s was changed by %s: expected %s, found %s", e.Kind, e.Name, author, orAbsent(e.Seen), orAbsent(e.Current))
}

func (cfg *Config) conflictError(c change.Change, current json.RawMessage) error {
	e := &ConflictError{Kind: c.Kind, Name: c.Name, Seen: string(c.Before), Current: string(current)}
	for n := range cfg.Recent {
		if r := cfg.Recent[n]; r.Kind == c.Kind && r.Name == c.Name {
			e.By = &r
		}
	}
	return e
}

func orAbsent(v string) string {
	if isEmpty(json.RawMessage(v)) {
		return "no such object"
	}
	return v
}

// GapError reports a delta with missing versions.
type GapError struct{ Have, Next uint64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("configuration: version %d cannot follow version %d directly", e.Next, e.Have)
}

// ReferenceError reports a reference to an object that does not exist.
type ReferenceError struct{ Kind, Name, From string }

func (e *ReferenceError) Error() string {
	return fmt.Sprintf("%s refers to %s %q, which does not exist", e.From, e.Kind, e.Name)
}

// AmbiguousError reports an unqualified name that exists on more than one side.
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
