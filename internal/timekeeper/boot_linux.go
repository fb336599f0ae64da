package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine booted, including suspensions. Linux has
// CLOCK_BOOTTIME since 2.6.39. If it can't be read, suspensions are not detected and the
// monotonic clock is used.
func sinceBoot(now time.Time) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return sinceStart(now)
	}
	return time.Duration(ts.Nano())
}
