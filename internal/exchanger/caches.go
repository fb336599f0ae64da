package exchanger

import "github.com/endivemast/endivemast/internal/exchanger/exchangerpb"

// maxCacheParts bounds the parts that one message names, in some 15 bytes each.
// At the 240 messages a second that a host sends at most that is 0.5 MB a second
// on its link, and only while somebody is told everything.
const maxCacheParts = 128

// cacheTeller is how far a peer has been told of engines' caches. Words that
// were not acknowledged are told again: hearing them twice changes nothing.
type cacheTeller struct {
	position    uint64 // in the words of Caches; 0: it is to be told everything
	pending     []CacheWord
	incarnation string // of the peer, as it answered last
}

// restart has everything told anew.
func (t *cacheTeller) restart() { t.position, t.pending = 0, nil }

// next are the words of the next message.
func (t *cacheTeller) next(caches Caches, part exchangerpb.Part) []CacheWord {
	if caches == nil || part == exchangerpb.Part_PART_NONE {
		return nil
	}
	if len(t.pending) == 0 {
		t.pending, t.position = caches.Words(t.position, scopeOf(part))
	}
	count, parts := 0, 0
	for count < len(t.pending) && parts < maxCacheParts {
		parts += len(t.pending[count].Parts)
		count++
	}
	return t.pending[:count]
}

// settle takes in that a peer's process has acknowledged words. Another process
// than before knows nothing.
func (t *cacheTeller) settle(told int, incarnation string) {
	isOther := t.incarnation != "" && t.incarnation != incarnation
	t.incarnation = incarnation
	if isOther {
		t.restart()
		return
	}
	t.pending = t.pending[told:]
}

// scopeOf says whose words a part of the peers is told, as with loads.
func scopeOf(part exchangerpb.Part) Scope {
	switch part {
	case exchangerpb.Part_PART_ZONE:
		return ScopeZone
	case exchangerpb.Part_PART_REST:
		return ScopeAll
	default:
		return ScopeOwn
	}
}

func cachesToMessage(words []CacheWord) []*exchangerpb.CacheWord {
	messages := make([]*exchangerpb.CacheWord, 0, len(words))
	for i := range words {
		message := &exchangerpb.CacheWord{
			EndpointId: words[i].EndpointID, Incarnation: words[i].Incarnation, Number: words[i].Number, IsWhole: words[i].IsWhole,
		}
		for _, part := range words[i].Parts {
			message.Parts = append(message.Parts, &exchangerpb.CachePart{Id: part.ID, Tokens: int64(part.Tokens)})
		}
		messages = append(messages, message)
	}
	return messages
}

func cachesFromMessage(messages []*exchangerpb.CacheWord) []CacheWord {
	words := make([]CacheWord, 0, len(messages))
	for _, message := range messages {
		word := CacheWord{
			EndpointID: message.GetEndpointId(), Incarnation: message.GetIncarnation(), Number: message.GetNumber(), IsWhole: message.GetIsWhole(),
		}
		for _, part := range message.GetParts() {
			word.Parts = append(word.Parts, CachePart{ID: part.GetId(), Tokens: count(part.GetTokens())})
		}
		words = append(words, word)
	}
	return words
}
