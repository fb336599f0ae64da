package endivemast

import (
	"encoding/json"
	"net/http"
	"time"
)

// gatewayStatus is what a host says of itself to people, at the readiness address.
type gatewayStatus struct {
	HostID  string `json:"host_id"`
	Version string `json:"version"`
	Ready   bool   `json:"ready"`
	Reason  string `json:"reason,omitempty"` // why it is not

	ConfigurationVersion int64  `json:"configuration_version"`
	Tenants              int    `json:"tenants"` // whose keys are accepted; 0 also where none are asked for
	Keys                 int    `json:"keys"`
	ProofAgeMS           *int64 `json:"proof_age_ms,omitempty"` // of the configuration; absent: there is none
	AcceptsKeys          bool   `json:"accepts_keys"`

	HoldsAuthority bool          `json:"holds_authority"`
	Usage          *usageStatus  `json:"usage,omitempty"`   // what this host has reported last
	Engines        []orderStatus `json:"engines,omitempty"` // ordered last, as the holder knows
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

// status puts together what the host knows of itself.
func (g *Gateway) status() (s gatewayStatus) {
	s = gatewayStatus{
		HostID: g.cfg.HostID, Version: g.cfg.Version, ConfigurationVersion: g.classifier.Revision(),
		AcceptsKeys: g.attester.IsCurrent(), HoldsAuthority: g.HoldsAuthority(),
	}
	s.Ready, s.Reason = g.Ready()
	if tenants := g.classifier.Tenants(); tenants != nil {
		s.Tenants, s.Keys = tenants.Tenants(), tenants.Keys()
	}
	if age, ok := g.attester.Age(); ok {
		ms := age.Milliseconds()
		s.ProofAgeMS = &ms
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
