package settings

import (
	"fmt"
	"slices"
	"strings"
)

// FaultError reports one fault in a settings file: an invalid or missing value, or an unknown
// key or section.
type FaultError struct{ File, Section, Key, Reason, Accepted string }

func (e *FaultError) Error() string {
	place := e.File
	switch {
	case e.Section != "" && e.Key != "":
		place += ": [" + e.Section + "] " + e.Key
	case e.Section != "":
		place += ": [" + e.Section + "]"
	case e.Key != "":
		place += ": " + e.Key
	}
	return fmt.Sprintf("%s: %s; accepted: %s", place, e.Reason, e.Accepted)
}

// FaultsError reports all faults in a settings file.
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

// hasTLSFault reports whether there is a fault in this key of section tls.
func (e *FaultsError) hasTLSFault(key string) bool {
	return slices.ContainsFunc(e.Faults, func(f *FaultError) bool { return f.Section == "tls" && f.Key == key })
}
