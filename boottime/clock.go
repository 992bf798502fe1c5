// Package boottime reads the clock that goes on while a host is suspended. Rights that
// expire are measured on it, because the clock of package time stands still meanwhile.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was started, including suspensions.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for an unknown clock, which every supported kernel has.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
