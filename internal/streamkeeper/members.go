package streamkeeper

import (
	"math"
	"time"
)

// members are the other hosts that may begin streams, with the revision of the platform's changes that
// each has applied.
type members map[string]member

type member struct {
	revision int64 // 0: not known
	listedAt time.Time
}

// update sets the hosts that are listed. One that is no longer listed may go on beginning streams,
// cut off from the platform.
func (m members) update(listed map[string]int64, now time.Time) {
	for hostID, revision := range listed {
		m[hostID] = member{revision: revision, listedAt: now}
	}
	for hostID, known := range m {
		if now.Sub(known.listedAt) >= outOfStepLimit {
			delete(m, hostID)
		}
	}
}

// leastRevisions returns the revision that all members have received, and that of those whose revision is known.
func (m members) leastRevisions() (least, leastKnown int64) {
	least, leastKnown = math.MaxInt64, math.MaxInt64
	for _, known := range m {
		least = min(least, known.revision)
		if known.revision != 0 {
			leastKnown = min(leastKnown, known.revision)
		}
	}
	return least, leastKnown
}
