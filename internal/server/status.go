package server

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/server/gen/operator"
)

// Status is the state of a host and its view of the rest of the fleet.
type Status struct {
	HostID         string
	Zone           string
	Incarnation    string // differs after each restart
	Version        string
	Ready          bool
	Reason         string // why the host is not ready; empty if it is
	Draining       bool
	ConfigRevision int64
	ConfigAge      time.Duration // time since it was last confirmed to be current
	Peers          []PeerStatus
	Endpoints      []EndpointStatus
	Authorities    []AuthorityStatus
}

// PeerStatus is a host's view of another entry host.
type PeerStatus struct {
	HostID         string
	Zone           string
	Reachable      bool
	Draining       bool
	ConfigRevision int64 // as last reported by the peer
}

// EndpointStatus is a host's view of an endpoint.
type EndpointStatus struct {
	EndpointID  string
	Zone        string
	Application string
	Role        driver.Role // empty for a plain service
	State       string      // live, leaving or suspect
	InFlight    int         // requests of this host
	PrefillRate float64     // prompt tokens a second, estimated
	DecodeRate  float64     // output tokens a second, estimated
}

// AuthorityStatus is a host's view of the authority of a zone.
type AuthorityStatus struct {
	Zone       string
	Holder     string // host id; empty if no host holds it
	Epoch      int64  // fencing epoch
	OpenOrders int    // orders whose result is not known yet
	// OrdersByState counts the open orders by state: sent, reissued, inherited, settled.
	OrdersByState map[string]int
	IsCurrent     bool          // whether the record of the zone could be read now
	Age           time.Duration // time since the record was last read
}

// newStatusResult converts a Status to the type of the API.
func newStatusResult(s Status) *operator.StatusResult {
	result := &operator.StatusResult{
		HostID:         s.HostID,
		Zone:           s.Zone,
		Incarnation:    s.Incarnation,
		Version:        s.Version,
		Ready:          s.Ready,
		Reason:         s.Reason,
		Draining:       s.Draining,
		ConfigRevision: s.ConfigRevision,
		ConfigAgeMs:    s.ConfigAge.Milliseconds(),
		Peers:          make([]*operator.PeerStatus, 0, len(s.Peers)),
		Endpoints:      make([]*operator.EndpointStatus, 0, len(s.Endpoints)),
		Authorities:    make([]*operator.AuthorityStatus, 0, len(s.Authorities)),
	}
	for _, p := range s.Peers {
		peer := operator.PeerStatus(p)
		result.Peers = append(result.Peers, &peer)
	}
	for _, e := range s.Endpoints {
		result.Endpoints = append(result.Endpoints, newEndpointStatus(e))
	}
	for _, a := range s.Authorities {
		result.Authorities = append(result.Authorities, newAuthorityStatus(a))
	}
	return result
}

// newEndpointStatus converts an EndpointStatus to the type of the API.
func newEndpointStatus(e EndpointStatus) *operator.EndpointStatus {
	return &operator.EndpointStatus{
		EndpointID:  e.EndpointID,
		Zone:        e.Zone,
		Application: e.Application,
		Role:        string(e.Role),
		State:       e.State,
		InFlight:    e.InFlight,
		PrefillRate: e.PrefillRate,
		DecodeRate:  e.DecodeRate,
	}
}

// newAuthorityStatus converts an AuthorityStatus to the type of the API.
func newAuthorityStatus(a AuthorityStatus) *operator.AuthorityStatus {
	states := a.OrdersByState
	if states == nil {
		states = map[string]int{}
	}
	return &operator.AuthorityStatus{
		Zone:          a.Zone,
		Holder:        a.Holder,
		Epoch:         a.Epoch,
		OpenOrders:    a.OpenOrders,
		OrdersByState: states,
		Known:         a.IsCurrent,
		AgeMs:         a.Age.Milliseconds(),
	}
}
