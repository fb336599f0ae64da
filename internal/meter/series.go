package meter

import (
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// maxLabelBytes is the length of the longest label value that is used unchanged.
const maxLabelBytes = 128

// outcomes lists the outcomes with their own counter.
var outcomes = [...]string{OutcomeComplete, "not_run", "unknown", "failed", Other}

// seriesKey holds the labels of the series of one tenant and class.
type seriesKey struct {
	tenant string
	class  string
}

// series holds the metrics of one tenant and class.
type series struct {
	key           seriesKey
	names         []string // for unregistering
	firstToken    *metrics.Histogram
	betweenTokens *metrics.Histogram
	completion    *metrics.Histogram
	queue         *metrics.Histogram
	counters      [len(outcomes)]*metrics.Counter
}

// newSeries registers the metrics of one tenant and class.
func newSeries(set *metrics.Set, key seriesKey) *series {
	s := &series{key: key}
	labels := []label{{"tenant", key.tenant}, {"class", key.class}}
	histogram := func(name string) *metrics.Histogram {
		full := metricName(name, labels...)
		s.names = append(s.names, full)
		return set.GetOrCreateHistogram(full)
	}
	s.firstToken = histogram("endivemast_first_token_seconds")
	s.betweenTokens = histogram("endivemast_between_tokens_seconds")
	s.completion = histogram("endivemast_completion_seconds")
	s.queue = histogram("endivemast_queue_seconds")
	for i, outcome := range outcomes {
		full := metricName("endivemast_requests_total", append(labels, label{"outcome", outcome})...)
		s.names = append(s.names, full)
		s.counters[i] = set.GetOrCreateCounter(full)
	}
	return s
}

// outcome returns the counter of an outcome.
func (s *series) outcome(outcome string) *metrics.Counter {
	for i, name := range outcomes {
		if name == outcome {
			return s.counters[i]
		}
	}
	return s.counters[len(outcomes)-1]
}

// outcomeLabel returns the label value of an outcome.
func outcomeLabel(outcome string) string {
	for _, name := range outcomes {
		if name == outcome {
			return name
		}
	}
	return Other
}

// find returns the series in which a tenant and class are recorded.
func (m *Meter) find(tenant, class string) *series {
	key := seriesKey{tenant: m.ranker.label(tenant), class: labelValue(class)}
	m.mu.RLock()
	s, ok := m.series[key]
	m.mu.RUnlock()
	if ok {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.createLocked(key)
}

// createLocked creates a series while there is room, and otherwise falls back to the
// series of all tenants, then of all tenants and classes. The last one is created even
// beyond the limit.
func (m *Meter) createLocked(key seriesKey) *series {
	widest := seriesKey{tenant: Other, class: Other}
	for _, key := range []seriesKey{key, {tenant: Other, class: key.class}, widest} {
		if s, ok := m.series[key]; ok {
			return s
		}
		if len(m.series) < m.cfg.MaxSeries || key == widest {
			s := newSeries(m.set, key)
			m.series[key] = s
			return s
		}
	}
	panic("unreachable: the widest series is always created")
}

// rank determines again which tenants have their own series, and ends the series of those
// that no longer do.
func (m *Meter) rank() {
	if !m.ranker.rank(m.cfg.Now(), m.cfg.RankInterval) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, s := range m.series {
		// Checks more than the tenants dropped now: a find that ran concurrently with the
		// last ranking may have created a series for a tenant that was dropped then.
		if key.tenant == Other || m.ranker.isNamed(key.tenant) {
			continue
		}
		for _, name := range s.names {
			m.set.UnregisterMetric(name)
		}
		delete(m.series, key)
	}
}

// label is the name and value of a metric label.
type label struct{ name, value string }

// metricName returns a metric's name with its labels.
func metricName(name string, labels ...label) string {
	var b strings.Builder
	b.WriteString(name)
	for i, l := range labels {
		b.WriteByte("{,"[min(i, 1)])
		b.WriteString(l.name)
		b.WriteString(`="`)
		b.WriteString(labelValue(l.value))
		b.WriteByte('"')
	}
	b.WriteByte('}')
	return b.String()
}

// labelValue returns a value that needs no quoting, or Other for any other value. The
// configuration accepts no other names, so such values come from requests only.
func labelValue(value string) string {
	if value == "" || len(value) > maxLabelBytes {
		return Other
	}
	for _, c := range []byte(value) {
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			return Other
		}
	}
	return value
}
