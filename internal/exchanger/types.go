package exchanger

import "google.golang.org/grpc"

// Peer is another entry host.
type Peer struct {
	HostID  string
	Zone    string
	Address string // IP and port of its peer protocol
	// ProcessorShare is how many cores the host has; hosts with more do more of
	// what a few do for all. 0: not told.
	ProcessorShare float64
}

// Pool gives the other entry hosts and connections to them. The parts that
// speak to peers (configurer, claimer, leaser) register a gRPC service of
// their own on the exchanger's server and call it through the Pool.
type Pool interface {
	// Peers returns the other entry hosts, this one left out, own zone first.
	Peers() []Peer
	// Conn returns the connection to a peer. It does not wait for the peer to
	// be reached; calls on it fail or wait as gRPC's options say.
	Conn(hostID string) (grpc.ClientConnInterface, error)
}

// Load is work in flight at one endpoint, as one host counts it.
type Load struct {
	Requests      int
	PrefillTokens int // prompt tokens not yet prefilled
	DecodeTokens  int // expected output tokens not yet generated
}
