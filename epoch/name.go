package epoch

import "strings"

// Name returns the host's name without its incarnation.
func (id ID) Name() string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}
