package feed

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the origin where the kernel has no clock of the time since its boot.
var processStart = time.Now()

// Uptime is a steady clock that goes on while the machine is suspended, unlike the
// one behind time.Now: what was heard before a suspension is old after it.
func Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
