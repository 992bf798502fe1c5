package command

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"egretdrum.example/change"
)

// difference returns the change of an object as a line diff.
func difference(c change.Change) string {
	before, after := objectLines(c.Before), objectLines(c.After)
	var b strings.Builder
	b.WriteString(c.Action + " " + c.Kind + " " + c.Name + "\n")
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(before) > 0 && len(after) > 0 && before[0] == after[0]:
			b.WriteString("  " + before[0] + "\n")
			before, after = before[1:], after[1:]
		case len(before) > 0 && !slices.Contains(after, before[0]):
			b.WriteString("- " + before[0] + "\n")
			before = before[1:]
		case len(after) > 0:
			b.WriteString("+ " + after[0] + "\n")
			after = after[1:]
		default:
			b.WriteString("- " + before[0] + "\n")
			before = before[1:]
		}
	}
	return b.String()
}

// objectLines returns the object as indented JSON, one line per field. Trailing commas are
// removed, so that a field that only becomes the last one does not count as changed.
func objectLines(object json.RawMessage) []string {
	var b bytes.Buffer
	if len(object) == 0 || json.Indent(&b, object, "", "  ") != nil {
		return nil
	}
	out := strings.Split(b.String(), "\n")
	for n := range out {
		out[n] = strings.TrimSuffix(out[n], ",")
	}
	return out
}
