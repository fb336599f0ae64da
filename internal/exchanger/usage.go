package exchanger

import "github.com/endivemast/endivemast/internal/exchanger/exchangerpb"

// maxUsageCounts bounds the counts in one message, at about 20 bytes each.
const maxUsageCounts = 512

func countUsageItems(update *UsageUpdate) int { return 1 + len(update.Counts) }

// nextUsage returns the usage updates for the next message to a peer. Hubs collect the counts
// and send them to the host that reports them. Without hubs, all hosts collect.
func (ex *Exchanger) nextUsage(p *publisher, peer Peer) []UsageUpdate {
	if ex.cfg.Usage == nil || p.part == exchangerpb.Part_PART_REST && !ex.wantsUsage(peer) {
		return nil
	}
	return p.usage.next(ex.cfg.Usage, p.part, maxUsageCounts, countUsageItems)
}

func (ex *Exchanger) wantsUsage(peer Peer) bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	state := ex.states[peer.HostID]
	return state != nil && state.wantsUsage
}

func usageToMessage(updates []UsageUpdate) []*exchangerpb.UsageUpdate {
	messages := make([]*exchangerpb.UsageUpdate, 0, len(updates))
	for _, update := range updates {
		message := &exchangerpb.UsageUpdate{HostId: update.HostID, Incarnation: update.Incarnation}
		for _, count := range update.Counts {
			message.Counts = append(message.Counts, &exchangerpb.UsageCount{
				Window: count.Window, Tenant: count.Tenant, Requests: count.Requests,
			})
		}
		messages = append(messages, message)
	}
	return messages
}

func usageFromMessage(messages []*exchangerpb.UsageUpdate) []UsageUpdate {
	updates := make([]UsageUpdate, 0, len(messages))
	for _, message := range messages {
		update := UsageUpdate{HostID: message.GetHostId(), Incarnation: message.GetIncarnation()}
		for _, c := range message.GetCounts() {
			update.Counts = append(update.Counts, UsageCount{Window: c.GetWindow(), Tenant: c.GetTenant(), Requests: c.GetRequests()})
		}
		updates = append(updates, update)
	}
	return updates
}
