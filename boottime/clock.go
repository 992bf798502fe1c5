// Package boottime reads the clock that includes the time during which a host is suspended.
// Leases and other rights that expire are measured on it, because the monotonic clock
// of package time stops during a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, including suspensions.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only if the kernel lacks this clock; every supported kernel has it.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
