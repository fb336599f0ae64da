package timekeeper

import "time"

// processStart is the start of the process, with a monotonic clock reading.
var processStart = time.Now()

func sinceStart(now time.Time) time.Duration { return now.Sub(processStart) }
