package rollout

import (
	"errors"
	"fmt"
)

// ConfigError reports that the configuration could not be read or a change could not be
// written. The change may or may not be in force; repeating it with the same id is safe.
type ConfigError struct {
	ChangeID string
	Err      error
}

func (e *ConfigError) Error() string {
	if e.ChangeID == "" {
		return fmt.Sprintf("configuration: %v", e.Err)
	}
	return fmt.Sprintf("configuration: change %s: %v", e.ChangeID, e.Err)
}

func (e *ConfigError) Unwrap() error { return e.Err }

var errNoClearAnswer = errors.New("the store gave no clear answer; repeat the command with the same change id")

// ValueError reports a store value that does not decode or that contradicts the document.
// Err gives the position or the reason.
type ValueError struct {
	Key string
	Err error
}

func (e *ValueError) Error() string { return fmt.Sprintf("store key %s: %v", e.Key, e.Err) }
func (e *ValueError) Unwrap() error { return e.Err }

// StaleReadError reports a store that keeps returning an older version than the one this
// entry host has. Either its reads are stale or the document was replaced by an older one.
type StaleReadError struct{ Stored, Known uint64 }

func (e *StaleReadError) Error() string {
	return fmt.Sprintf("store key %s has version %d, older than version %d of this entry host", configKey, e.Stored, e.Known)
}
