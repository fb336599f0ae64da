package exchanger

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
)

// maxSignals bounds the signal updates in one message, at about 80 bytes each.
const maxSignals = 512

// SignalUpdate is what a process of an endpoint reported about itself in an answer.
type SignalUpdate struct {
	Process driver.Process
	Limit   driver.Limit
	// SentAt and ReceivedAt are when the request was sent and when the head of its answer was
	// received. For a peer's update they are computed from the arrival of its message.
	SentAt, ReceivedAt time.Time
	IsLeaving          bool
}

// Signals gives the Exchanger access to what this host knows of endpoints from their answers.
type Signals interface {
	// Updates returns updates as in Caches.
	Updates(after uint64, scope Scope) (updates []SignalUpdate, position uint64)
	Merge(updates []SignalUpdate, isOwnZone bool)
}

func countSignals(*SignalUpdate) int { return 1 }

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
		received := now.Add(-ageFromMicros(m.GetReceivedAgeUs()))
		sent := now.Add(-ageFromMicros(m.GetSentAgeUs()))
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

func ageFromMicros(us int64) time.Duration {
	return time.Duration(min(max(us, 0), maxUpdateAge.Microseconds())) * time.Microsecond
}
