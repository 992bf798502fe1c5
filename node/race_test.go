//go:build race

package node

// The nodes of one run share a goroutine, so the race detector has little to find here and
// makes the runs five times slower.
func init() { checks = "2" }
