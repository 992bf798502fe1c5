package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case. Its lines give the time since the start.
type record struct {
	mu      sync.Mutex
	out     *os.File
	started time.Time
}

// add writes a line to the record and to standard output.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	// A record that cannot be written does not change the result of the case.
	_, _ = r.out.WriteString(line)
}
