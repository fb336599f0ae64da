package meter

import "strconv"

// maxDemandSeries bounds the applications and ranks with their own series.
const maxDemandSeries = 64

// Demand is what callers ask of one rank of an application, in engine seconds per second.
type Demand struct {
	Application string
	Rank        int
	Own, Others float64 // at this host, and at all other hosts
}

// SetDemand shows the demand, and the portions of the engines that this host counts on by
// application. The series of those that are left out end.
func (m *Meter) SetDemand(demands []Demand, portions map[string]float64) {
	values := make(map[string]float64, 2*len(demands)+len(portions))
	for _, d := range demands[:min(len(demands), maxDemandSeries)] {
		labels := []label{{"application", d.Application}, {"rank", strconv.Itoa(d.Rank)}}
		values[metricName("endivemast_demand_engine_seconds", append(labels, label{"hosts", "own"})...)] = d.Own
		values[metricName("endivemast_demand_engine_seconds", append(labels, label{"hosts", "others"})...)] = d.Others
	}
	for application, portion := range portions {
		if len(values) < 4*maxDemandSeries {
			values[metricName("endivemast_engine_portion", label{"application", application})] = portion
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.demandSeries {
		if _, ok := values[name]; !ok {
			m.set.UnregisterMetric(name)
			delete(m.demandSeries, name)
		}
	}
	for name, value := range values {
		m.set.GetOrCreateGauge(name, nil).Set(value)
		m.demandSeries[name] = true
	}
}

// GaugeDemandHosts shows how many other hosts' demand is known, kept since they are silent, or
// missing since their builds send none.
func (m *Meter) GaugeDemandHosts(state string, value func() float64) {
	m.set.GetOrCreateGauge(metricName("endivemast_demand_hosts", label{"state", state}), value)
}

// GaugeDemandTotals shows the number of received values of demand that were treated as 0, and
// the bytes sent for demand, since the start.
func (m *Meter) GaugeDemandTotals(rejected, sentBytes func() float64) {
	m.set.GetOrCreateGauge("endivemast_demand_rejected_total", rejected)
	m.set.GetOrCreateGauge("endivemast_demand_sent_bytes_total", sentBytes)
}
