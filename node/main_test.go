package node

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that each run gives the same verdict. A seed on the
// command line replaces it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "20")
	os.Exit(m.Run())
}
