//go:build !linux

package timekeeper

import "time"

// sinceBoot does not include suspensions, since entry hosts are supported on Linux only.
func sinceBoot(now time.Time) time.Duration { return sinceStart(now) }
