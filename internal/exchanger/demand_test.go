package exchanger

import (
	"math"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivemast/endivemast/internal/aggregator"
	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
)

var drafting = aggregator.Key{Application: "drafting", Rank: 1}

// fixedDemand is a host's demand in engine seconds per second, half of it by one tenant.
type fixedDemand float64

func (d fixedDemand) OwnDemand(time.Time) aggregator.Snapshot {
	offered := float64(d)
	return aggregator.Snapshot{Hosts: 1, Demands: map[aggregator.Key]aggregator.Demand{drafting: {
		Offered: offered, RestOffered: offered / 2, RestTenants: 3, Tenants: []aggregator.TenantDemand{{Tenant: "t", Offered: offered / 2}},
	}}}
}

// demandTolerance is what changes that are too small to be sent may add up to: 0.02 for each
// of up to 13 hosts. The smallest demand of a host is 1.
const demandTolerance = 13 * 0.02

// awaitDemand waits until each host that knows demand counts that of each other host exactly
// once.
func (f *hubFleet) awaitDemand() {
	f.t.Helper()
	total, senders := 0, 0
	for _, peer := range f.peers {
		if !f.sendsNoDemand[peer.HostID] {
			total += f.own[peer.HostID]
			senders++
		}
	}
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for _, peer := range f.peers {
			own, hosts := f.own[peer.HostID], senders-1
			if f.sendsNoDemand[peer.HostID] {
				own, hosts = 0, senders
			}
			want := float64(total - own)
			others := f.ex[peer.HostID].FleetDemand(time.Now()).Others
			demand := others.Demands[drafting]
			isEqual := math.Abs(demand.Offered-want) < demandTolerance && others.Hosts == hosts && others.HostsWithout == len(f.peers)-1-hosts &&
				len(demand.Tenants) == 1 && math.Abs(demand.Tenants[0].Offered-want/2) < demandTolerance && demand.RestTenants == 3
			if !isEqual {
				return poll.Continue("%s: %+v, want %v of %d hosts", peer.HostID, others, want, hosts)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(20*time.Millisecond))
}

func (f *hubFleet) serve() {
	for _, local := range f.locals {
		local.isServing.Store(true)
	}
}

// Guards against demand that is counted twice or not at all on its way through hubs.
func TestDemandSumsThroughHubs(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		sizes         map[string]int
		sendsNoDemand []string
	}{
		"one small zone":           {sizes: map[string]int{"a": 3}},
		"two large zones":          {sizes: map[string]int{"a": 7, "b": 6}},
		"a large and a small zone": {sizes: map[string]int{"a": 7, "b": 2}},
		"an older build":           {sizes: map[string]int{"a": 7, "b": 6}, sendsNoDemand: []string{"a-4"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startHubFleet(t, test.sizes, test.sendsNoDemand...)
			f.serve()
			f.awaitDemand()
		})
	}
}

// Guards against the demand of a host that drains or has left counting on, and against a sum
// that stays with a hub that has exited.
func TestDemandOfHubThatExits(t *testing.T) {
	t.Parallel()
	f := startHubFleet(t, map[string]int{"a": 7, "b": 6})
	f.serve()
	f.awaitDemand()
	f.locals["b-5"].isServing.Store(false)
	f.own["b-5"] = 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if others := f.ex["a-6"].FleetDemand(time.Now()).Others; others.Hosts != len(f.peers)-2 {
			return poll.Continue("%d hosts", others.Hosts)
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(20*time.Millisecond))
	f.locals["b-5"].isServing.Store(true)
	f.own["b-5"] = 6
	f.awaitDemand()
	assert.NilError(t, f.ex["a-0"].Close())
	delete(f.ex, "a-0")
	delete(f.locals, "a-0")
	for i := range f.peers {
		if f.peers[i].HostID == "a-0" {
			f.peers = append(f.peers[:i:i], f.peers[i+1:]...)
			break
		}
	}
	for _, peer := range f.peers {
		f.setPeers(peer.HostID)
	}
	f.awaitDemand()
}

// Guards against a message that makes a host count negative or unlimited demand, or keep an
// unlimited number of names.
func TestRejectedDemand(t *testing.T) {
	t.Parallel()
	valid := &exchangerpb.RankDemand{OfferedUs: 2_000_000}
	for name, test := range map[string]struct {
		ranks    []*exchangerpb.RankDemand
		offered  float64
		rejected int
	}{
		"valid":              {[]*exchangerpb.RankDemand{valid}, 2, 0},
		"negative":           {[]*exchangerpb.RankDemand{{OfferedUs: -1}}, 0, 1},
		"huge":               {[]*exchangerpb.RankDemand{{OfferedUs: math.MaxInt64}}, 0, 1},
		"repeated":           {[]*exchangerpb.RankDemand{valid, {OfferedUs: 3_000_000}}, 2, 1},
		"unknown rank":       {[]*exchangerpb.RankDemand{valid, {Rank: -1, OfferedUs: 3}, {Rank: aggregator.MaxRank + 1, OfferedUs: 3}}, 2, 2},
		"tenant without use": {[]*exchangerpb.RankDemand{{OfferedUs: 2_000_000, Tenants: []string{"t"}}}, 2, 1},
		"tenant twice":       {[]*exchangerpb.RankDemand{{OfferedUs: 2_000_000, Tenants: []string{"t", "t"}, TenantUs: []int64{1, 2}}}, 2, 1},
		"long tenant":        {[]*exchangerpb.RankDemand{{OfferedUs: 2_000_000, Tenants: []string{strings.Repeat("t", 257)}, TenantUs: []int64{1}}}, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			demands, rejected := demandFromMessage([]*exchangerpb.Demand{{Application: "drafting", Ranks: test.ranks}})
			assert.Equal(t, demands[aggregator.Key{Application: "drafting"}].Offered, test.offered)
			assert.Equal(t, rejected, test.rejected)
		})
	}
}

// FuzzDemand checks that no message yields a demand out of range or beyond the bounds on keys
// and tenants, and that what is accepted is unchanged when it is sent on.
func FuzzDemand(f *testing.F) {
	wire, err := proto.Marshal(&exchangerpb.PeerUpdate{Demand: demandToMessage(fixedDemand(3).OwnDemand(time.Time{}).Demands)})
	assert.NilError(f, err)
	f.Add(wire)
	f.Fuzz(func(t *testing.T, wire []byte) {
		message := &exchangerpb.PeerUpdate{}
		if proto.Unmarshal(wire, message) != nil {
			return
		}
		changes, _ := demandFromMessage(message.GetDemand())
		again, rejected := demandFromMessage(demandToMessage(changes))
		assert.Equal(t, rejected, 0)
		assert.DeepEqual(t, again, changes)
		demands, _ := aggregator.Apply(nil, changes)
		assert.Assert(t, len(demands) <= aggregator.MaxKeys)
		for key, demand := range demands {
			assert.Assert(t, key.Rank >= 0 && key.Rank <= aggregator.MaxRank && len(demand.Tenants) <= aggregator.MaxTenants)
			assert.Assert(t, demand.Offered > 0 && demand.Offered <= aggregator.MaxEngineSeconds)
			assert.Assert(t, demand.Returning <= demand.Offered && demand.Refused <= demand.Offered)
		}
	})
}
