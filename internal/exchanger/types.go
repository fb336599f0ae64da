package exchanger

import (
	"time"

	"google.golang.org/grpc"
)

// Peer is another entry host.
type Peer struct {
	HostID  string
	Zone    string
	Address string // IP and port of its peer protocol
	// ProcessorShare is the number of cores of the host. Hosts with more cores do more of the
	// work that a few do for all. 0: unknown.
	ProcessorShare float64
}

// Pool provides the other entry hosts and connections to them. Packages that call peers
// (configurer, claimer, leaser) register their own gRPC service on the exchanger's server and
// call it through the Pool.
type Pool interface {
	// Peers returns the other entry hosts, own zone first.
	Peers() []Peer
	// Conn returns the connection to a peer. It does not wait until the peer is reachable;
	// calls on it fail or wait according to gRPC's options.
	Conn(hostID string) (grpc.ClientConnInterface, error)
}

// Load is the work in flight at one endpoint, as counted by one host.
type Load struct {
	Requests      int
	PrefillTokens int // prompt tokens not yet prefilled
	DecodeTokens  int // expected output tokens not yet generated
}

// CacheUpdate states which shared parts of prompts an engine's process has cached. Without an
// EndpointID it states which parts of prompts are shared.
type CacheUpdate struct {
	EndpointID  string
	Incarnation string
	EventNumber int64 // the engine's event number up to which the update is complete
	IsSnapshot  bool  // nothing else was cached at that number
	Parts       []CachePart
}

// CachePart is a part of prompts.
type CachePart struct {
	ID     string
	Tokens int // cached; 0: evicted
}

// Scope selects whose updates a peer is sent. Each scope includes the ones before it.
type Scope int

// Scopes.
const (
	ScopeOwn  Scope = iota // of this host
	ScopeZone              // of the hosts of this availability zone
	ScopeAll               // of all hosts
)

// Caches gives the Exchanger access to what this host knows of the engines' caches.
type Caches interface {
	// Updates returns the updates after a position in order, and the new position.
	// For position 0, or one that is too old, it returns the full state.
	Updates(after uint64, scope Scope) (updates []CacheUpdate, position uint64)
	Merge(updates []CacheUpdate, isOwnZone bool)
}

// Attestations prove that this host's configuration is the newest one; see package attester.
type Attestations interface {
	// Statement returns a version and how long ago it was proven to be the newest one. ok is
	// false without a proof.
	Attestation() (version int64, age time.Duration, ok bool)
	// Attest records that a version was the newest one at a time.
	AddProof(version int64, asOf time.Time)
}

// ApplicationReach is how many endpoints of an application a host reaches.
type ApplicationReach struct {
	Application string
	Reached     int
	Listed      int
	IsShort     bool // the host has recently refused requests for lack of capacity
}

// Reach gives the Exchanger access to what this host reaches and serves.
type Reach interface {
	// ReducedReach returns the applications of which this host does not reach all endpoints, or
	// is short of capacity, ordered by name.
	ReducedReach() []ApplicationReach
	// ActiveRequests returns how many requests this host is serving.
	ActiveRequests() int64
}

// Refusal is a process that has refused connections of one or several hosts.
type Refusal struct {
	EndpointID  string
	Incarnation string
	Hosts       int
	Age         time.Duration // since the latest refused connection
}

// Refusals gives the Exchanger access to the processes that refuse connections.
type Refusals interface {
	// Refusals returns the processes that have recently refused connections of this host,
	// ordered by endpoint id.
	Refusals() []Refusal
	// ApplyRefusals replaces the refusals of a source, which is a peer or a sum over several hosts.
	ApplyRefusals(source string, refusals []Refusal)
}

// UsageUpdate holds the counts of requests that started to run through one process of an entry
// host. Counts are totals, so repeated and reordered updates are harmless.
type UsageUpdate struct {
	HostID      string
	Incarnation string
	Counts      []UsageCount
}

// UsageCount is the number of requests of one tenant in one window.
type UsageCount struct {
	Window   int64
	Tenant   string
	Requests int64
}

// Usage gives the Exchanger access to the usage counts.
type Usage interface {
	// Updates returns the updates after a position in order, and the new position.
	// For position 0, or one that is too old, it returns the full state.
	Updates(after uint64, scope Scope) (updates []UsageUpdate, position uint64)
	// WantsAllCounts reports whether this host reports usage, so that hubs send it all counts.
	WantsAllCounts() bool
	// Merge merges a peer's updates.
	Merge(updates []UsageUpdate, isOwnZone bool)
}

// RequestFingerprint identifies a request that a caller may repeat under another id, or a part of
// prompts. Hosts look it up by its key, which is cheap, before they compute the fingerprint.
type RequestFingerprint struct {
	Fingerprint [16]byte
	Key         uint64
	// Part is the position of a part in the prompts, from 1; 0: a whole request.
	Part int
}

// CrashUpdate states one of three things: which requests were running at an endpoint's process
// that has exited, which requests do not cause such exits, or which requests are in
// quarantine.
type CrashUpdate struct {
	EndpointID  string // empty if Runs is
	Incarnation string
	At          time.Time // when the process exited, or when the requests kept running
	Runs        []CrashRun
	Cleared     [][16]byte
	Quarantines []Quarantine
}

// CrashRun is a run that was interrupted by the exit of a process.
type CrashRun struct {
	RequestFingerprint
	SinceSend time.Duration // from its send until it was interrupted
}

// Quarantine is a request that is not sent to endpoints.
type Quarantine struct {
	RequestFingerprint
	Until time.Time     // when it may be tried again
	Pause time.Duration // length of the latest quarantine
}

// Crashes gives the Exchanger access to what this host knows of requests that crash endpoints.
type Crashes interface {
	// Updates returns updates as in Caches.
	Updates(after uint64, scope Scope) (updates []CrashUpdate, position uint64)
	Merge(updates []CrashUpdate, isOwnZone bool)
	// Snapshot returns all that is known, quarantines first. It is not complete at a host that has
	// just started and has received no peer's yet.
	Snapshot() (updates []CrashUpdate, isComplete bool)
}
