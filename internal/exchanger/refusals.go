package exchanger

import (
	"slices"
	"strings"
	"time"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
)

const (
	// refusalsInterval is the time between two messages with the same refusals. Receivers rely on
	// a refusal for RefusalLifetime.
	refusalsInterval = 500 * time.Millisecond
	// RefusalLifetime is how long after a refused connection peers rely on it. It exceeds the
	// interval of probes, the time of a probe and refusalsInterval together.
	RefusalLifetime = 2500 * time.Millisecond
	// maxRefusals bounds the refusals in one message.
	maxRefusals = 1024
)

// sentRefusals are those in the last message to a peer that had any.
type sentRefusals struct {
	items []Refusal
	at    time.Time
}

// ownRefusals returns the refusals of this host.
func (ex *Exchanger) ownRefusals() []Refusal {
	if ex.cfg.Refusals == nil {
		return nil
	}
	return ex.cfg.Refusals.Refusals()
}

// currentRefusals returns a peer's refusals that are still relied on, with their present ages.
func (p *peerState) currentRefusals(now time.Time) (current []Refusal) {
	for _, r := range p.refusals {
		if r.Age += max(now.Sub(p.refusalsAt), 0); r.Age < RefusalLifetime {
			current = append(current, r)
		}
	}
	return current
}

// mergeRefusals adds up the refusals of disjoint sets of hosts, ordered by endpoint id.
func mergeRefusals(refusals []Refusal) (merged []Refusal) {
	slices.SortStableFunc(refusals, func(a, b Refusal) int {
		if c := strings.Compare(a.EndpointID, b.EndpointID); c != 0 {
			return c
		}
		return strings.Compare(a.Incarnation, b.Incarnation)
	})
	for _, r := range refusals {
		if last := len(merged) - 1; last >= 0 && isSameProcess(merged[last], r) {
			merged[last].Hosts += r.Hosts
			merged[last].Age = min(merged[last].Age, r.Age)
			continue
		}
		merged = append(merged, r)
	}
	return merged
}

func isSameProcess(a, b Refusal) bool {
	return a.EndpointID == b.EndpointID && a.Incarnation == b.Incarnation
}

// sendsRefusals reports whether the next message has to contain the refusals: they have changed, or
// the peer's copy is about to expire.
func (p *publisher) sendsRefusals(refusals []Refusal, now time.Time) bool {
	isSame := slices.EqualFunc(refusals, p.refusals.items, func(a, b Refusal) bool { return isSameProcess(a, b) && a.Hosts == b.Hosts })
	return p.full || !isSame || len(refusals) > 0 && now.Sub(p.refusals.at) >= refusalsInterval
}

func refusalsToMessage(refusals []Refusal) []*exchangerpb.RefusingEndpoint {
	refusals = refusals[:min(len(refusals), maxRefusals)]
	messages := make([]*exchangerpb.RefusingEndpoint, 0, len(refusals))
	for _, r := range refusals {
		messages = append(messages, &exchangerpb.RefusingEndpoint{
			EndpointId: r.EndpointID, Incarnation: r.Incarnation, Hosts: int64(r.Hosts), AgeMs: r.Age.Milliseconds(),
		})
	}
	return messages
}

func refusalsFromMessage(messages []*exchangerpb.RefusingEndpoint) (refusals []Refusal) {
	for _, m := range messages[:min(len(messages), maxRefusals)] {
		refusals = append(refusals, Refusal{
			EndpointID: m.GetEndpointId(), Incarnation: m.GetIncarnation(), Hosts: int(min(max(m.GetHosts(), 1), maxHosts)),
			Age: ageFromMillis(m.GetAgeMs()),
		})
	}
	return refusals
}
