package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot is the time since the host's start, sleep included. Linux has had the
// clock since 2.6.39; where it can't be read, sleep can't be told, and the steady
// clock serves.
func sinceBoot(now time.Time) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return sinceStart(now)
	}
	return time.Duration(ts.Nano())
}
