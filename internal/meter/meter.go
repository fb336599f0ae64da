// Package meter keeps the metrics of an entry host: duration histograms by tenant and
// class, counters of outcomes, and gauges of the host's state.
//
// # Usage
//
//	m := meter.New(meter.Config{TopTenants: 100})
//	m.ObserveFirstToken("vitosha", "letters", 210*time.Millisecond)
//	m.CountOutcome("vitosha", "letters", meter.OutcomeComplete, "")
//	m.GaugeInFlight(func() float64 { return float64(table.Len()) })
//	m.WritePrometheus(w)
//
// The number of series is bounded for any number of tenants and classes: the busiest
// tenants have their own series, and all others share those of the tenant "other".
// WritePrometheus determines the busiest tenants again, so the package needs no goroutine.
// The series of a tenant that no longer belongs to them end.
//
// Histograms are written as VictoriaMetrics' vmrange buckets, in seconds.
package meter

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Defaults of Config.
const (
	DefaultTopTenants   = 100
	DefaultMaxSeries    = 512
	DefaultRankInterval = time.Minute
)

// Other is the label of tenants and classes without their own series, and of unknown
// outcomes and reasons.
const Other = "other"

// OutcomeComplete is the outcome of a request with a complete answer. The other outcomes
// are those of dispatcher.FailureError.
const OutcomeComplete = "whole"

// maxReasons bounds the pairs of outcome and reason that have their own failure counter.
const maxReasons = 64

// Config are the settings of a Meter. A zero value takes its default.
type Config struct {
	TopTenants   int           // tenants with their own series
	MaxSeries    int           // pairs of tenant and class with their own series
	RankInterval time.Duration // shortest time between two rankings of the tenants
	Now          func() time.Time
}

// Meter keeps metrics. All methods are safe for concurrent use.
type Meter struct {
	cfg    Config
	set    *metrics.Set
	ranker *ranker

	mu       sync.RWMutex
	series   map[seriesKey]*series
	failures map[failureKey]*metrics.Counter
	// demandSeries are the names of the series that SetDemand has created.
	demandSeries map[string]bool
}

// failureKey identifies a counter of failures.
type failureKey struct {
	outcome string
	reason  string
}

// New creates a Meter.
func New(cfg Config) *Meter {
	setDefault(&cfg.TopTenants, DefaultTopTenants)
	setDefault(&cfg.MaxSeries, DefaultMaxSeries)
	setDefault(&cfg.RankInterval, DefaultRankInterval)
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Meter{
		cfg:      cfg,
		set:      metrics.NewSet(),
		ranker:   newRanker(cfg.TopTenants, cfg.Now()),
		series:   make(map[seriesKey]*series),
		failures: make(map[failureKey]*metrics.Counter),

		demandSeries: make(map[string]bool),
	}
}

// setDefault replaces a zero value.
func setDefault[T comparable](value *T, to T) {
	var zero T
	if *value == zero {
		*value = to
	}
}

// ObserveFirstToken records the time from arrival to the first token.
func (m *Meter) ObserveFirstToken(tenant, class string, d time.Duration) {
	m.find(tenant, class).firstToken.Update(d.Seconds())
}

// ObserveBetweenTokens records the time between two tokens.
func (m *Meter) ObserveBetweenTokens(tenant, class string, d time.Duration) {
	m.find(tenant, class).betweenTokens.Update(d.Seconds())
}

// ObserveCompletion records the time from arrival to the complete answer.
func (m *Meter) ObserveCompletion(tenant, class string, d time.Duration) {
	m.find(tenant, class).completion.Update(d.Seconds())
}

// ObserveQueue records the time that a request waited for an endpoint.
func (m *Meter) ObserveQueue(tenant, class string, d time.Duration) {
	m.find(tenant, class).queue.Update(d.Seconds())
}

// CountOutcome counts a finished request: OutcomeComplete, or the outcome and reason of a
// failure. Tenants are ranked by this count.
func (m *Meter) CountOutcome(tenant, class, outcome, reason string) {
	m.ranker.count(tenant)
	m.find(tenant, class).outcome(outcome).Inc()
	if outcome != OutcomeComplete {
		m.failure(outcome, reason).Inc()
	}
}

// CountRetry counts an attempt after the first of a request.
func (m *Meter) CountRetry(class string) {
	m.set.GetOrCreateCounter(m.classMetric("endivemast_retries_total", class)).Inc()
}

// CountPeerForward counts a request passed to a peer, or received from one.
func (m *Meter) CountPeerForward(isReceived bool, outcome string) {
	direction := "passed"
	if isReceived {
		direction = "received"
	}
	m.set.GetOrCreateCounter(`endivemast_peer_forwards_total{direction="` + direction + `",outcome="` + outcome + `"}`).Inc()
}

// CountSignal counts an answer in which an endpoint reported on itself.
func (m *Meter) CountSignal(signal string) {
	m.set.GetOrCreateCounter(`endivemast_endpoint_signals_total{signal="` + signal + `"}`).Inc()
}

// CountSlowdown counts a slowdown that an endpoint reported.
func (m *Meter) CountSlowdown(outcome string) {
	m.set.GetOrCreateCounter(`endivemast_endpoint_slowdowns_total{outcome="` + outcome + `"}`).Inc()
}

// CountTenantCharge counts a request charged to its tenant's limit.
func (m *Meter) CountTenantCharge(outcome string) {
	m.set.GetOrCreateCounter(`endivemast_tenant_charges_total{outcome="` + outcome + `"}`).Inc()
}

// CountSlotRequest counts a request for slots of an endpoint that has a limit.
func (m *Meter) CountSlotRequest(outcome string) {
	m.set.GetOrCreateCounter(`endivemast_slot_asks_total{outcome="` + outcome + `"}`).Inc()
}

// CountStreamRecord counts an event of a record of a stream's origin, or a lookup.
func (m *Meter) CountStreamRecord(event string) {
	m.set.GetOrCreateCounter(`endivemast_stream_records_total{event="` + event + `"}`).Inc()
}

// CountShedConnections counts new connections of callers that were closed unread.
func (m *Meter) CountShedConnections(count int) {
	m.set.GetOrCreateCounter("endivemast_connections_shed_total").Add(count)
}

// GaugeStreamRecords shows how many streams' origins the host keeps for all hosts.
func (m *Meter) GaugeStreamRecords(value func() float64) {
	m.set.GetOrCreateGauge("endivemast_stream_records", value)
}

// CountMalformedSignal counts an answer with a signal that could not be parsed.
func (m *Meter) CountMalformedSignal(signal string) {
	m.set.GetOrCreateCounter(`endivemast_endpoint_signals_malformed_total{signal="` + signal + `"}`).Inc()
}

// CountAuthentication counts a request with an API key, or one that requires a key.
func (m *Meter) CountAuthentication(outcome string) {
	m.set.GetOrCreateCounter(`endivemast_authentications_total{outcome="` + outcome + `"}`).Inc()
}

// GaugeAttestationAge shows the age of the proof that the configuration in force is the
// newest one.
func (m *Meter) GaugeAttestationAge(age func() time.Duration) {
	m.set.GetOrCreateGauge("endivemast_configuration_proof_age_seconds", func() float64 { return age().Seconds() })
}

// CountDutyCall counts a call that this host has made as the holder of a duty: the report
// of usage or the order of engines.
func (m *Meter) CountDutyCall(duty, outcome string) {
	m.set.GetOrCreateCounter(`endivemast_duty_calls_total{duty="` + duty + `",outcome="` + outcome + `"}`).Inc()
}

// CountExceededLimit counts a response that was ended because it exceeded a limit, by the client
// that received it. Both labels are constants of package responselimiter.
func (m *Meter) CountExceededLimit(client, limit string) {
	m.set.GetOrCreateCounter(`endivemast_exceeded_limits_total{client="` + client + `",limit="` + limit + `"}`).Inc()
}

// CountStreamEnd counts a stream that ended with its connection, by whether its end was confirmed.
func (m *Meter) CountStreamEnd(outcome string) {
	m.set.GetOrCreateCounter(`endivemast_stream_ends_total{outcome="` + outcome + `"}`).Inc()
}

// CountClientRefusal counts a client that was refused for lack of memory or connections, or for
// the size of its header.
func (m *Meter) CountClientRefusal(reason string) {
	m.set.GetOrCreateCounter(metricName("endivemast_client_refusals_total", label{"reason", reason})).Inc()
}

// GaugeClients shows how much of a resource clients use, and its limit.
func (m *Meter) GaugeClients(resource string, value func() (used, limit float64)) {
	m.set.GetOrCreateGauge(metricName("endivemast_client_use", label{"resource", resource}), func() float64 {
		used, _ := value()
		return used
	})
	m.set.GetOrCreateGauge(metricName("endivemast_client_limit", label{"resource", resource}), func() float64 {
		_, limit := value()
		return limit
	})
}

// CountHedge counts a hedge: an attempt that was started while an earlier one was slow.
func (m *Meter) CountHedge(class string) {
	m.set.GetOrCreateCounter(m.classMetric("endivemast_hedges_total", class)).Inc()
}

// CountResume counts suspensions: the machine was suspended or the process frozen.
func (m *Meter) CountResume() { m.set.GetOrCreateCounter("endivemast_wakes_total").Inc() }

// CountRoleChange counts an order that changes an engine's role. Zones and applications
// are taken from the configuration, so there are few label values.
func (m *Meter) CountRoleChange(zone, application string) {
	name := metricName("endivemast_role_changes_total", label{"zone", zone}, label{"application", application})
	m.set.GetOrCreateCounter(name).Inc()
}

// CountPlannedRoleChange counts a role change that was planned, by its reason.
func (m *Meter) CountPlannedRoleChange(reason string) {
	m.set.GetOrCreateCounter(metricName("endivemast_role_changes_planned_total", label{"reason", reason})).Inc()
}

// GaugeLeaseEpoch shows the fencing number of a zone's authority.
func (m *Meter) GaugeLeaseEpoch(zone string, value func() float64) {
	m.set.GetOrCreateGauge(metricName("endivemast_lease_epoch", label{"zone", zone}), value)
}

// GaugeConfigRevision shows the configuration revision in force.
func (m *Meter) GaugeConfigRevision(value func() float64) {
	m.set.GetOrCreateGauge("endivemast_config_revision", value)
}

// GaugeConfigAge shows the time since the configuration was last confirmed.
func (m *Meter) GaugeConfigAge(value func() time.Duration) {
	m.set.GetOrCreateGauge("endivemast_config_age_seconds", func() float64 { return value().Seconds() })
}

// GaugeConfigDivergences shows how often a different history of the same configuration
// revision was seen. It is 0 unless the store was restored.
func (m *Meter) GaugeConfigDivergences(value func() float64) {
	m.set.GetOrCreateGauge("endivemast_config_divergences", value)
}

// GaugeOrders shows how many orders are in a state.
func (m *Meter) GaugeOrders(state string, value func() float64) {
	m.set.GetOrCreateGauge(metricName("endivemast_orders", label{"state", state}), value)
}

// GaugeStoreUnreachable shows for how long the platform's store has not answered this host.
func (m *Meter) GaugeStoreUnreachable(value func() time.Duration) {
	m.set.GetOrCreateGauge("endivemast_store_away_seconds", func() float64 { return value().Seconds() })
}

// GaugeStoreEra shows the era of the store's state that this host uses; 0: the store
// states none. It rises each time the store comes back from an older copy.
func (m *Meter) GaugeStoreEra(value func() int64) {
	m.set.GetOrCreateGauge("endivemast_store_era", func() float64 { return float64(value()) })
}

// GaugePeers shows how many other entry hosts are in a state.
func (m *Meter) GaugePeers(state string, value func() float64) {
	m.set.GetOrCreateGauge(metricName("endivemast_peers", label{"state", state}), value)
}

// GaugeEndpoints shows how many endpoints are in a state, as this host knows it.
func (m *Meter) GaugeEndpoints(state string, value func() float64) {
	m.set.GetOrCreateGauge(metricName("endivemast_endpoints", label{"state", state}), value)
}

// GaugeReady shows 1 while the host accepts new requests.
func (m *Meter) GaugeReady(value func() bool) {
	m.set.GetOrCreateGauge("endivemast_ready", func() float64 { return boolToFloat(value()) })
}

// GaugeLeaseHeld shows 1 while this host holds a zone's authority.
func (m *Meter) GaugeLeaseHeld(zone string, value func() bool) {
	m.set.GetOrCreateGauge(metricName("endivemast_lease_held", label{"zone", zone}), func() float64 { return boolToFloat(value()) })
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// GaugeRequestsQuarantined shows how many requests are not sent to endpoints any more,
// since they crash the endpoints that run them.
func (m *Meter) GaugeRequestsQuarantined(value func() float64) {
	m.set.GetOrCreateGauge("endivemast_requests_quarantined", value)
}

// GaugeInFlight shows how many requests of this host are in flight.
func (m *Meter) GaugeInFlight(value func() float64) {
	m.set.GetOrCreateGauge("endivemast_requests_in_flight", value)
}

// WritePrometheus writes all metrics, and those of the process, in Prometheus' text
// format.
func (m *Meter) WritePrometheus(w io.Writer) {
	m.rank()
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// failure returns the counter of a failure.
func (m *Meter) failure(outcome, reason string) *metrics.Counter {
	key := failureKey{outcome: outcomeLabel(outcome), reason: labelValue(reason)}
	m.mu.RLock()
	counter, ok := m.failures[key]
	m.mu.RUnlock()
	if ok {
		return counter
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.failures) >= maxReasons {
		key.reason = Other
	}
	if counter, ok := m.failures[key]; ok {
		return counter
	}
	counter = m.set.GetOrCreateCounter(metricName("endivemast_failures_total",
		label{"outcome", key.outcome}, label{"reason", key.reason}))
	m.failures[key] = counter
	return counter
}

// classMetric returns the name of a metric of a class over all tenants. Only classes that
// have series get a name, which bounds the number of names.
func (m *Meter) classMetric(name, class string) string {
	return metricName(name, label{"class", m.find(Other, class).key.class})
}
