package design

//nolint:revive,staticcheck // goa's design language is written with dot imports
import . "goa.design/goa/v3/dsl"

var _ = Service("health", func() {
	Description("Tells the platform's balancer whether the host lives and takes requests.")
	HTTP(func() { Path("/") })

	Method("alive", func() {
		Description("Answers while the process lives.")
		Result(AliveResult)
		HTTP(func() { GET("/healthz") })
	})
	Method("ready", func() {
		Description("Answers whether the host takes new requests.")
		Result(ReadyResult)
		Error(errRefused, NotReady, "The host takes no new requests.")
		HTTP(func() {
			GET("/readyz")
			Response(StatusOK)
			Response(errRefused, StatusServiceUnavailable)
		})
	})
})

// AliveResult is the answer to alive.
var AliveResult = Type("AliveResult", func() {
	Attribute("alive", Boolean, "Always true.")
	Required("alive")
})

// ReadyResult is the answer to ready.
var ReadyResult = Type("ReadyResult", func() {
	Attribute("ready", Boolean, "Whether the host takes new requests.")
	Required("ready")
})

// NotReady says why the host takes no new requests.
var NotReady = Type("NotReady", func() {
	ErrorName("name", String, "Status of the failure.")
	Attribute("ready", Boolean, "Always false.")
	Attribute("reason", String, "Snake case: no_configuration, no_host_list or draining.")
	Required("name", "ready", "reason")
})

// StatusResult is what a host knows.
var StatusResult = Type("StatusResult", func() {
	Attribute("host_id", String, "Identifier of the host.")
	Attribute("zone", String, "Availability zone of the host.")
	Attribute("incarnation", String, "Identifier of the process; differs after each restart.")
	Attribute("version", String, "Version of the program.")
	Attribute("ready", Boolean, "Whether the host takes new requests.")
	Attribute("reason", String, "Why it does not; empty when ready.")
	Attribute("draining", Boolean, "Whether the host is shutting down.")
	Attribute("config_revision", Int64, "Configuration revision in force.")
	Attribute("config_age_ms", Int64, "Milliseconds since the configuration was last confirmed to be the newest.")
	Attribute("peers", ArrayOf(PeerStatus), "The other entry hosts.")
	Attribute("endpoints", ArrayOf(EndpointStatus), "The endpoints.")
	Attribute("authorities", ArrayOf(AuthorityStatus), "The authorities of the zones.")
	Required("host_id", "zone", "incarnation", "version", "ready", "reason", "draining",
		"config_revision", "config_age_ms", "peers", "endpoints", "authorities")
})

// PeerStatus is what a host knows of another.
var PeerStatus = Type("PeerStatus", func() {
	Attribute("host_id", String, "Identifier of the host.")
	Attribute("zone", String, "Availability zone of the host.")
	Attribute("reachable", Boolean, "Whether it answers this host.")
	Attribute("draining", Boolean, "Whether it is shutting down.")
	Attribute("config_revision", Int64, "Configuration revision in force there, as last heard.")
	Required("host_id", "zone", "reachable", "draining", "config_revision")
})

// EndpointStatus is what a host knows of an endpoint.
var EndpointStatus = Type("EndpointStatus", func() {
	Attribute("endpoint_id", String, "Identifier of the endpoint.")
	Attribute("zone", String, "Availability zone of the endpoint.")
	Attribute("application", String, "Application that it serves.")
	Attribute("role", String, "Share of the work that it takes; empty for a plain service.")
	Attribute("state", String, "What the host takes it for: live, leaving or suspect.")
	Attribute("in_flight", Int, "Requests of this host in flight there.")
	Attribute("prefill_rate", Float64, "Estimated prompt tokens a second.")
	Attribute("decode_rate", Float64, "Estimated output tokens a second.")
	Required("endpoint_id", "zone", "application", "role", "state", "in_flight", "prefill_rate", "decode_rate")
})

// AuthorityStatus is what a host knows of a zone's authority.
var AuthorityStatus = Type("AuthorityStatus", func() {
	Attribute("zone", String, "Availability zone.")
	Attribute("holder", String, "Host that holds the authority; empty when nobody does.")
	Attribute("epoch", Int64, "Fencing number.")
	Attribute("open_orders", Int, "Orders whose end is not known yet.")
	Attribute("orders_by_state", MapOf(String, Int), "Open orders: sent, reissued, inherited or settled.")
	Attribute("known", Boolean, "Whether the zone's record could be read; the rest is as last read.")
	Attribute("age_ms", Int64, "Milliseconds since the record was read.")
	Required("zone", "holder", "epoch", "open_orders", "orders_by_state", "known", "age_ms")
})
