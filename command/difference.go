package command

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"egretdrum.example/change"
)

// difference returns the lines of the object that a change removes and adds.
func difference(c change.Change) string {
	old, changed := objectLines(c.Before), objectLines(c.After)
	var b strings.Builder
	b.WriteString(c.Action + " " + c.Kind + " " + c.Name + "\n")
	for len(old) > 0 || len(changed) > 0 {
		switch {
		case len(old) > 0 && len(changed) > 0 && old[0] == changed[0]:
			b.WriteString("  " + old[0] + "\n")
			old, changed = old[1:], changed[1:]
		case len(old) > 0 && !slices.Contains(changed, old[0]):
			b.WriteString("- " + old[0] + "\n")
			old = old[1:]
		case len(changed) > 0:
			b.WriteString("+ " + changed[0] + "\n")
			changed = changed[1:]
		default:
			b.WriteString("- " + old[0] + "\n")
			old = old[1:]
		}
	}
	return b.String()
}

// objectLines returns one line per field. The commas at the ends of lines are left out,
// because a field that becomes the last one has not changed.
func objectLines(m json.RawMessage) []string {
	var b bytes.Buffer
	if len(m) == 0 || json.Indent(&b, m, "", "  ") != nil {
		return nil
	}
	out := strings.Split(b.String(), "\n")
	for n := range out {
		out[n] = strings.TrimSuffix(out[n], ",")
	}
	return out
}
