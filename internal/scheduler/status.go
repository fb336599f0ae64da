package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/scheduler/estimator"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// EndpointStatus is this host's view of one endpoint.
type EndpointStatus struct {
	EndpointID  string            `json:"endpoint_id"`
	Incarnation string            `json:"incarnation"`
	Address     string            `json:"address"`
	Zone        string            `json:"zone"`
	Application string            `json:"application"`
	Kind        provider.HostKind `json:"kind"`
	Role        driver.Role       `json:"role"`
	Leaving     bool              `json:"leaving"`   // as stated by the platform, itself or a peer
	Draining    bool              `json:"draining"`  // as stated by its report
	BreakerOpen bool              `json:"set_aside"` // the circuit breaker is open after failures
	Limit       int               `json:"limit"`     // concurrent requests
	Slowdown    float64           `json:"speed"`     // its times relative to its application's model; above 1 is slower
	Machine     float64           `json:"machine"`   // current times on its machine relative to the usual ones; 1 if not known
	Own         Load              `json:"own"`
	Total       Load              `json:"total"` // including peers' load and corrections by reports
	ReportedAt  time.Time         `json:"reported_at"`
	PrefillRate float64           `json:"prefill_rate"` // estimated prompt tokens per second; 0 for a plain service
	DecodeRate  float64           `json:"decode_rate"`  // estimated output tokens per second at its limit
}

// Endpoints returns all endpoints, ordered by ID.
func (s *Scheduler) Endpoints() []EndpointStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := make([]EndpointStatus, 0, len(s.table.Endpoints))
	for _, endpoint := range s.table.Endpoints {
		status := statusOf(endpoint)
		if endpoint.Kind == provider.HostEngine {
			status.PrefillRate, status.DecodeRate = estimatedRates(&s.table.Application(endpoint.Application).Model, endpoint)
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b EndpointStatus) int {
		return strings.Compare(a.EndpointID, b.EndpointID)
	})
	return statuses
}

func statusOf(endpoint *tracker.Endpoint) EndpointStatus {
	return EndpointStatus{
		EndpointID:  endpoint.Target.EndpointID,
		Incarnation: endpoint.Target.Incarnation,
		Address:     endpoint.Target.Address,
		Zone:        endpoint.Zone,
		Application: endpoint.Application,
		Kind:        endpoint.Kind,
		Role:        endpoint.Role,
		Leaving:     endpoint.Leaving || !endpoint.MarkedLeavingAt.IsZero(),
		Draining:    endpoint.Draining,
		BreakerOpen: endpoint.Breaker.IsOpen(),
		Limit:       endpoint.Limit,
		Slowdown:    endpoint.Slowdown,
		Machine:     endpoint.MachineFactor(),
		Own:         endpoint.Own,
		Total:       endpoint.Total(),
		ReportedAt:  endpoint.ReportedAt,
	}
}

// estimatedRates returns an engine's estimated throughput in prompt and output tokens per
// second: its application's model, corrected by the engine's current slowdown.
func estimatedRates(model *estimator.Model, endpoint *tracker.Endpoint) (prefill, decode float64) {
	if perToken := model.PrefillToken() * endpoint.CurrentSlowdown(); perToken > 0 {
		prefill = 1 / perToken
	}
	batch := max(endpoint.Limit, 1)
	if gap := model.TokenInterval(batch).Seconds() * endpoint.CurrentSlowdown(); gap > 0 {
		decode = float64(batch) / gap
	}
	return prefill, decode
}
