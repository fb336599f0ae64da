package aggregator

import "time"

const (
	// startTraffic is how long a host has to have had requests before its own measurement
	// is used. The meter's half-life is as long.
	startTraffic = time.Second
	// startLimit is how long a new host without any requests counts with the mean demand.
	startLimit = 5 * time.Second
	// portionLag is how old the own demand is from which a host's portion is computed: about
	// the time until the others know it, with at most 250 ms for each of up to three hops.
	// With the present value, rising demand would raise the own portion before the others
	// lower theirs, so that the portions sum to more than the capacity.
	portionLag = 400 * time.Millisecond
	// maxSent bounds the snapshots kept: those of portionLag and one older one.
	maxSent = 16
)

// Own tracks this host's own demand as the other hosts know it. It is not safe for
// concurrent use.
type Own struct {
	startedAt, firstAt time.Time // firstAt: of the first demand measured
	hasStarted         bool
	sent               []sentDemand // oldest first
}

type sentDemand struct {
	at     time.Time
	demand Snapshot
}

// Demand returns what counts as the demand of this host: what was measured, or for a
// host that has just started the mean of the others.
func (o *Own) Demand(measured, others Snapshot, now time.Time) Snapshot {
	if o.startedAt.IsZero() {
		o.startedAt = now
	}
	if o.firstAt.IsZero() && len(measured.Demands) > 0 {
		o.firstAt = now
	}
	hasTraffic := !o.firstAt.IsZero() && now.Sub(o.firstAt) >= startTraffic
	if o.hasStarted = o.hasStarted || hasTraffic || now.Sub(o.startedAt) >= startLimit; o.hasStarted || others.Hosts == 0 {
		return measured
	}
	return others.Mean()
}

// Sent records that another host has received a demand of this one. While none
// receives any, the others count with the last one, and so does Published.
func (o *Own) Sent(demand Snapshot, now time.Time) {
	if n := len(o.sent); n > 0 && now.Sub(o.sent[n-1].at) < portionLag/(maxSent-2) {
		return
	}
	o.sent = append(o.sent, sentDemand{now, demand})
	if len(o.sent) > maxSent {
		o.sent = append(o.sent[:0], o.sent[1:]...)
	}
}

// Published returns the demand of this host that the other hosts count with; ok is false
// if none has received any.
func (o *Own) Published(now time.Time) (demand Snapshot, ok bool) {
	for i := len(o.sent) - 1; i >= 0; i-- {
		if now.Sub(o.sent[i].at) >= portionLag {
			return o.sent[i].demand, true
		}
	}
	if len(o.sent) > 0 {
		return o.sent[0].demand, true
	}
	return Snapshot{}, false
}
