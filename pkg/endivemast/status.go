package endivemast

import (
	"time"

	"github.com/endivemast/endivemast/internal/orderer"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/scheduler"
	"github.com/endivemast/endivemast/internal/server"
)

// States of an endpoint, as this host knows it.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
	stateSuspect = "suspect" // circuit breaker open after failures; probed from time to time
)

// Status implements server.StatusSource.
func (e *Entry) Status() server.Status {
	ready, reason := e.Ready()
	return server.Status{
		HostID: e.cfg.HostID, Zone: e.cfg.Zone, Incarnation: e.cfg.Incarnation, Version: e.cfg.Version,
		Ready: ready, Reason: reason, Draining: e.draining.Load(),
		ConfigRevision: e.configurer.Revision(), ConfigAge: e.configurationAge(),
		Peers: e.peerStatuses(), Endpoints: e.endpointStatuses(),
		Authorities: e.authorities.read(e.ctx),
	}
}

func (e *Entry) peerStatuses() []server.PeerStatus {
	var statuses []server.PeerStatus
	for _, peer := range e.exchanger.Statuses() {
		statuses = append(statuses, server.PeerStatus{
			HostID: peer.Peer.HostID, Zone: peer.Peer.Zone, Reachable: peer.Reachable,
			Draining: peer.Draining, ConfigRevision: peer.ConfigurationRevision,
		})
	}
	return statuses
}

func (e *Entry) endpointStatuses() []server.EndpointStatus {
	var statuses []server.EndpointStatus
	for _, endpoint := range e.scheduler.Endpoints() {
		role := endpoint.Role
		if endpoint.Kind == provider.HostService {
			role = "" // a plain service has no role
		}
		statuses = append(statuses, server.EndpointStatus{
			EndpointID: endpoint.EndpointID, Zone: endpoint.Zone, Application: endpoint.Application,
			Role: role, State: endpointState(endpoint), InFlight: endpoint.Own.Requests,
			PrefillRate: endpoint.PrefillRate, DecodeRate: endpoint.DecodeRate,
		})
	}
	return statuses
}

func endpointState(endpoint scheduler.EndpointStatus) string {
	switch {
	case endpoint.Leaving, endpoint.Draining:
		return stateLeaving
	case endpoint.BreakerOpen:
		return stateSuspect
	default:
		return stateLive
	}
}

func (e *Entry) countEndpoints(state string) (n int) {
	for _, endpoint := range e.scheduler.Endpoints() {
		if endpointState(endpoint) == state {
			n++
		}
	}
	return n
}

func (e *Entry) countPeers(reachable bool) (n int) {
	for _, peer := range e.exchanger.Statuses() {
		if peer.Reachable == reachable {
			n++
		}
	}
	return n
}

// countOrders counts the zone's open orders by state while this host holds its authority.
func (e *Entry) countOrders() map[orderer.OrderState]int {
	return orderer.CountStates(e.orderer.OpenOrders(), e.cfg.Incarnation)
}

// registerGauges registers the metrics that read the state of other components.
func (e *Entry) registerGauges() {
	e.meter.GaugeLeaseEpoch(e.cfg.Zone, func() float64 { return float64(e.authority().Epoch) })
	e.meter.GaugeConfigRevision(func() float64 { return float64(e.configurer.Revision()) })
	e.meter.GaugeConfigAge(e.configurationAge)
	e.meter.GaugeConfigDivergences(func() float64 { return float64(e.configurer.Stats().Divergences) })
	for _, state := range orderer.OrderStates() {
		e.meter.GaugeOrders(string(state), func() float64 { return float64(e.countOrders()[state]) })
	}
	e.meter.GaugePeers("reachable", func() float64 { return float64(e.countPeers(true)) })
	e.meter.GaugePeers("unreachable", func() float64 { return float64(e.countPeers(false)) })
	for _, state := range []string{stateLive, stateLeaving, stateSuspect} {
		e.meter.GaugeEndpoints(state, func() float64 { return float64(e.countEndpoints(state)) })
	}
	e.meter.GaugeReady(func() bool {
		ready, _ := e.Ready()
		return ready
	})
	e.meter.GaugeLeaseHeld(e.cfg.Zone, func() bool {
		_, holds := e.leaser.Holder()
		return holds
	})
	gaugeDemand(e.meter, e.exchanger)
	e.meter.GaugeInFlight(func() float64 { return float64(e.dispatcher.Active()) })
}

// configurationAge is the time since this host or a host whose updates it receives last
// read the store. Before the first such read it is the time since the start, so that an
// alert for an old configuration fires then as well.
func (e *Entry) configurationAge() time.Duration {
	if age := e.configurer.Stats().StoreAge; age >= 0 {
		return age
	}
	return time.Since(e.createdAt)
}
