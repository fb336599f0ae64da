package observer

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

// reading is a limit as an answer stated it. The endpoint said so at some moment between
// the request's send and the answer's head.
type reading struct {
	limit              driver.Limit
	sentAt, receivedAt time.Time
}

// take takes in another reading; false where the known one holds on.
//
// Answers overtake each other, so that the last to come need not be the latest. One
// whose request was sent behind the known answer is later. Of two whose times overlap
// the stricter one holds until the next answer.
func (r *reading) take(said reading) bool {
	switch {
	case !said.sentAt.Before(r.receivedAt):
	case !r.sentAt.Before(said.receivedAt):
		return false
	case said.limit == r.limit:
		if said.receivedAt.Before(r.receivedAt) {
			return false
		}
	case !isStricter(said.limit, r.limit):
		return false
	}
	*r = said
	return true
}

func isStricter(l, than driver.Limit) bool {
	return l.IsSet && (!than.IsSet || l.PerSecond < than.PerSecond)
}
