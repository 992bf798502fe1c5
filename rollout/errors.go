package rollout

import "fmt"

// AcceptError reports that a change could not be read or written. After it, the change
// may or may not be in force; repeating it with the same id is safe.
type AcceptError struct {
	ChangeID string
	Err      error
}

func (e *AcceptError) Error() string {
	if e.ChangeID == "" {
		return fmt.Sprintf("configuration: %v", e.Err)
	}
	return fmt.Sprintf("configuration: change %s: %v", e.ChangeID, e.Err)
}

func (e *AcceptError) Unwrap() error { return e.Err }
