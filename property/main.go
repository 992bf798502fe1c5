package property

import (
	"os"
	"testing"
)

// Main runs the tests of a package with fixed settings of rapid, for example "seed=1"
// and "checks=300", so that each run gives the same result. Settings on the command line
// come later and take precedence.
func Main(m *testing.M, settings ...string) {
	args := []string{os.Args[0], "-rapid.nofailfile"}
	for _, s := range settings {
		args = append(args, "-rapid."+s)
	}
	os.Args = append(args, os.Args[1:]...)
	os.Exit(m.Run())
}
