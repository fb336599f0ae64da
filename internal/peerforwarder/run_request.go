package peerforwarder

import (
	"context"
	"errors"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/peerforwarder/peerforwarderpb"
)

// This file lets the host of a request's caller decide on each run at a peer but the first.

var errRunNotAllowed = errors.New("host of the caller does not allow another run")

// addPass registers a request that is passed to a peer, and returns its pass id. The id is unique over
// restarts of this host, so that no question about an earlier request concerns this one.
func (f *Forwarder) addPass(allowRun func() bool) (passID string) {
	passID = uuid.NewString()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.passes[passID] = allowRun
	return passID
}

func (f *Forwarder) removePass(passID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.passes, passID)
}

// allowRun reports whether a peer may run a request once more.
func (f *Forwarder) allowRun(passID string) bool {
	f.mu.Lock()
	allow := f.passes[passID]
	f.mu.Unlock()
	return allow != nil && allow()
}

// requestRun asks the host that passed a request to this one whether it may run once more.
func (f *Forwarder) requestRun(ctx context.Context, hostID, passID string) (err error) {
	defer func() { err = eris.Wrapf(err, "request another run from %s", hostID) }()
	c, err := f.acquire(hostID)
	if err != nil {
		return err
	}
	defer f.release(c)
	reply, err := peerforwarderpb.NewPeerForwardClient(c.ClientConn).RequestRun(ctx, &peerforwarderpb.RunRequest{PassId: passID})
	if err != nil {
		return err
	}
	if !reply.GetIsAllowed() {
		return errRunNotAllowed
	}
	return nil
}
