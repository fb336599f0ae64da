// Package placer describes deployments of stand-ins: which entry hosts, engines
// and services run in which availability zone.
//
// # Usage
//
//	for _, host := range placer.Vitosha().Hosts() {
//		switch host.Kind {
//		case provider.HostEngine: ...
//		}
//	}
//
// The hosts are entries of the platform's host list without addresses.
package placer

import (
	"fmt"
	"time"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/standins/engineserver"
)

// ModelVersion is the model version that engines have loaded at the start. The
// model has the name of its application.
const ModelVersion = "v1"

// Deployment is a set of hosts in several availability zones.
type Deployment struct {
	Name           string
	Zones          []string
	EntriesPerZone int
	Engines        []Group // distributed round-robin over the zones
	Services       []Group
}

// Group is a number of endpoints of an application.
type Group struct {
	Application string
	Count       int
	// ChecksFencing is true if the engines refuse orders with an old epoch.
	ChecksFencing bool
}

// Vitosha returns the full-size deployment with the applications letters,
// dispatch and proofing.
func Vitosha() Deployment {
	return Deployment{
		Name: "vitosha", Zones: []string{"lozenets", "nadezhda", "lyulin"}, EntriesPerZone: 3,
		Engines:  []Group{{"letters", 9, true}, {"dispatch", 3, false}},
		Services: []Group{{"proofing", 3, false}},
	}
}

// Agency returns the full-size deployment with the applications assistant, desk
// and bookings.
func Agency() Deployment {
	return Deployment{
		Name: "agency", Zones: []string{"palermo", "catania", "messina"}, EntriesPerZone: 3,
		Engines:  []Group{{"assistant", 14, true}, {"desk", 3, false}},
		Services: []Group{{"bookings", 3, false}},
	}
}

// Small returns the deployment reduced to one entry host and one endpoint of
// each application per zone.
func (d Deployment) Small() Deployment {
	small := d
	small.EntriesPerZone = 1
	small.Engines, small.Services = shrink(d.Engines, len(d.Zones)), shrink(d.Services, len(d.Zones))
	return small
}

// OneZone returns the deployment reduced to its first zone, with all entry
// hosts of the zone, up to four engines of each application and one endpoint of
// each service.
func (d Deployment) OneZone() Deployment {
	zone := d
	zone.Zones = d.Zones[:1]
	zone.Engines, zone.Services = shrink(d.Engines, 4), shrink(d.Services, 1)
	return zone
}

func shrink(groups []Group, maxCount int) []Group {
	var shrunk []Group
	for _, group := range groups {
		group.Count = min(group.Count, maxCount)
		shrunk = append(shrunk, group)
	}
	return shrunk
}

// Join returns a deployment with the applications of both in the zones of the
// first.
func Join(first, second Deployment) Deployment {
	first.Name += "_" + second.Name
	first.Engines = append(append([]Group(nil), first.Engines...), second.Engines...)
	first.Services = append(append([]Group(nil), first.Services...), second.Services...)
	return first
}

// Hosts returns all hosts: entry hosts first, then engines, then services.
func (d Deployment) Hosts() []provider.Host {
	var hosts []provider.Host
	for _, zone := range d.Zones {
		for i := range d.EntriesPerZone {
			hosts = append(hosts, provider.Host{
				ID: fmt.Sprintf("%s-%d", zone, i+1), Kind: provider.HostEntry, Zone: zone, State: provider.HostLive,
			})
		}
	}
	hosts = append(hosts, d.endpoints(provider.HostEngine, d.Engines)...)
	return append(hosts, d.endpoints(provider.HostService, d.Services)...)
}

func (d Deployment) endpoints(kind provider.HostKind, groups []Group) []provider.Host {
	var hosts []provider.Host
	for _, group := range groups {
		for i := range group.Count {
			hosts = append(hosts, provider.Host{
				ID: fmt.Sprintf("%s-%d", group.Application, i+1), Kind: kind, Zone: d.Zones[i%len(d.Zones)],
				Application: group.Application, State: provider.HostLive, ChecksFencing: group.ChecksFencing,
			})
		}
	}
	return hosts
}

// TimeModel returns the engines' time model for which the scenarios are sized:
// a full batch generates a token for each sequence about every 36 ms, and the
// prefill of 1000 tokens takes 100 ms.
func TimeModel() engineserver.TimeModel {
	model := engineserver.DefaultTimeModel()
	model.StepBase = 20 * time.Millisecond
	model.PerSequence = 500 * time.Microsecond
	model.PerPrefillToken = 100 * time.Microsecond
	model.MaxBatch = 32
	model.ChunkTokens = 256
	return model
}
