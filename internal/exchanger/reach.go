package exchanger

import "github.com/endivemast/endivemast/internal/exchanger/exchangerpb"

// maxReachEntries bounds the applications in one message.
const maxReachEntries = 256

func (ex *Exchanger) currentReach() (reach []ApplicationReach, activeRequests int64) {
	if ex.cfg.Reach == nil {
		return nil, 0
	}
	reach = ex.cfg.Reach.ReducedReach()
	return reach[:min(len(reach), maxReachEntries)], ex.cfg.Reach.ActiveRequests()
}

func reachToMessage(reach []ApplicationReach) []*exchangerpb.ApplicationReach {
	messages := make([]*exchangerpb.ApplicationReach, 0, len(reach))
	for _, r := range reach {
		messages = append(messages, &exchangerpb.ApplicationReach{Application: r.Application, Reached: int64(r.Reached), Listed: int64(r.Listed), IsShort: r.IsShort})
	}
	return messages
}

func reachFromMessage(messages []*exchangerpb.ApplicationReach) (reach []ApplicationReach) {
	for _, m := range messages {
		listed := count(m.GetListed())
		reach = append(reach, ApplicationReach{
			Application: m.GetApplication(), Reached: min(count(m.GetReached()), listed), Listed: listed, IsShort: m.GetIsShort(),
		})
	}
	return reach
}
