package timekeeper

import "time"

// started is the process's start, by the steady clock.
var started = time.Now()

func sinceStart(now time.Time) time.Duration { return now.Sub(started) }
