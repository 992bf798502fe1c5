package node

import (
	"testing"

	"egretdrum.example/property"
)

// checks is the number of random runs of each property.
var checks = "20"

// TestMain fixes the seed. The order of maps still differs, so a failure may need some runs
// of its seed. Flags on the command line replace these.
func TestMain(m *testing.M) { property.Main(m, "seed=1", "checks="+checks) }
