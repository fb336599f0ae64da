//go:build !linux

package timekeeper

import "time"

// sinceBoot does not count sleep: only Linux hosts are served.
func sinceBoot(now time.Time) time.Duration { return sinceStart(now) }
