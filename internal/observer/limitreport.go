package observer

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

// limitReport is the limit that an answer reported. It was in force at some time between
// the sending of the request and the arrival of the answer's head.
type limitReport struct {
	limit              driver.Limit
	sentAt, receivedAt time.Time
}

// mergeReport replaces the report by another one; false if the known one stays.
//
// Answers may overtake each other, so the last one to arrive need not be the latest. An
// answer is later if its request was sent after the known answer had arrived. If the two
// overlap, the stricter one holds until the next answer.
func (r *limitReport) mergeReport(other limitReport) bool {
	switch {
	case !other.sentAt.Before(r.receivedAt):
	case !r.sentAt.Before(other.receivedAt):
		return false
	case other.limit == r.limit:
		if other.receivedAt.Before(r.receivedAt) {
			return false
		}
	case !isStricter(other.limit, r.limit):
		return false
	}
	*r = other
	return true
}

func isStricter(l, than driver.Limit) bool {
	return l.IsSet && (!than.IsSet || l.PerSecond < than.PerSecond)
}
