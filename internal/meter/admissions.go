package meter

import (
	"io"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
)

// Admission is the admission of the work of one rank of an application.
type Admission struct {
	Application       string
	Rank              int
	Share             float64 // of the demand of all hosts' callers that may be admitted
	Admitted, Refused uint64  // new requests of this host's callers
	RefusedReturns    uint64  // part of Refused whose callers had returned after a refusal
	Promised          uint64  // refused callers with a promised time of return
}

// RegisterAdmissions shows the admission by application and rank. There are few ranks, and
// applications are taken from the configuration.
func (m *Meter) RegisterAdmissions(admissions func() []Admission) {
	m.set.RegisterMetricsWriter(func(w io.Writer) {
		for _, a := range admissions() {
			labels := []label{{"application", labelValue(a.Application)}, {"rank", strconv.Itoa(a.Rank)}}
			metrics.WriteGaugeFloat64(w, metricName("endivemast_admission_share", labels...), a.Share)
			metrics.WriteCounterUint64(w, metricName("endivemast_admitted_total", labels...), a.Admitted)
			metrics.WriteCounterUint64(w, metricName("endivemast_precedence_refusals_total", labels...), a.Refused)
			metrics.WriteCounterUint64(w, metricName("endivemast_refused_returns_total", labels...), a.RefusedReturns)
			metrics.WriteCounterUint64(w, metricName("endivemast_promised_returns_total", labels...), a.Promised)
		}
	})
}
