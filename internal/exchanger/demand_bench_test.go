package exchanger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/aggregator"
	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
)

// demandBench is a host with its peers in a fleet in which each demand changes by up to a third
// every 250 ms.
type demandBench struct {
	b                   *testing.B
	rand                *rand.Rand
	perHost             float64 // engine seconds per second
	registry            *aggregator.Registry
	cursors             map[string]map[aggregator.Key]aggregator.Demand
	zoneBytes, farBytes int
	now                 time.Time
}

// snapshot returns a demand of three keys; the first two have 76 tenants, of which 16 are named.
func (d *demandBench) snapshot(hosts int) aggregator.Snapshot {
	s := aggregator.Snapshot{Hosts: hosts, Demands: map[aggregator.Key]aggregator.Demand{}}
	for i, key := range []aggregator.Key{{Application: "drafting", Rank: 0}, {Application: "drafting", Rank: 2}, {Application: "calls", Rank: 2}} {
		demand := aggregator.Demand{Offered: d.perHost * float64(hosts) * (0.7 + 0.6*d.rand.Float64()) / 3}
		demand.RestOffered = demand.Offered
		for tenant := range aggregator.MaxTenants {
			if i == 2 {
				break
			}
			offered := demand.Offered * (0.08 - 0.004*float64(tenant)) * (0.9 + 0.2*d.rand.Float64())
			demand.Tenants = append(demand.Tenants, aggregator.TenantDemand{Tenant: fmt.Sprintf("tenant-%02d", tenant), Offered: offered})
			demand.RestOffered -= offered
			demand.RestTenants = 60
		}
		s.Demands[key] = demand
	}
	return s
}

// send encodes what a peer is to be sent, and counts the bytes.
func (d *demandBench) send(peer string, isFar bool, snapshot aggregator.Snapshot) []byte {
	acked := d.cursors[peer]
	changes := aggregator.Changes(acked, aggregator.Compact(snapshot.Demands), 0)
	d.cursors[peer], _ = aggregator.Apply(acked, changes)
	wire, err := proto.Marshal(&exchangerpb.PeerUpdate{Demand: demandToMessage(changes), SendsDemand: true, DemandHosts: int64(snapshot.Hosts)})
	assert.NilError(d.b, err)
	if isFar {
		d.farBytes += len(wire)
	} else {
		d.zoneBytes += len(wire)
	}
	return wire
}

func (d *demandBench) receive(hostID, zone string, scope aggregator.Scope, wire []byte, hosts int) {
	message := &exchangerpb.PeerUpdate{}
	assert.NilError(d.b, proto.Unmarshal(wire, message))
	demands, _ := demandFromMessage(message.GetDemand())
	_, ok := d.registry.Apply(&aggregator.Update{HostID: hostID, Zone: zone, Scope: scope, IsFull: true, Sends: true, Hosts: hosts, Demands: demands}, d.now)
	assert.Assert(d.b, ok)
}

// BenchmarkFleetDemand measures what the exchange of demand costs a host: an operation is the
// work of one second. It leaves out the messages' other content, gRPC and the network.
func BenchmarkFleetDemand(b *testing.B) {
	for _, size := range []struct{ hosts, zones int }{{9, 3}, {67, 4}, {300, 4}, {985, 5}} {
		for _, role := range []aggregator.Role{aggregator.RoleMesh, aggregator.RoleHub, aggregator.RoleMember} {
			if (role == aggregator.RoleMesh) != (size.hosts == 9) {
				continue
			}
			b.Run(fmt.Sprintf("hosts=%d/role=%s", size.hosts, []string{"mesh", "hub", "member"}[role]), func(b *testing.B) {
				d := &demandBench{
					b: b, rand: rand.New(rand.NewPCG(1, 2)), perHost: 48.0 / float64(size.hosts),
					registry: aggregator.NewRegistry("z0"), cursors: map[string]map[aggregator.Key]aggregator.Demand{}, now: time.Unix(1000, 0),
				}
				d.run(size.hosts, size.zones, role)
			})
		}
	}
}

func (d *demandBench) run(hosts, zones int, role aggregator.Role) {
	inZone := hosts / zones
	var hostWire, zoneWire, restWire [8][]byte // what peers send, prepared
	for i := range hostWire {
		for hosts, wire := range map[int]*[]byte{1: &hostWire[i], inZone: &zoneWire[i], hosts - 1: &restWire[i]} {
			*wire = d.send(fmt.Sprint("from peers of ", hosts), false, d.snapshot(hosts))
		}
	}
	d.zoneBytes, d.farBytes = 0, 0
	seconds, before := 0, processorTime(d.b)
	for d.b.Loop() {
		seconds++
		for range 4 { // rounds of 250 ms
			d.now = d.now.Add(250 * time.Millisecond)
			own, i := d.snapshot(1), seconds%len(hostWire)
			switch role {
			case aggregator.RoleMesh:
				for peer := range hosts - 1 {
					d.receive(fmt.Sprint("h", peer), fmt.Sprint("z", peer%zones), aggregator.ScopeHost, hostWire[i], 1)
					d.send(fmt.Sprint("h", peer), peer >= inZone-1, own)
				}
			case aggregator.RoleMember:
				d.receive("hub0", "z0", aggregator.ScopeRest, restWire[i], hosts-1)
				d.send("hub0", false, own)
				d.send("hub1", false, own)
			case aggregator.RoleHub:
				d.runHub(own, inZone, zones, hostWire[i], zoneWire[i])
			}
			for range 3 { // decisions
				others := d.registry.Others(role, d.now)
				aggregator.CountedDemand(own, others, func(string) float64 { return 48 })
			}
		}
	}
	d.b.ReportMetric((processorTime(d.b)-before)/float64(seconds), "cpu-us/s")
	d.b.ReportMetric(float64(d.zoneBytes)/float64(seconds), "zone-B/s")
	d.b.ReportMetric(float64(d.farBytes)/float64(seconds), "far-B/s")
}

func (d *demandBench) runHub(own aggregator.Snapshot, inZone, zones int, hostWire, zoneWire []byte) {
	for peer := range inZone - 1 {
		d.receive(fmt.Sprint("h", peer), "z0", aggregator.ScopeHost, hostWire, 1)
	}
	zone, fleet := d.registry.ZoneTotal(own), d.registry.FleetTotal(own, d.now)
	for hub := range 2 * (zones - 1) {
		name, zoneName := fmt.Sprint("hub", hub), fmt.Sprint("z", 1+hub/2)
		d.receive(name, zoneName, aggregator.ScopeZone, zoneWire, inZone)
		d.send(name, true, zone)
	}
	for peer := range (inZone - 2) / 2 {
		d.send(fmt.Sprint("h", peer), false, fleet.Minus(d.registry.HostDemand(fmt.Sprint("h", peer))))
	}
}
