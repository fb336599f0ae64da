// Package placer describes deployments of stand-ins: which entry hosts,
// engines and services stand in which availability zone.
//
// # Usage
//
//	for _, host := range placer.Vitosha().Hosts() {
//		switch host.Kind {
//		case provider.HostEngine: ...
//		}
//	}
//
// The hosts are those of the platform's list, without addresses.
package placer

import (
	"fmt"
	"time"

	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/standins/engineserver"
)

// ModelVersion is the version that the engines have loaded at the start. The
// model is named as its application.
const ModelVersion = "v1"

// Deployment is a fleet over availability zones.
type Deployment struct {
	Name           string
	Zones          []string
	EntriesPerZone int
	Engines        []Group // spread over the zones in turn
	Services       []Group
}

// Group is a number of endpoints of an application.
type Group struct {
	Application string
	Count       int
	// ChecksFencing is true where the engines refuse orders with an old
	// fencing number.
	ChecksFencing bool
}

// Vitosha is the letter deployment at its full size.
func Vitosha() Deployment {
	return Deployment{
		Name: "vitosha", Zones: []string{"lozenets", "nadezhda", "lyulin"}, EntriesPerZone: 3,
		Engines:  []Group{{"letters", 9, true}, {"dispatch", 3, false}},
		Services: []Group{{"proofing", 3, false}},
	}
}

// Agency is the booking deployment at its full size.
func Agency() Deployment {
	return Deployment{
		Name: "agency", Zones: []string{"palermo", "catania", "messina"}, EntriesPerZone: 3,
		Engines:  []Group{{"assistant", 14, true}, {"desk", 3, false}},
		Services: []Group{{"bookings", 3, false}},
	}
}

// Small shrinks a deployment to one entry host a zone and one endpoint of
// each application a zone.
func (d Deployment) Small() Deployment {
	small := d
	small.EntriesPerZone = 1
	small.Engines, small.Services = shrink(d.Engines, len(d.Zones)), shrink(d.Services, len(d.Zones))
	return small
}

// OneZone leaves a deployment's first zone, with all its entry hosts, up to four
// engines of each application and one service of each.
func (d Deployment) OneZone() Deployment {
	zone := d
	zone.Zones = d.Zones[:1]
	zone.Engines, zone.Services = shrink(d.Engines, 4), shrink(d.Services, 1)
	return zone
}

func shrink(groups []Group, most int) []Group {
	var shrunk []Group
	for _, group := range groups {
		group.Count = min(group.Count, most)
		shrunk = append(shrunk, group)
	}
	return shrunk
}

// Join is both deployments' applications in the zones of the first.
func Join(first, second Deployment) Deployment {
	first.Name += "_" + second.Name
	first.Engines = append(append([]Group(nil), first.Engines...), second.Engines...)
	first.Services = append(append([]Group(nil), first.Services...), second.Services...)
	return first
}

// Hosts lists every host: entries first, then engines, then services.
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

// TimeModel is the engines' time model that the scenarios are sized to: a
// full batch gives a token to each sequence about every 36 ms, and a prompt of
// a thousand tokens takes 100 ms.
func TimeModel() engineserver.TimeModel {
	model := engineserver.DefaultTimeModel()
	model.StepBase = 20 * time.Millisecond
	model.PerSequence = 500 * time.Microsecond
	model.PerPrefillToken = 100 * time.Microsecond
	model.MaxBatch = 32
	model.ChunkTokens = 256
	return model
}
