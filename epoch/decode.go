package epoch

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Decode decodes a stored document and validates it.
func Decode(b []byte) (*Epoch, error) {
	if len(b) > MaxBytes {
		return nil, &BoundError{Field: "document", Size: len(b), Limit: MaxBytes}
	}
	e := &Epoch{}
	if err := json.Unmarshal(b, e); err != nil {
		return nil, &DecodeError{Place: errorPlace(err), Err: err}
	}
	return e, e.validate()
}

// Encode returns the stored form, or an error if it is larger than the store accepts.
func (e *Epoch) Encode() ([]byte, error) {
	b, err := json.Marshal(e)
	if err != nil {
		return nil, &DecodeError{Place: "document", Err: err}
	}
	if len(b) > MaxBytes {
		return nil, &BoundError{Field: "document", Size: len(b), Limit: MaxBytes}
	}
	return b, nil
}

func errorPlace(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fmt.Sprintf("%s at byte %d", wrongType.Field, wrongType.Offset)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("byte %d", syntax.Offset)
	}
	return "document"
}

func (e *Epoch) validate() error {
	if n := len(e.Members) + len(e.Departed); n > MaxMembers {
		return &BoundError{Field: "members and departed", Size: n, Limit: MaxMembers}
	}
	if n := len(e.History); n > HistoryLength {
		return &BoundError{Field: "history", Size: n, Limit: HistoryLength}
	}
	names := make(map[string]bool, len(e.Members))
	known := make(map[ID]bool, len(e.Members)+len(e.Departed))
	for i, m := range e.Members {
		if m.Name == "" || names[m.Name] {
			return newDecodeError(fmt.Sprintf("members[%d].name", i), "%q is empty or not unique", m.Name)
		}
		if !m.Peer.IsValid() {
			return newDecodeError(fmt.Sprintf("members[%d].peer-address", i), "missing")
		}
		names[m.Name], known[m.ID()] = true, true
	}
	for _, id := range e.Departed {
		known[id] = true
	}
	return e.validateReferences(known)
}

func (e *Epoch) validateReferences(known map[ID]bool) error {
	for team, byMember := range e.Minted {
		for id := range byMember {
			if !known[id] {
				return newDecodeError(fmt.Sprintf("minted[%q]", team), "%q is not a member", id)
			}
		}
	}
	for id, d := range e.Delayed {
		if !known[id] || d < 0 {
			return newDecodeError("delayed", "%q is not a member or its delay %s is negative", id, d)
		}
	}
	for i, entry := range e.History {
		if entry.Number > e.Number || i > 0 && entry.Number <= e.History[i-1].Number {
			return newDecodeError(fmt.Sprintf("history[%d].number", i), "%d is out of order", entry.Number)
		}
		if entry.UsableAfter < 0 {
			return newDecodeError(fmt.Sprintf("history[%d].usable-after", i), "%d is negative", entry.UsableAfter)
		}
	}
	return nil
}

func newDecodeError(place, format string, args ...any) error {
	return &DecodeError{Place: place, Err: fmt.Errorf(format, args...)}
}
