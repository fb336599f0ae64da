package exchanger

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/endivemast/endivemast/internal/aggregator"
	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
)

const (
	microsPerSecond = 1e6
	maxDemandMicros = aggregator.MaxEngineSeconds * microsPerSecond
	// maxDemandName bounds the names of applications and tenants in messages.
	maxDemandName = 256
)

// demandToMessage converts demands, with each application named once. Keys without demand
// and tenants with 0 are kept: they are removed at the receiver.
func demandToMessage(demands map[aggregator.Key]aggregator.Demand) (messages []*exchangerpb.Demand) {
	keys := slices.SortedFunc(maps.Keys(demands), func(a, b aggregator.Key) int {
		return cmp.Or(cmp.Compare(a.Application, b.Application), cmp.Compare(a.Rank, b.Rank))
	})
	for _, key := range keys {
		if len(messages) == 0 || messages[len(messages)-1].GetApplication() != key.Application {
			messages = append(messages, &exchangerpb.Demand{Application: key.Application})
		}
		last := messages[len(messages)-1]
		last.Ranks = append(last.Ranks, rankToMessage(key.Rank, demands[key]))
	}
	return messages
}

func rankToMessage(rank int, demand aggregator.Demand) *exchangerpb.RankDemand {
	message := &exchangerpb.RankDemand{
		Rank: int32(rank), OfferedUs: toMicros(demand.Offered), ReturningUs: toMicros(demand.Returning), RefusedUs: toMicros(demand.Refused),
		RestUs: toMicros(demand.RestOffered), RestTenants: int64(demand.RestTenants),
	}
	for _, tenant := range demand.Tenants {
		message.Tenants = append(message.Tenants, tenant.Tenant)
		message.TenantUs = append(message.TenantUs, toMicros(tenant.Offered))
	}
	return message
}

func toMicros(engineSeconds float64) int64 {
	return int64(math.Round(min(max(engineSeconds, 0), aggregator.MaxEngineSeconds) * microsPerSecond))
}

// demandFromMessage converts a message's demands. rejected counts the values that are out of
// range, which become 0, and the keys and tenants that are left out.
func demandFromMessage(messages []*exchangerpb.Demand) (demands map[aggregator.Key]aggregator.Demand, rejected int) {
	r := demandReader{demands: map[aggregator.Key]aggregator.Demand{}}
	for _, message := range messages {
		if len(message.GetApplication()) > maxDemandName {
			r.rejected++
			continue
		}
		for _, rank := range message.GetRanks() {
			r.read(message.GetApplication(), rank)
		}
	}
	return r.demands, r.rejected
}

type demandReader struct {
	demands  map[aggregator.Key]aggregator.Demand
	rejected int
}

func (r *demandReader) read(application string, message *exchangerpb.RankDemand) {
	key := aggregator.Key{Application: application, Rank: int(message.GetRank())}
	_, isKnown := r.demands[key]
	if key.Rank < 0 || key.Rank > aggregator.MaxRank || isKnown || len(r.demands) >= aggregator.MaxKeys {
		r.rejected++
		return
	}
	demand := aggregator.Demand{
		Offered: r.value(message.GetOfferedUs()), RestOffered: r.value(message.GetRestUs()), RestTenants: count(message.GetRestTenants()),
	}
	demand.Returning = min(r.value(message.GetReturningUs()), demand.Offered)
	demand.Refused = min(r.value(message.GetRefusedUs()), demand.Offered)
	names, micros := message.GetTenants(), message.GetTenantUs()
	n := min(len(names), len(micros), 2*aggregator.MaxTenants)
	r.rejected += max(len(names), len(micros)) - n
	seen := make(map[string]bool, n)
	for i, name := range names[:n] {
		if len(name) > maxDemandName || seen[name] {
			r.rejected++
			continue
		}
		seen[name] = true
		demand.Tenants = append(demand.Tenants, aggregator.TenantDemand{Tenant: name, Offered: r.value(micros[i])})
	}
	r.demands[key] = demand
}

// value converts a value in engine microseconds per second. One that is out of range becomes
// 0: a negative demand would hide that of others, and a huge one would take all capacity.
func (r *demandReader) value(micros int64) float64 {
	if micros < 0 || micros > maxDemandMicros {
		r.rejected++
		return 0
	}
	return float64(micros) / microsPerSecond
}
