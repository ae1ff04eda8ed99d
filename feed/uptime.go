package feed

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the origin of Uptime if the kernel has no CLOCK_BOOTTIME.
var processStart = time.Now()

// Uptime returns the time since boot. Unlike the monotonic clock of time.Now, it
// advances while the machine is suspended, so that data received before a suspension
// is old after it.
func Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
