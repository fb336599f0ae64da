package dispatcher

import (
	"context"
	"errors"
	"sync"

	"github.com/endivemast/endivemast/internal/scheduler"
)

// This file counts the runs of requests that are passed to peers.

// peerRuns counts the runs of a request that one peer may make. It is safe for concurrent use.
type peerRuns struct {
	limit int

	mu      sync.Mutex
	allowed int
	isEnded bool
}

func newPeerRuns(fr *forwardedRequest) *peerRuns {
	limit := 1
	if fr.request.Class.Repeatable {
		limit = max(fr.request.Class.MaxAttempts-fr.runs, 1)
	}
	return &peerRuns{limit: limit, allowed: 1}
}

// allow counts another run unless the limit is reached or the peer's attempt has ended. It returns
// the number of allowed runs.
func (r *peerRuns) allow() (allowed int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isEnded || r.allowed >= r.limit {
		return r.allowed, false
	}
	r.allowed++
	return r.allowed, true
}

// end allows no further run, and returns how many the peer may have made.
func (r *peerRuns) end() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isEnded = true
	return r.allowed
}

// countPeerRuns counts what the peer has done with the request. allowed is how often it may have run
// if the peer has not said.
func (fr *forwardedRequest) countPeerRuns(answer *PeerAnswer, err error, allowed int) {
	var failed *PeerError
	outcome, isKnown := PeerOutcome{}, false
	if answer.Outcome != nil {
		outcome, isKnown = answer.Outcome()
	}
	if errors.As(err, &failed) {
		outcome, isKnown = failed.Outcome, true
	}
	switch {
	case isKnown:
		fr.sends += outcome.Sends
		fr.runs = max(fr.runs, outcome.Runs)
		fr.basis = scheduler.Basis{EndpointID: outcome.EndpointID}
	case mayHaveRun(err):
		fr.sends += allowed
		fr.runs += allowed
	}
}

// isRunAllowed reports whether the host that passed this request on, if there is one, allows another
// run. It has to know of the run before it starts: it may lose this host, and repeat the request.
func (fr *forwardedRequest) isRunAllowed(ctx context.Context) bool {
	origin := fr.request.Origin
	if origin == nil || origin.RequestRun == nil || fr.runs-origin.Runs < fr.allowedRuns {
		return true
	}
	err := origin.RequestRun(ctx)
	fr.forwarder.requestLog.logRunRequest(fr, err)
	if err != nil {
		return false
	}
	fr.allowedRuns++
	return true
}
