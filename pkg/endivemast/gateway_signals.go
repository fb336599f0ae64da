package endivemast

import (
	"slices"
	"time"

	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/meter"
	"github.com/endivemast/endivemast/internal/observer"
	"github.com/endivemast/endivemast/internal/ratelimiter"
)

// How a Gateway processes the signals in endpoints' answers.

// slowedFactor is from which factor on work takes clearly longer on an endpoint's machine than usual: it
// then serves four fifths of its requests.
const slowedFactor = 1.25

func (g *Gateway) buildSignals() {
	g.limiter = ratelimiter.New(ratelimiter.Config{
		HostID: g.cfg.HostID, Hosts: g.limiterHosts, Refill: g.refill, Clock: g.cfg.Clock.Now, TenantLimit: g.tenantLimit,
		Conn:  func(hostID string) (grpc.ClientConnInterface, error) { return g.exchanger.Conn(hostID) },
		Meter: g.meter, Logger: g.cfg.Logger.Named("ratelimiter"),
	})
	g.observer = observer.New(observer.Config{
		Clock: g.cfg.Clock.Now, Meter: g.meter, OnLimitChange: g.limiter.SetLimit, OnSlowdown: g.observeSlowdown,
		IsListed: g.isListed, OnLeaving: func(endpointIDs ...string) { g.registrations.Refresh(endpointIDs...) }, Logger: g.cfg.Logger.Named("observer"),
	})
	g.cfg.Driver.SetObserver(g.observer.Observe)
}

// observeSlowdown passes on how long work currently takes on the machine of an endpoint. An unused value is
// implausible, or that of a process that is not listed.
func (g *Gateway) observeSlowdown(process driver.Process, percent int) {
	outcome := "unused"
	if g.scheduler.ObserveSlowdown(process, percent, time.Now()) {
		outcome = "used"
	}
	g.meter.CountSlowdown(outcome)
}

func (g *Gateway) isListed(process driver.Process) bool {
	host, ok := g.registrations.Find(process.EndpointID)
	return ok && host.Incarnation == process.Incarnation
}

// gaugeSignals registers the metrics of the number of endpoints with each signal.
func (g *Gateway) gaugeSignals() {
	count := func(isCounted func(state *observer.State) bool) func() float64 {
		return func() (n float64) {
			for _, state := range g.observer.States() {
				if isCounted(&state) {
					n++
				}
			}
			return n
		}
	}
	g.meter.GaugeEndpoints("limited", count(func(state *observer.State) bool { return state.Limit.IsSet }))
	g.meter.GaugeEndpoints("slowed", func() (n float64) {
		for _, endpoint := range g.scheduler.Endpoints() {
			if endpoint.Machine >= slowedFactor {
				n++
			}
		}
		return n
	})
	g.meter.GaugeEndpoints("said_leaving", count(func(state *observer.State) bool { return state.IsLeaving }))
	g.meter.GaugeEndpoints("set_aside", func() float64 { return float64(g.paths.CountSetAside()) })
	g.meter.GaugeEndpoints("resting", count(func(state *observer.State) bool { return state.BackoffUntil.After(g.cfg.Clock.Now()) }))
}

// admissions returns the admission by application and rank, for the metrics.
func (g *Gateway) admissions() (admissions []meter.Admission) {
	for _, status := range g.scheduler.Admissions() {
		admissions = append(admissions, meter.Admission(status))
	}
	return admissions
}

func (g *Gateway) refill(process driver.Process) { g.scheduler.NotifySlots(process, time.Now()) }

// limiterHosts returns the hosts that may own limits: the hubs, which can reach each
// other.
func (g *Gateway) limiterHosts() (hosts []ratelimiter.Host) {
	return limiterHostsOf(g.exchanger.Hubs(), g.cfg.HostID, g.cfg.Zone, g.draining.Load(), time.Now())
}

// limiterHostsOf is limiterHosts for the given states of the hubs. Only hubs receive
// updates of other zones' hubs; at other hosts the lack of updates from such a hub means
// nothing.
func limiterHostsOf(hubs []exchanger.PeerStatus, own, zone string, isDraining bool, now time.Time) (hosts []ratelimiter.Host) {
	isHub := slices.ContainsFunc(hubs, func(hub exchanger.PeerStatus) bool { return hub.Peer.HostID == own })
	for i := range hubs {
		hub := &hubs[i]
		if hub.Peer.HostID == own {
			hosts = append(hosts, ratelimiter.Host{HostID: own, IsReachable: true, IsDraining: isDraining})
			continue
		}
		host := ratelimiter.Host{HostID: hub.Peer.HostID}
		if isHub || hub.Peer.Zone == zone {
			host.IsDraining = hub.Draining
			host.IsReachable = hub.Reachable && now.Sub(hub.LastUpdate) <= ratelimiter.ReachableWithin
			host.IsDown = !hub.LastUpdate.IsZero() && (!hub.Reachable || now.Sub(hub.LastUpdate) > ratelimiter.DownAfter)
		}
		hosts = append(hosts, host)
	}
	return hosts
}
