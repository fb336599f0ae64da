package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivemast/endivemast/internal/aggregator"
)

func demandOfTenants() aggregator.Demand {
	demand := aggregator.Demand{Offered: 480, RestOffered: 464, RestTenants: 60}
	for i := range aggregator.MaxTenants {
		demand.Tenants = append(demand.Tenants, aggregator.TenantDemand{Tenant: fmt.Sprintf("tenant-%d", i), Offered: 1})
	}
	return demand
}

// Shares and portions are computed every 50 to 100 ms, also on hosts with 0.144 cores.
func BenchmarkRefreshShares(b *testing.B) {
	for _, ranks := range []int{1, 3, 64} {
		b.Run(fmt.Sprintf("ranks=%d", ranks), func(b *testing.B) {
			s, now := newScheduler(b, engines(48))
			s.SetPeerLoad("peers", 66, loads(engines(48), busyLoad), *now)
			demands := map[aggregator.Key]aggregator.Demand{}
			for rank := range ranks {
				demands[aggregator.Key{Application: "drafting", Rank: rank}] = demandOfTenants()
				offer(s, rankedWork(rank, "tenant-3", *now), *now)
			}
			s.SetFleetDemand(aggregator.Snapshot{Hosts: 66, Demands: demands}, *now)
			s.Tick(*now)
			s.mu.Lock()
			defer s.mu.Unlock()
			b.ReportAllocs()
			for b.Loop() {
				s.sharesAt = time.Time{}
				s.refreshShares(*now)
			}
			if !s.precedences["drafting"].isShort {
				b.Fatal("no shortage")
			}
		})
		b.Run(fmt.Sprintf("portions/ranks=%d", ranks), func(b *testing.B) {
			s, now := newScheduler(b, engines(48))
			demands := map[aggregator.Key]aggregator.Demand{}
			for rank := range ranks {
				demands[aggregator.Key{Application: "drafting", Rank: rank}] = demandOfTenants()
			}
			s.Tick(*now)
			s.SetPublishedDemand(aggregator.Snapshot{Hosts: 1, Demands: demands}, false)
			b.ReportAllocs()
			for b.Loop() {
				s.SetFleetDemand(aggregator.Snapshot{Hosts: 66, Demands: demands}, *now)
			}
		})
	}
}

// Most requests arrive while all shares are 1.
func BenchmarkApplyPrecedenceAllAdmitted(b *testing.B) {
	s, now := newScheduler(b, engines(48))
	work := rankedWork(2, "tenant-3", *now)
	s.mu.Lock()
	defer s.mu.Unlock()
	application := s.table.Application("drafting")
	w := &waiter{work: work}
	item := s.newItem(application, w, *now)
	q := s.queueOf(&work)
	b.ReportAllocs()
	for b.Loop() {
		s.applyPrecedence(q, w, &item, *now)
	}
	if s.precedence("drafting").isShort {
		b.Fatal("shortage")
	}
}
