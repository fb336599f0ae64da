package endivemast

import (
	"time"

	"github.com/endivemast/endivemast/internal/scheduler"
	"github.com/endivemast/endivemast/internal/server"
)

// Status implements server.StatusSource.
func (e *Entry) Status() server.Status {
	ready, reason := e.Ready()
	authority := e.authority()
	return server.Status{
		HostID: e.cfg.HostID, Zone: e.cfg.Zone, Incarnation: e.cfg.Incarnation, Version: e.cfg.Version,
		Ready: ready, Reason: reason, Draining: e.draining.Load(),
		ConfigRevision: e.configurer.Revision(), ConfigAge: e.configurationAge(),
		Peers: e.peerStatuses(), Endpoints: e.endpointStatuses(),
		Authorities: []server.AuthorityStatus{{
			Zone: authority.Zone, Holder: authority.Holder.HostID, Epoch: authority.Epoch,
			OpenOrders: len(e.orderer.OpenOrders()),
		}},
	}
}

func (e *Entry) peerStatuses() []server.PeerStatus {
	var statuses []server.PeerStatus
	for _, peer := range e.exchanger.Statuses() {
		statuses = append(statuses, server.PeerStatus{
			HostID: peer.Peer.HostID, Zone: peer.Peer.Zone, Reachable: peer.Reachable,
			ConfigRevision: peer.ConfigurationRevision,
		})
	}
	return statuses
}

func (e *Entry) endpointStatuses() []server.EndpointStatus {
	var statuses []server.EndpointStatus
	for _, endpoint := range e.scheduler.Endpoints() {
		statuses = append(statuses, server.EndpointStatus{
			EndpointID: endpoint.EndpointID, Zone: endpoint.Zone, Application: endpoint.Application,
			Role: endpoint.Role, State: endpointState(endpoint), InFlight: endpoint.Own.Requests,
		})
	}
	return statuses
}

func endpointState(endpoint scheduler.EndpointStatus) string {
	switch {
	case endpoint.Leaving, endpoint.Draining:
		return "leaving"
	case endpoint.SetAside:
		return "suspect"
	default:
		return "live"
	}
}

// registerGauges lets the metrics read the state that is kept elsewhere.
func (e *Entry) registerGauges() {
	e.meter.GaugeLeaseEpoch(e.cfg.Zone, func() float64 { return float64(e.authority().Epoch) })
	e.meter.GaugeConfigRevision(func() float64 { return float64(e.configurer.Revision()) })
	e.meter.GaugeConfigAge(e.configurationAge)
	e.meter.GaugeOrders("open", func() float64 { return float64(len(e.orderer.OpenOrders())) })
	e.meter.GaugeInFlight(func() float64 { return float64(e.dispatcher.Active()) })
}

// configurationAge is how long ago anyone that this host hears of has read the store.
func (e *Entry) configurationAge() time.Duration { return e.configurer.Stats().StoreAge }
