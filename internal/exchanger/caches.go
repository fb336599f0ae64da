package exchanger

import "github.com/endivemast/endivemast/internal/exchanger/exchangerpb"

// maxCacheParts bounds the parts in one message, at about 15 bytes each. A host sends at most
// 240 messages a second, so this limits cache updates to 0.5 MB/s on its link, reached only
// while a peer is sent the full state.
const maxCacheParts = 128

// countCacheParts returns the number of parts in an update.
func countCacheParts(update *CacheUpdate) int { return len(update.Parts) }

func cachesToMessage(updates []CacheUpdate) []*exchangerpb.CacheUpdate {
	messages := make([]*exchangerpb.CacheUpdate, 0, len(updates))
	for i := range updates {
		message := &exchangerpb.CacheUpdate{
			EndpointId: updates[i].EndpointID, Incarnation: updates[i].Incarnation, Number: updates[i].EventNumber, IsWhole: updates[i].IsSnapshot,
		}
		for _, part := range updates[i].Parts {
			message.Parts = append(message.Parts, &exchangerpb.CachePart{Id: part.ID, Tokens: int64(part.Tokens)})
		}
		messages = append(messages, message)
	}
	return messages
}

func cachesFromMessage(messages []*exchangerpb.CacheUpdate) []CacheUpdate {
	updates := make([]CacheUpdate, 0, len(messages))
	for _, message := range messages {
		update := CacheUpdate{
			EndpointID: message.GetEndpointId(), Incarnation: message.GetIncarnation(), EventNumber: message.GetNumber(), IsSnapshot: message.GetIsWhole(),
		}
		for _, part := range message.GetParts() {
			update.Parts = append(update.Parts, CachePart{ID: part.GetId(), Tokens: count(part.GetTokens())})
		}
		updates = append(updates, update)
	}
	return updates
}
