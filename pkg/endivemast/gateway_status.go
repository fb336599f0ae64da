package endivemast

import (
	"encoding/json"
	"net/http"
	"time"
)

// gatewayStatus is a host's report on its state for operators, at the readiness address.
type gatewayStatus struct {
	HostID  string `json:"host_id"`
	Version string `json:"version"`
	Ready   bool   `json:"ready"`
	Reason  string `json:"reason,omitempty"` // why the host is not ready

	ConfigurationVersion int64  `json:"configuration_version"`
	Tenants              int    `json:"tenants"` // with accepted keys; 0 also if no keys are required
	Keys                 int    `json:"keys"`
	ProofAgeMS           *int64 `json:"proof_age_ms,omitempty"` // of the configuration's proof; absent: no proof
	AcceptsKeys          bool   `json:"accepts_keys"`

	StoreRevision      int64    `json:"store_revision"`       // up to which the store's changes are known
	StoreUnreachableMS int64    `json:"store_unreachable_ms"` // 0 while the store answers
	RecentChanges      []string `json:"recent_changes,omitempty"`

	HoldsAuthority bool             `json:"holds_authority"`
	Endpoints      []endpointStatus `json:"endpoints,omitempty"`     // with signals in their answers
	ReducedReach   []reachStatus    `json:"reduced_reach,omitempty"` // applications of which this host does not reach all endpoints
	Usage          *usageStatus     `json:"usage,omitempty"`         // last report of this host
	Engines        []orderStatus    `json:"engines,omitempty"`       // last orders, if this host holds the authority
}

// endpointStatus holds the signals in an endpoint's answers.
type endpointStatus struct {
	EndpointID     string   `json:"endpoint_id"`
	Incarnation    string   `json:"incarnation"`
	LimitPerSecond *float64 `json:"limit_per_second,omitempty"` // absent: no limit
	IsLeaving      bool     `json:"is_leaving"`
	RestMS         int64    `json:"rest_ms"` // remaining backoff
}

// reachStatus is how many endpoints of an application this host reaches.
type reachStatus struct {
	Application string `json:"application"`
	Reached     int    `json:"reached"`
	Listed      int    `json:"listed"`
}

type usageStatus struct {
	Window      int64     `json:"window"`
	IsConfirmed bool      `json:"is_confirmed"`
	At          time.Time `json:"at"`
	LastError   string    `json:"last_error,omitempty"`
}

type orderStatus struct {
	Application string `json:"application"`
	Zone        string `json:"zone"`
	IsSpot      bool   `json:"is_spot"`
	Desired     int    `json:"desired"`
}

// status returns the current state of the host.
func (g *Gateway) status() (s gatewayStatus) {
	s = gatewayStatus{
		HostID: g.cfg.HostID, Version: g.cfg.Version, ConfigurationVersion: g.classifier.Revision(),
		AcceptsKeys: g.attester.IsCurrent(), HoldsAuthority: g.HoldsAuthority(),
		StoreRevision: g.relayer.LatestRevision(), StoreUnreachableMS: g.follower.StoreUnreachableFor().Milliseconds(),
		RecentChanges: g.recordedChanges(),
	}
	s.Ready, s.Reason = g.Ready()
	if tenants := g.classifier.Tenants(); tenants != nil {
		s.Tenants, s.Keys = tenants.Tenants(), tenants.Keys()
	}
	if age, ok := g.attester.Age(); ok {
		ms := age.Milliseconds()
		s.ProofAgeMS = &ms
	}
	for application, reach := range g.paths.Reduced() {
		s.ReducedReach = append(s.ReducedReach, reachStatus{Application: application, Reached: reach.Reached, Listed: reach.Listed})
	}
	now := g.cfg.Clock.Now()
	for _, state := range g.observer.States() {
		endpoint := endpointStatus{
			EndpointID: state.Process.EndpointID, Incarnation: state.Process.Incarnation, IsLeaving: state.IsLeaving,
			RestMS: max(state.BackoffUntil.Sub(now), 0).Milliseconds(),
		}
		if state.Limit.IsSet {
			endpoint.LimitPerSecond = &state.Limit.PerSecond
		}
		s.Endpoints = append(s.Endpoints, endpoint)
	}
	if g.reporter != nil {
		if last := g.reporter.Status(); !last.At.IsZero() {
			s.Usage = &usageStatus{Window: last.Window, IsConfirmed: last.IsConfirmed, At: last.At, LastError: last.LastError}
		}
	}
	if g.provisioner != nil {
		for target, desired := range g.provisioner.Ordered() {
			s.Engines = append(s.Engines, orderStatus{
				Application: target.Application, Zone: target.Zone, IsSpot: target.IsSpot, Desired: desired,
			})
		}
	}
	return s
}

func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.status()); err != nil {
		g.cfg.Logger.Debug("status not written", "error", err)
	}
}
