// Package change describes one change of the configuration by an operator. The same record
// is the request, the entry in the audit trail and the unit of rollout to entry hosts.
package change

import (
	"encoding/json"
	"fmt"
	"time"
)

// Kinds of object that a change can set or remove.
const (
	KindContract = "contract"
	KindService  = "service"
	KindPool     = "pool"
	KindWorker   = "worker"
	KindWave     = "wave"
	KindZone     = "zone"
)

const maxReasonLen = 500

// Change sets one object of the configuration to After, or removes it when After is
// empty. Before is the value that the operator saw; the change is refused if the object
// has another value when it is applied. Version is the version that contains the change; in
// a request it is the version that the operator saw.
type Change struct {
	ID       string    `json:"id"`
	Version  uint64    `json:"version"`
	At       time.Time `json:"at"`
	Operator string    `json:"operator"`
	Reason   string    `json:"reason"`
	Action   string    `json:"action"`
	// Forced records that the operator made the change although it breaks an
	// availability budget.
	Forced bool            `json:"forced,omitempty"`
	Kind   string          `json:"kind"`
	Name   string          `json:"name"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// FieldError reports a missing or invalid field of a change.
type FieldError struct{ Field, Accepted string }

func (e *FieldError) Error() string {
	return fmt.Sprintf("change: %s is missing or not acceptable; accepted: %s", e.Field, e.Accepted)
}

// Validate checks the fields that do not depend on the configuration.
func (c Change) Validate() error {
	switch c.Kind {
	case KindContract, KindService, KindPool, KindWorker, KindWave, KindZone:
	default:
		return &FieldError{Field: "kind", Accepted: "contract, service, pool, worker, wave or zone"}
	}
	if c.ID == "" {
		return &FieldError{Field: "id", Accepted: "a unique id"}
	}
	if c.Operator == "" {
		return &FieldError{Field: "operator", Accepted: "the name of the person or script"}
	}
	if c.Name == "" {
		return &FieldError{Field: "name", Accepted: "the name of the object"}
	}
	if len(c.Reason) > maxReasonLen {
		return &FieldError{Field: "reason", Accepted: fmt.Sprintf("at most %d bytes", maxReasonLen)}
	}
	return nil
}
