package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler"
)

// This file passes requests to peers that reach endpoints which this host does not reach. A peer
// runs the request as its own callers' and does not pass it on.

const (
	// maxPeerAttempts limits the peers that one request is passed to: several may be stopping at
	// a time.
	maxPeerAttempts = 4
	// maxRefusingPeers limits the peers that refuse a request for lack of endpoints: the others
	// probably lack them too.
	maxRefusingPeers = 2
)

// maxFailedConnections is how many endpoints may be tried that can't be connected to before a
// request is passed to a peer.
const maxFailedConnections = 2

// ReasonNoPath means that neither this host nor a peer that it could pass the request to reaches
// an endpoint of the application.
const ReasonNoPath = "no_path"

// noPathRetryAfter is the RetryAfter of a request for which no path was found. Another host may
// have one.
const noPathRetryAfter = 200 * time.Millisecond

// Reasons for which a peer returns a request that another peer may run.
const (
	ReasonPeerBusy           = "peer_busy"            // it runs as many requests of peers as it may
	ReasonStaleConfiguration = "stale_configuration"  // its configuration is older than this host's
	ReasonPeerDraining       = "peer_draining"        // it is shutting down
	ReasonPeerHasNoPath      = "peer_has_no_path"     // it does not reach the endpoints either
	ReasonMalformedForward   = "malformed_forwarding" // it could not decode the request
)

// isReturned reports whether a peer has returned a request for a reason that concerns only that
// peer.
func isReturned(reason string) bool {
	switch reason {
	case ReasonPeerBusy, ReasonStaleConfiguration, ReasonPeerDraining, ReasonHostStops, ReasonPeerHasNoPath, string(scheduler.ReasonDraining):
		return true
	}
	return false
}

// lacksEndpoints reports whether a scheduler has refused a request for lack of endpoints.
func lacksEndpoints(reason string) bool {
	return reason == string(scheduler.ReasonNoEndpoint) || reason == string(scheduler.ReasonOverload)
}

var (
	// ErrNoPeer means that no peer is known to reach the endpoints of an application.
	ErrNoPeer = errors.New("no peer reaches the application")
	// errPathLost cancels attempts over a network path that has broken.
	errPathLost = errors.New("network path to the endpoint was lost")
)

// Origin is what the host of a request's caller has done before it passed the request to this
// host.
type Origin struct {
	HostID       string
	Application  string
	Runs         int // endpoints that may have run the request
	Events       int // of the answer, that the caller has
	IsHeaderSent bool
	// SoftwareVersion is that at which the stream began; empty: it has not begun.
	SoftwareVersion string
	// RequestRun asks that host before each run but the first; nil: as many runs as the class
	// allows.
	RequestRun func(ctx context.Context) error
}

// PeerRequest is a request to pass to a peer.
type PeerRequest struct {
	Request     *OpaqueRequest
	Origin      Origin // without the HostID
	ResumeAfter string
	Excluded    []string // ids of peers that were tried
	// AcceptsEqual is true if the peer need not reach more endpoints than this host.
	AcceptsEqual bool
	// IsRefused is true if this host's scheduler has refused the request for lack of capacity.
	// Hosts with the same endpoints would refuse it too.
	IsRefused bool
	// AllowRun reports whether the peer may run the request once more, and counts that run. It is
	// safe for concurrent use. The first run needs no call.
	AllowRun func() bool
}

// PeerAnswer is an answer that a peer relays. Its body ends with io.EOF only if the answer is
// complete.
type PeerAnswer struct {
	HostID string
	driver.ForwardAnswer
	// SoftwareVersion is that of the endpoint that answers; empty: the peer does not state it.
	SoftwareVersion string
	// Outcome returns how the request has ended at the peer; ok is false before its end, and if
	// that is not known.
	Outcome func() (outcome PeerOutcome, ok bool)
}

// PeerOutcome is how a request has ended at a peer.
type PeerOutcome struct {
	IsComplete bool
	IsPartial  bool          // the answer was interrupted after its header
	Failure    *FailureError // set if there was no answer
	Sends      int           // to endpoints, by the peer
	Runs       int           // endpoints that may have run the request, those before included
	EndpointID string
}

// PeerError is the error of a request that a peer could not serve.
type PeerError struct {
	HostID  string
	Outcome PeerOutcome
}

// Error describes the failure at the peer.
func (e *PeerError) Error() string {
	if e.Outcome.Failure != nil {
		return "at peer " + e.HostID + ": " + e.Outcome.Failure.Error()
	}
	return "at peer " + e.HostID + ": " + ErrPartialAnswer.Error()
}

// PeerForwarder passes requests to peers. It is safe for concurrent use.
type PeerForwarder interface {
	// IsPreferred reports whether requests of an application go to a peer first, since this host
	// reaches none of its endpoints and a peer does.
	IsPreferred(application string) bool
	// Choose returns a peer that reaches enough endpoints for a request.
	Choose(request *PeerRequest) (hostID string, ok bool)
	// Forward passes a request to a peer, once. Its errors: driver.ErrNotSent,
	// driver.ErrOutcomeUnknown, *PeerError.
	Forward(ctx context.Context, hostID string, request *PeerRequest) (PeerAnswer, error)
}

// noPeers implements PeerForwarder without peers.
type noPeers struct{}

func (noPeers) IsPreferred(string) bool { return false }

func (noPeers) Choose(*PeerRequest) (hostID string, ok bool) { return "", false }

func (noPeers) Forward(context.Context, string, *PeerRequest) (answer PeerAnswer, err error) {
	return answer, driver.ErrNotSent
}

// mayUsePeer reports whether the request may be passed to a peer.
func (fr *forwardedRequest) mayUsePeer() bool {
	return fr.request.Origin == nil && len(fr.triedPeers) < maxPeerAttempts
}

// next makes the next attempt, at an endpoint or a peer.
func (fr *forwardedRequest) next(ctx context.Context) error {
	isPathBroken := fr.failedConnections >= maxFailedConnections
	if fr.mayUsePeer() && (isPathBroken || fr.forwarder.cfg.Peers.IsPreferred(fr.application)) {
		fr.recordPassedOn()
		if err := fr.attemptAtPeers(ctx, false); !errors.Is(err, ErrNoPeer) {
			return err
		}
	}
	err := fr.attempt(ctx)
	fr.forwarder.shortages.record(fr.application, err)
	if errors.Is(err, driver.ErrNotSent) && !errors.Is(err, driver.ErrNotNeeded) {
		fr.failedConnections++
	}
	if !isRefusedForLoad(err) || !fr.mayUsePeer() {
		return err
	}
	if peerErr := fr.attemptAtPeers(ctx, isRefusedForCapacity(err)); !errors.Is(peerErr, ErrNoPeer) {
		return peerErr
	}
	return err
}

// recordPassedOn records a request that only peers have seen in the demand of this host's callers.
// The peers don't count it.
func (fr *forwardedRequest) recordPassedOn() {
	if !fr.isCounted {
		fr.forwarder.cfg.RecordPassedOn(fr.work())
		fr.isCounted = true
	}
}

// isRefusedForLoad reports whether the scheduler refused a request because too few endpoints are
// available to this host.
func isRefusedForLoad(err error) bool {
	refusal := refusalOf(err)
	return refusal != nil && lacksEndpoints(string(refusal.Reason))
}

// refusalOf returns the scheduler's refusal in err, or nil.
func refusalOf(err error) (refusal *scheduler.RefusalError) {
	errors.As(err, &refusal)
	return refusal
}

// isWithoutPath reports whether a refusal is due to this host's paths: a peer reaches endpoints,
// and none could run the request.
func (fr *forwardedRequest) isWithoutPath(refusal *scheduler.RefusalError) bool {
	return refusal != nil && refusal.Reason == scheduler.ReasonNoEndpoint && fr.forwarder.cfg.Peers.IsPreferred(fr.application)
}

// setFromPeer sets the reason for which a peer could not serve the request.
func (f *FailureError) setFromPeer(atPeer *FailureError) {
	f.Reason, f.RetryAfter = atPeer.Reason, atPeer.RetryAfter
	if isReturned(atPeer.Reason) {
		f.Reason, f.RetryAfter = ReasonNoPath, noPathRetryAfter
	}
	if atPeer.Outcome != OutcomeNotRun {
		f.Outcome = OutcomeUnknown
	}
}

// attemptAtPeers passes the request to a peer, and to another one if the first has returned it
// unrun. isRefused is PeerRequest.IsRefused.
func (fr *forwardedRequest) attemptAtPeers(ctx context.Context, isRefused bool) (err error) {
	err = ErrNoPeer
	for fr.mayUsePeer() {
		attemptErr := fr.attemptAtPeer(ctx, isRefused)
		if errors.Is(attemptErr, ErrNoPeer) {
			return err
		}
		err = attemptErr
		if err == nil || ctx.Err() != nil || !fr.mayTryNextPeer(err) {
			return err
		}
	}
	return err
}

// mayTryNextPeer reports whether another peer may run the request after one that has not run it.
func (fr *forwardedRequest) mayTryNextPeer(err error) bool {
	var failed *PeerError
	if !errors.As(err, &failed) || failed.Outcome.Failure == nil {
		return runStateOf(err) == driver.RunNotSent
	}
	if failed.Outcome.Sends > 0 {
		return false // the peer has made the attempts that are allowed
	}
	reason := failed.Outcome.Failure.Reason
	return isReturned(reason) || lacksEndpoints(reason) && len(fr.triedPeers) < maxRefusingPeers
}

// attemptAtPeer passes the request to one peer and forwards its answer.
func (fr *forwardedRequest) attemptAtPeer(ctx context.Context, isRefused bool) (err error) {
	request := &PeerRequest{
		Request: fr.request, ResumeAfter: fr.ids.last, Excluded: fr.triedPeers,
		AcceptsEqual: fr.failedConnections >= maxFailedConnections && !isRefused, IsRefused: isRefused,
		Origin: Origin{
			Application: fr.application, Runs: fr.runs, Events: fr.eventsSent, IsHeaderSent: fr.isHeaderSent,
			SoftwareVersion: fr.softwareVersion,
		},
	}
	hostID, ok := fr.forwarder.cfg.Peers.Choose(request)
	if !ok {
		return ErrNoPeer
	}
	if err := fr.chargeBeforeSend(ctx); err != nil {
		return err
	}
	ctx, attempt := fr.beginAttempt(ctx)
	defer attempt.end()
	attempt.setPeer(hostID, fr.mayAbandon())
	runs := newPeerRuns(fr)
	request.AllowRun = func() bool {
		allowed, ok := runs.allow()
		if ok {
			attempt.setPeer(hostID, allowed < runs.limit)
		}
		fr.forwarder.requestLog.logRunGrant(fr, hostID, allowed, ok)
		return ok
	}
	fr.forwarder.requestLog.logPass(fr, hostID, request)
	answer, err := fr.forwarder.cfg.Peers.Forward(ctx, hostID, request)
	fr.triedPeers = append(fr.triedPeers, hostID)
	fr.dropCache()
	if err == nil {
		err = fr.forwardFromPeer(ctx, &answer)
	}
	fr.countPeerRuns(&answer, err, runs.end())
	if err != nil {
		fr.forwarder.requestLog.logFailedPeerAttempt(fr, hostID, err)
	}
	return err
}

// forwardFromPeer forwards the answer that a peer relays.
func (fr *forwardedRequest) forwardFromPeer(ctx context.Context, answer *PeerAnswer) error {
	defer answer.Body.Close()
	fr.isAtPeer = true
	fr.lastAttempt = attemptState{sentAt: time.Now(), softwareVersion: answer.SoftwareVersion}
	defer func() { fr.isAtPeer = false }()
	isStream := fr.request.Class.Kind == configurer.KindGenerate && answer.Status < http.StatusMultipleChoices
	var err error
	if isStream {
		err = fr.forwardEvents(ctx, noTokens{}, &answer.ForwardAnswer)
	} else {
		err = fr.forwardComplete(ctx, &answer.ForwardAnswer)
	}
	if outcome, ok := answer.Outcome(); ok && err != nil && !outcome.IsComplete {
		return &PeerError{HostID: answer.HostID, Outcome: outcome}
	}
	return err
}

// forwardComplete reads an answer to its end and forwards it.
func (fr *forwardedRequest) forwardComplete(ctx context.Context, answer *driver.ForwardAnswer) error {
	buffered, err := fr.readAnswer(ctx, answer)
	if err != nil {
		return err
	}
	return fr.deliver(buffered)
}

// noTokens receives the tokens of an answer for which this host has no grant.
type noTokens struct{}

func (noTokens) TokenReceived() {}

// runningAttempt is an attempt that can be abandoned when the path that it uses breaks. Its fields
// are guarded by the Forwarder's mutex.
type runningAttempt struct {
	fr     *forwardedRequest
	cancel context.CancelCauseFunc

	isQueued   bool // no endpoint has been granted yet
	processes  []driver.Process
	peer       string
	mayAbandon bool
	mayUsePeer bool // a peer may run the request instead
}

// beginAttempt registers an attempt.
func (fr *forwardedRequest) beginAttempt(ctx context.Context) (context.Context, *runningAttempt) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &runningAttempt{fr: fr, cancel: cancel, isQueued: true, mayAbandon: true, mayUsePeer: fr.mayUsePeer()}
	f := fr.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts[a] = struct{}{}
	return ctx, a
}

func (a *runningAttempt) end() {
	f := a.fr.forwarder
	f.mu.Lock()
	delete(f.attempts, a)
	f.mu.Unlock()
	a.cancel(nil)
}

// setTarget records the processes that the attempt sends to.
func (a *runningAttempt) setTarget(mayAbandon bool, targets ...driver.Target) {
	f := a.fr.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	a.isQueued, a.mayAbandon, a.processes = false, mayAbandon, nil
	for i := range targets {
		a.processes = append(a.processes, targets[i].Process())
	}
}

func (a *runningAttempt) setPeer(hostID string, mayAbandon bool) {
	f := a.fr.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	a.isQueued, a.mayAbandon, a.peer = false, mayAbandon, hostID
}

// mayAbandon reports whether another attempt may follow one that has been sent and is abandoned.
func (fr *forwardedRequest) mayAbandon() bool {
	return fr.request.Class.Repeatable && fr.runs+1 < fr.request.Class.MaxAttempts
}

// abandon cancels the attempts for which match returns true. Those that have been sent are
// abandoned only if the request may be repeated.
func (f *Forwarder) abandon(match func(a *runningAttempt) bool) {
	f.mu.Lock()
	var abandoned []*runningAttempt
	repeats := map[*repeatBudget]float64{} // due to the abandoned attempts
	for a := range f.attempts {
		if !match(a) || !a.mayAbandon {
			continue
		}
		if budget := a.fr.repeatBudget; !a.isQueued {
			if budget.remaining() < repeats[budget]+1 {
				continue
			}
			repeats[budget]++
		}
		abandoned = append(abandoned, a)
	}
	f.mu.Unlock()
	for _, a := range abandoned {
		a.cancel(errPathLost)
	}
}

// AbandonProcess abandons attempts at a process that this host does not reach any more.
func (f *Forwarder) AbandonProcess(process driver.Process) {
	f.abandon(func(a *runningAttempt) bool { return slices.Contains(a.processes, process) })
}

// AbandonPeer abandons attempts at a peer that this host does not reach any more.
func (f *Forwarder) AbandonPeer(hostID string) {
	f.abandon(func(a *runningAttempt) bool { return a.peer == hostID })
}

// AbandonQueued abandons attempts that wait for an endpoint of an application, if a peer may run
// the request instead.
func (f *Forwarder) AbandonQueued(application string) {
	f.abandon(func(a *runningAttempt) bool { return a.isQueued && a.mayUsePeer && a.fr.application == application })
}

// pathLost returns the error of an attempt that was abandoned before it was sent, and err for any
// other one.
func pathLost(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errPathLost) && !errors.Is(err, driver.ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %w", driver.ErrNotSent, errPathLost)
	}
	return err
}
