package endivemast

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/attester"
	"github.com/endivemast/endivemast/internal/authenticator"
	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/provider"
)

// Authentication of requests to a Gateway, and the proof that its configuration is the
// newest one.

const (
	// freshProofAge is the age of the configuration's proof up to which an unknown key is
	// refused at once.
	freshProofAge = 500 * time.Millisecond
	// newerProofWait is how long a request with an unknown key waits for a newer proof,
	// since the key may be new.
	newerProofWait = 300 * time.Millisecond
	// maxDenyProofAge is the age of the proof up to which an unknown key is refused if no
	// newer proof came in that time. A new key has to be accepted within seconds.
	maxDenyProofAge = 2 * time.Second
	// restoreSettleTime is how long after the store has come back from an older copy its
	// configuration proves nothing: operators write again what it has lost.
	restoreSettleTime = 2 * time.Second
	// retryNotCurrent is the retry delay of a request at a host that can't prove that its
	// configuration is the newest one; another host will serve it sooner.
	retryNotCurrent = 200 * time.Millisecond
)

var (
	errNoPoller     = errors.New("store does not support polling for changes")
	errNotInstalled = errors.New("later configuration not in force")
	errRestored     = errors.New("store has just come back from an older copy")
)

func (g *Gateway) buildAttester() {
	g.attester = attester.New(attester.Config{
		Bound: g.cfg.RevocationBound, Version: g.classifier.Revision, Check: g.checkConfiguration,
		ChecksStore: func() bool { return g.relayer.WatchesStore() }, Now: g.cfg.Clock.Now, Logger: g.cfg.Logger.Named("attester"),
	})
}

// reasonNoProof is why a host is not ready that has just started and would refuse API
// keys.
const reasonNoProof = "configuration_not_proven"

// mayAcceptKeys is false until the first proof. A host whose proof expires later stays
// ready: it still serves public routes, and the other hosts may be in the same state.
func (g *Gateway) mayAcceptKeys() bool {
	_, hasProof := g.attester.Age()
	return hasProof || g.cfg.RevocationBound <= 0 || g.classifier.Tenants() == nil
}

// Authenticate finds the tenant of a request by its key and sets the request's tenant and
// rank. The error is a *dispatcher.FailureError.
func (g *Gateway) Authenticate(ctx context.Context, request *dispatcher.OpaqueRequest, key string) error {
	if request.Class.IsPublic || g.classifier.Tenants() == nil {
		return nil
	}
	if !g.attester.IsCurrent() {
		g.meter.CountAuthentication("not_current")
		return notCurrent(request.ID)
	}
	sum, parseErr := authenticator.Parse(key)
	tenant, ok := g.findTenant(sum, parseErr)
	if !ok && parseErr == nil {
		tenant, ok = g.findNewTenant(ctx, sum)
	}
	if ok {
		g.meter.CountAuthentication("accepted")
		request.Tenant = tenant.Name
		if tenant.HasRank {
			request.Class.Rank = tenant.Rank
		}
		return nil
	}
	if age, _ := g.attester.Age(); parseErr == nil && g.cfg.RevocationBound > 0 && age > maxDenyProofAge {
		g.meter.CountAuthentication("not_current")
		return notCurrent(request.ID)
	}
	g.meter.CountAuthentication("unknown_key")
	g.cfg.Logger.Debug("request refused: unknown key", "request_id", request.ID, "class", request.Class.Name,
		"version", g.classifier.Revision(), "error", parseErr)
	return &dispatcher.FailureError{
		RequestID: request.ID, Outcome: dispatcher.OutcomeNotRun, Reason: dispatcher.ReasonUnknownKey, Detail: "no tenant holds this API key",
	}
}

func notCurrent(requestID string) error {
	return &dispatcher.FailureError{
		RequestID: requestID, Outcome: dispatcher.OutcomeNotRun, Reason: dispatcher.ReasonKeysNotCurrent,
		Detail: "this host can't tell at present whether the API key holds", RetryAfter: retryNotCurrent,
	}
}

func (g *Gateway) findTenant(sum authenticator.Digest, parseErr error) (tenant *authenticator.Tenant, ok bool) {
	directory := g.classifier.Tenants()
	if parseErr != nil || directory == nil {
		return nil, false
	}
	return directory.Find(sum)
}

// findNewTenant looks up an unknown key again once the configuration is proven to be newer
// than the request, or after a short wait.
func (g *Gateway) findNewTenant(ctx context.Context, sum authenticator.Digest) (tenant *authenticator.Tenant, ok bool) {
	if age, hasProof := g.attester.Age(); g.cfg.RevocationBound <= 0 || hasProof && age <= freshProofAge {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, newerProofWait)
	defer cancel()
	g.attester.AwaitProof(ctx, g.cfg.Clock.Now())
	return g.findTenant(sum, nil)
}

// checkConfiguration reads the configurations after the one in force from the store. It
// fails if one can't be installed, and if the store may have lost one.
func (g *Gateway) checkConfiguration(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "check the configuration") }()
	poller, ok := g.cfg.Store.(provider.Poller)
	if !ok {
		return errNoPoller
	}
	g.checkMu.Lock()
	defer g.checkMu.Unlock()
	defer func() {
		if err == nil && g.cfg.Clock.Now().Sub(g.restoredAt()) < restoreSettleTime {
			err = errRestored
		}
	}()
	if g.checkedRevision == 0 {
		return g.readConfiguration(ctx)
	}
	changes, revision, err := poller.Poll(ctx, g.cfg.ConfigurationKey, g.checkedRevision)
	if errors.Is(err, provider.ErrCompacted) {
		return g.readConfiguration(ctx)
	}
	if err != nil {
		return err
	}
	for _, change := range changes {
		if change.Entry.Key == g.cfg.ConfigurationKey && !change.Deleted {
			if err := g.installNewest(change.Entry); err != nil {
				return err
			}
		}
	}
	g.checkedRevision = max(g.checkedRevision, revision)
	return nil
}

// addReadProof records that the configuration in force was the newest one when a linearizable
// read with this result was requested, unless the store has just come back from an older copy.
func (g *Gateway) addReadProof(revision int64, requested time.Time) {
	if g.cfg.Clock.Now().Sub(g.restoredAt()) < restoreSettleTime {
		return
	}
	if g.checkMu.TryLock() { // otherwise a check is running and has to end by itself
		if g.checkedRevision == 0 {
			g.checkedRevision = revision
		}
		g.checkMu.Unlock()
	}
	g.attester.AddProof(g.classifier.Revision(), requested)
}

func (g *Gateway) readConfiguration(ctx context.Context) error {
	entries, revision, err := g.cfg.Store.List(ctx, g.cfg.ConfigurationKey)
	if err != nil {
		return err
	}
	before := g.classifier.Revision()
	defer func() { g.recordMissedClasses(before) }()
	for _, entry := range entries {
		if entry.Key == g.cfg.ConfigurationKey {
			if err := g.installNewest(entry); err != nil {
				return err
			}
		}
	}
	if g.checkedRevision != 0 && provider.EraOf(revision) > provider.EraOf(g.checkedRevision) {
		g.recordRestoration()
	}
	g.checkedRevision = revision
	return nil
}

// recordRestoration records that the store has come back from an older copy.
func (g *Gateway) recordRestoration() { g.restoration.Store(g.cfg.Clock.Now()) }

// restoredAt returns when the store was last found to have come back from an older copy;
// zero: never.
func (g *Gateway) restoredAt() time.Time {
	at, _ := g.restoration.Load().(time.Time)
	return at
}

// installNewest installs the configuration of an entry unless a later one is in force. It
// fails if the configuration can't be decoded: keys that it revokes would stay accepted.
func (g *Gateway) installNewest(entry provider.Entry) error {
	version, err := (&snapshotSink{gateway: g}).install(entry)
	if err != nil {
		return err
	}
	if g.classifier.Revision() < version {
		return errNotInstalled
	}
	return nil
}
