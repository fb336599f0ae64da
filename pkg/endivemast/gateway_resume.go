package endivemast

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/endivemast/endivemast/internal/timekeeper"
)

// How a Gateway detects that its host was suspended or its process frozen, and updates its
// state afterwards: the other hosts continued meanwhile, and none of their updates arrived.

// catchUpTimeout bounds how long requests wait for a peer to send the changes since the
// suspension: peers announce their revision each 100 ms, and answer in milliseconds. If
// nothing has changed, or no peer can be reached, the wait takes the full time.
const catchUpTimeout = 200 * time.Millisecond

// checkSuspension detects whether the host was suspended. The first caller that detects it
// updates the state before anything else is sent; concurrent callers wait for it.
func (g *Gateway) checkSuspension() {
	g.resumeMu.Lock()
	defer g.resumeMu.Unlock()
	if suspension, wasSuspended := g.detector.Check(); wasSuspended {
		g.resume(suspension)
	}
}

// logSuspension logs a suspension of the host, and what the host was doing at that time.
func logSuspension(logger hclog.Logger, suspension timekeeper.Suspension, running int64, holdsAuthority bool) {
	logger.Warn("host was away", "away_ms", suspension.Duration.Milliseconds(), "slept_ms", suspension.MachineSuspended.Milliseconds(),
		"running_requests", running, "holds_authority", holdsAuthority)
}

func (g *Gateway) resume(suspension timekeeper.Suspension) {
	logSuspension(g.cfg.Logger, suspension, g.forwarder.Active(), g.HoldsAuthority())
	g.meter.CountResume()
	g.limiter.Resumed(suspension.Duration)
	g.streams.Resumed()
	if g.cfg.OnResume != nil {
		g.cfg.OnResume()
	}
	g.registrations.Resumed(suspension.MachineSuspended)
	g.relayer.Resumed(suspension.MachineSuspended)
	g.registrations.Tick(time.Now())
	ctx, cancel := context.WithTimeout(g.ctx, catchUpTimeout)
	defer cancel()
	g.follower.Resumed(ctx)
	// Last, so that answers that have arrived meanwhile are forwarded first.
	g.forwarder.CancelExpired()
}
