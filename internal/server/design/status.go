package design

//nolint:revive,staticcheck // goa's design language is written with dot imports
import . "goa.design/goa/v3/dsl"

var _ = Service("health", func() {
	Description("Reports to the load balancer of the platform whether the host is alive and ready for requests.")
	HTTP(func() { Path("/") })

	Method("alive", func() {
		Description("Succeeds while the process is running.")
		Result(AliveResult)
		HTTP(func() { GET("/healthz") })
	})
	Method("ready", func() {
		Description("Reports whether the host accepts new requests.")
		Result(ReadyResult)
		Error(errRefused, NotReady, "The host accepts no new requests.")
		HTTP(func() {
			GET("/readyz")
			Response(StatusOK)
			Response(errRefused, StatusServiceUnavailable)
		})
	})
})

// AliveResult is the result of alive.
var AliveResult = Type("AliveResult", func() {
	Attribute("alive", Boolean, "Always true.")
	Required("alive")
})

// ReadyResult is the result of ready.
var ReadyResult = Type("ReadyResult", func() {
	Attribute("ready", Boolean, "Whether the host accepts new requests.")
	Required("ready")
})

// NotReady reports why the host accepts no new requests.
var NotReady = Type("NotReady", func() {
	ErrorName("name", String, "Status of the failure.")
	Attribute("ready", Boolean, "Always false.")
	Attribute("reason", String, "Machine-readable reason: no_configuration, no_host_list or draining.")
	Required("name", "ready", "reason")
})

// StatusResult is the state of a host and its view of the rest of the fleet.
var StatusResult = Type("StatusResult", func() {
	Attribute("host_id", String, "Identifier of the host.")
	Attribute("zone", String, "Availability zone of the host.")
	Attribute("incarnation", String, "Identifier of the process; differs after each restart.")
	Attribute("version", String, "Version of the program.")
	Attribute("ready", Boolean, "Whether the host accepts new requests.")
	Attribute("reason", String, "Reason why the host is not ready; empty if it is.")
	Attribute("draining", Boolean, "Whether the host is shutting down.")
	Attribute("config_revision", Int64, "Configuration revision in force.")
	Attribute("config_age_ms", Int64, "Milliseconds since the configuration was last confirmed to be current.")
	Attribute("peers", ArrayOf(PeerStatus), "The other entry hosts.")
	Attribute("endpoints", ArrayOf(EndpointStatus), "The endpoints.")
	Attribute("authorities", ArrayOf(AuthorityStatus), "The zone authorities.")
	Required("host_id", "zone", "incarnation", "version", "ready", "reason", "draining",
		"config_revision", "config_age_ms", "peers", "endpoints", "authorities")
})

// PeerStatus is a host's view of another entry host.
var PeerStatus = Type("PeerStatus", func() {
	Attribute("host_id", String, "Identifier of the host.")
	Attribute("zone", String, "Availability zone of the host.")
	Attribute("reachable", Boolean, "Whether the peer is reachable from this host.")
	Attribute("draining", Boolean, "Whether the peer is shutting down.")
	Attribute("config_revision", Int64, "Configuration revision in force on the peer, as last reported.")
	Required("host_id", "zone", "reachable", "draining", "config_revision")
})

// EndpointStatus is a host's view of an endpoint.
var EndpointStatus = Type("EndpointStatus", func() {
	Attribute("endpoint_id", String, "Identifier of the endpoint.")
	Attribute("zone", String, "Availability zone of the endpoint.")
	Attribute("application", String, "Application that the endpoint serves.")
	Attribute("role", String, "Part of the work that the endpoint does; empty for a plain service.")
	Attribute("state", String, "State of the endpoint in the view of this host: live, leaving or suspect.")
	Attribute("in_flight", Int, "Number of requests of this host in flight at the endpoint.")
	Attribute("prefill_rate", Float64, "Estimated prompt tokens a second.")
	Attribute("decode_rate", Float64, "Estimated output tokens a second.")
	Required("endpoint_id", "zone", "application", "role", "state", "in_flight", "prefill_rate", "decode_rate")
})

// AuthorityStatus is a host's view of the authority of a zone.
var AuthorityStatus = Type("AuthorityStatus", func() {
	Attribute("zone", String, "Availability zone.")
	Attribute("holder", String, "Host that holds the authority; empty if none does.")
	Attribute("epoch", Int64, "Fencing epoch of the authority.")
	Attribute("open_orders", Int, "Number of orders whose result is not known yet.")
	Attribute("orders_by_state", MapOf(String, Int), "Number of open orders by state: sent, reissued, inherited or settled.")
	Attribute("known", Boolean, "Whether the record of the zone could be read now; if not, the values are those last read.")
	Attribute("age_ms", Int64, "Milliseconds since the record was last read.")
	Required("zone", "holder", "epoch", "open_orders", "orders_by_state", "known", "age_ms")
})
