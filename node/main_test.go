package node

import (
	"flag"
	"os"
	"testing"
)

// checks is the number of random runs of each property.
var checks = "20"

// TestMain fixes the seed. The order of maps still differs, so a failure may need some runs
// of its seed. Flags on the command line replace these.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", checks)
	os.Exit(m.Run())
}
