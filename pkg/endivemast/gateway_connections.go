package endivemast

import (
	"time"

	"github.com/endivemast/endivemast/internal/shedder"
)

// How a Gateway closes new connections of callers while it serves far more of them than its peers.

// shedLogInterval is how often closed connections are logged.
const shedLogInterval = time.Second

// mayAccept reports whether a new connection of a caller is accepted.
func (g *Gateway) mayAccept() bool { return g.shedder.MayAccept(g.forwarder.Active()) }

// updateShedder applies what peers serve. A peer that drains or sends no updates can't take callers.
func (g *Gateway) updateShedder(now time.Time) {
	var peers []shedder.Peer
	for _, status := range g.exchanger.Statuses() {
		if status.Reachable && !status.Draining && now.Sub(status.LastUpdate) <= reachFreshness {
			peers = append(peers, shedder.Peer{Zone: status.Peer.Zone, ActiveRequests: status.ActiveRequests})
		}
	}
	g.shedder.Update(g.forwarder.Active(), peers)
	if now.Sub(g.shedLoggedAt) < shedLogInterval {
		return
	}
	if count := g.shedder.TakeCount(); count > 0 {
		g.shedLoggedAt = now
		limit, _ := g.shedder.Limit()
		g.meter.CountShedConnections(int(count))
		g.cfg.Logger.Info("new connections closed unread: peers serve far fewer requests", "connections", count,
			"active_requests", g.forwarder.Active(), "limit", limit, "peers", len(peers))
	}
}
