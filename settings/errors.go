package settings

import (
	"fmt"
	"strings"
)

// FaultError reports one unacceptable place in a settings file.
type FaultError struct{ File, Section, Key, Reason, Accepted string }

func (e *FaultError) Error() string {
	place := e.File
	if e.Section != "" {
		place += ": [" + e.Section + "]"
	}
	if e.Key != "" {
		place += " " + e.Key
	}
	return fmt.Sprintf("%s: %s; accepted: %s", place, e.Reason, e.Accepted)
}

// FaultsError reports all faults of a file.
type FaultsError struct{ Faults []*FaultError }

func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for n, f := range e.Faults {
		lines[n] = f.Error()
	}
	return strings.Join(lines, "\n")
}

func (e *FaultsError) add(f *FaultError) {
	if f != nil {
		e.Faults = append(e.Faults, f)
	}
}
