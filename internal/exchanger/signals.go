package exchanger

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
)

// maxSignals bounds the updates about signals that one message holds, in some 80 bytes
// each.
const maxSignals = 512

// SignalUpdate is what a process of an endpoint has said of itself in an answer.
type SignalUpdate struct {
	Process driver.Process
	Limit   driver.Limit
	// SentAt and ReceivedAt are when the request of that answer was sent and the
	// answer's head was received. A peer's count from the arrival of its message.
	SentAt, ReceivedAt time.Time
	IsLeaving          bool
}

// Signals is what this host knows of endpoints by their answers, as the Exchanger sends
// and receives it.
type Signals interface {
	// Updates are those behind a position, as with Caches.
	Updates(after uint64, scope Scope) (updates []SignalUpdate, position uint64)
	Merge(updates []SignalUpdate, isOwnZone bool)
}

func oneSignal(*SignalUpdate) int { return 1 }

func signalsToMessage(updates []SignalUpdate, now time.Time) []*exchangerpb.SignalUpdate {
	messages := make([]*exchangerpb.SignalUpdate, 0, len(updates))
	for _, update := range updates {
		messages = append(messages, &exchangerpb.SignalUpdate{
			EndpointId: update.Process.EndpointID, Incarnation: update.Process.Incarnation,
			HasLimit: update.Limit.IsSet, LimitPerSecond: update.Limit.PerSecond,
			SentAgeUs: now.Sub(update.SentAt).Microseconds(), ReceivedAgeUs: now.Sub(update.ReceivedAt).Microseconds(),
			IsLeaving: update.IsLeaving,
		})
	}
	return messages
}

func signalsFromMessage(messages []*exchangerpb.SignalUpdate, now time.Time) []SignalUpdate {
	updates := make([]SignalUpdate, 0, len(messages))
	for _, m := range messages {
		received := now.Add(-ageOfMicroseconds(m.GetReceivedAgeUs()))
		sent := now.Add(-ageOfMicroseconds(m.GetSentAgeUs()))
		if sent.After(received) {
			sent = received
		}
		updates = append(updates, SignalUpdate{
			Process: driver.Process{EndpointID: m.GetEndpointId(), Incarnation: m.GetIncarnation()},
			Limit:   driver.Limit{PerSecond: max(m.GetLimitPerSecond(), 0), IsSet: m.GetHasLimit()},
			SentAt:  sent, ReceivedAt: received, IsLeaving: m.GetIsLeaving(),
		})
	}
	return updates
}

func ageOfMicroseconds(us int64) time.Duration {
	return time.Duration(min(max(us, 0), maxUpdateAge.Microseconds())) * time.Microsecond
}
