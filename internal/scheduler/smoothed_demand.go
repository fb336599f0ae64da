package scheduler

import (
	"math"
	"time"

	"github.com/endivemast/endivemast/internal/aggregator"
)

const (
	// othersDemandTimeout is how long the demand of other hosts is used.
	othersDemandTimeout = 2 * time.Second
	// smoothedHalfLife is the half-life of this host's demand where it stands for that of
	// all hosts. With the meter's second, a host that gets one costly request in two
	// seconds would assume a shortage after two in one second.
	smoothedHalfLife = 10 * time.Second
	minSmoothed      = 1e-6 // engine seconds per second that are forgotten
)

// smoothedDemand is the demand of this host's callers, averaged over some seconds.
type smoothedDemand struct {
	offered   map[aggregator.Key]float64
	startedAt time.Time
	updatedAt time.Time
}

// update adds the present demand. A host that has just started averages over the time since.
func (d *smoothedDemand) update(demands map[aggregator.Key]aggregator.Demand, now time.Time) {
	if d.offered == nil {
		d.offered, d.startedAt, d.updatedAt = make(map[aggregator.Key]float64), now, now
	}
	halfLife := min(max(now.Sub(d.startedAt), time.Second), smoothedHalfLife)
	kept := math.Exp2(-float64(now.Sub(d.updatedAt)) / float64(halfLife))
	d.updatedAt = now
	for key, offered := range d.offered {
		if d.offered[key] = offered * kept; d.offered[key] < minSmoothed {
			delete(d.offered, key)
		}
	}
	for key, demand := range demands {
		d.offered[key] += demand.Offered * (1 - kept)
	}
}

// demandOfAllHosts returns the demand of the callers of all hosts: this host's and that of
// the others, or an estimate from this host's alone if the others' is not known.
func (s *Scheduler) demandOfAllHosts(now time.Time) map[aggregator.Key]aggregator.Demand {
	own := s.ownDemand(now).Demands
	s.smoothedDemand.update(own, now)
	// The others' last demand is kept for 10 s for the portions, also while this host is cut off.
	if s.isIsolated || s.othersDemandAt.IsZero() || now.Sub(s.othersDemandAt) > othersDemandTimeout {
		return s.estimatedDemand(own)
	}
	others := &s.othersDemand
	if others.Hosts <= 0 {
		// Behind a hub of an older build, the loads of peers are known and their demand is not.
		if others.HostsWithout > 0 || s.table.PeerHosts() > 0 {
			return s.estimatedDemand(own)
		}
		return own
	}
	// Hosts of builds that send no demand are taken to have the mean of the others.
	scale := 1 + float64(max(others.HostsWithout, 0))/float64(others.Hosts)
	sum := aggregator.NewSum()
	sum.Add(aggregator.Snapshot{Demands: own})
	sum.Add(others.Scaled(scale))
	return sum.Snapshot().Demands
}

// estimatedDemand returns this host's demand times the number of hosts. The loads of peers are
// forgotten before their demand is, so the larger number counts.
func (s *Scheduler) estimatedDemand(own map[aggregator.Key]aggregator.Demand) map[aggregator.Key]aggregator.Demand {
	hosts := max(s.othersDemand.Hosts, 0) + max(s.othersDemand.HostsWithout, 0)
	estimated := make(map[aggregator.Key]aggregator.Demand, len(s.smoothedDemand.offered))
	for key, offered := range s.smoothedDemand.offered {
		application := s.table.Applications[key.Application]
		if application == nil {
			continue
		}
		demand := own[key]
		if demand.Offered <= 0 {
			demand = aggregator.Demand{Offered: 1}
		}
		scale := offered * float64(max(application.Summary.Peers, hosts)+1) / demand.Offered
		estimated[key] = demand.Scaled(scale)
	}
	return estimated
}
