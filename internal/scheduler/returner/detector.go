package returner

import "time"

const (
	// returnShare is the share of the usual time limit below which a request counts as a
	// return. Network delays take less than a twentieth; a refused caller waits for 100 ms
	// at least, and longer where time limits are seconds.
	returnShare = 0.95
	// limitWindow is the period over which the longest time limit of a class is taken. A
	// changed limit is followed after two periods at most.
	limitWindow = 10 * time.Second
	// maxClasses bounds the classes that a Detector keeps.
	maxClasses = 1024
)

// Detector recognizes requests of callers that return after a refusal. They bear new ids
// and may come to any host, but have less time left than callers of their class have at
// first. The zero value is ready for use. It is not safe for concurrent use.
type Detector struct {
	limits map[string]timeLimit
}

// timeLimit is the longest time that callers of a class had left.
type timeLimit struct {
	previous, current time.Duration // in the last period, and in the one that began at since
	since             time.Time
}

// IsReturn reports whether a request is a return, and records its time limit. Without a
// time limit it is not.
func (d *Detector) IsReturn(class string, timeLeft time.Duration, now time.Time) bool {
	if timeLeft <= 0 {
		return false
	}
	limit, ok := d.limits[class]
	switch elapsed := now.Sub(limit.since); {
	case !ok || elapsed >= 2*limitWindow || elapsed < 0:
		limit = timeLimit{since: now}
	case elapsed >= limitWindow:
		limit = timeLimit{previous: limit.current, since: now}
	}
	limit.current = max(limit.current, timeLeft)
	d.put(class, limit, now)
	return float64(timeLeft) < returnShare*float64(max(limit.current, limit.previous))
}

func (d *Detector) put(class string, limit timeLimit, now time.Time) {
	if d.limits == nil {
		d.limits = map[string]timeLimit{}
	}
	if _, ok := d.limits[class]; !ok && len(d.limits) >= maxClasses {
		for name, other := range d.limits {
			if now.Sub(other.since) >= 2*limitWindow {
				delete(d.limits, name)
			}
		}
		if len(d.limits) >= maxClasses {
			return
		}
	}
	d.limits[class] = limit
}
