package driver

import "time"

// Process is one process of an endpoint. A restarted endpoint is another process.
type Process struct {
	EndpointID  string
	Incarnation string
}

// Process returns the process that the target identifies.
func (t Target) Process() Process {
	return Process{EndpointID: t.EndpointID, Incarnation: t.Incarnation}
}

// Signal is a kind of report that an endpoint makes on itself in its answers.
type Signal string

// Kinds of signals.
const (
	SignalLoad    Signal = "load"
	SignalLimit   Signal = "limit"
	SignalLeaving Signal = "leaving"
	SignalBackoff Signal = "rest"
)

// Signals are an endpoint's reports on itself in the header of an answer.
type Signals struct {
	Load      *EndpointLoad // nil: not reported
	Limit     Limit
	IsLeaving bool
	// Backoff is for how long the endpoint wants no requests from this host; 0: not
	// reported.
	Backoff time.Duration
	// Malformed lists the signals that were present and could not be parsed. They change
	// no state.
	Malformed []Signal
}

// Limit bounds the requests per second that an endpoint accepts from all hosts together.
// The zero value is no bound.
type Limit struct {
	PerSecond float64
	IsSet     bool
}

// EndpointLoad is the load that an endpoint reported with an answer.
type EndpointLoad struct {
	Running int
	Waiting int
	Slots   int
	// SlowdownPercent is the current duration of work at the endpoint, in percent of the
	// usual one; 0: not reported.
	SlowdownPercent int
}

// Observation holds what one answer reported about an endpoint's process.
type Observation struct {
	Process Process
	Signals Signals
	// Took is the time from sending the request to the answer's header. The endpoint made
	// its report within it.
	Took time.Duration
	// IsControl is true for the answer to a call that this host makes for itself and that
	// runs no request. A state that such an answer does not report may still hold.
	IsControl bool
}
