package loader

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// maxFaultsListed limits the faults that a report lists individually.
const maxFaultsListed = 20

// Quantiles are the 50th, 95th and 99th percentiles in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// ClassReport has the results of one class.
type ClassReport struct {
	Tenant        string         `json:"tenant"`
	Class         string         `json:"class"`
	Weight        float64        `json:"weight"`
	Sent          int            `json:"sent"`
	Complete      int            `json:"whole"`
	InTime        int            `json:"in_time"`
	Refused       int            `json:"refused"`
	Unknown       int            `json:"unknown"`
	Failed        int            `json:"failed"`
	Lost          int            `json:"lost"`
	Duplicated    int            `json:"doubled"`
	Wrong         int            `json:"crossed"`
	Abandoned     int            `json:"abandoned"`
	Reasons       map[string]int `json:"reasons"` // count by reason, of requests without a complete answer
	Goodput       float64        `json:"goodput"` // share in time of the requests that were not abandoned
	FirstTokenMS  Quantiles      `json:"first_token_ms"`
	BetweenMS     Quantiles      `json:"between_tokens_ms"`
	CompletionMS  Quantiles      `json:"completion_ms"`
	RefusalMS     Quantiles      `json:"refusal_ms"`
	firstTokens   []float64
	betweenTokens []float64
	completions   []float64
	refusals      []float64
}

// SecondReport has the results of the requests that arrived within one second.
type SecondReport struct {
	Second   int     `json:"second"`
	Sent     int     `json:"sent"`
	Complete int     `json:"whole"`
	InTime   int     `json:"in_time"`
	Refused  int     `json:"refused"`
	Goodput  float64 `json:"goodput_per_second"` // weighted requests in time
	Offered  float64 `json:"offered_per_second"` // weighted requests sent
}

// Fault is one request that was lost, duplicated or answered wrongly.
type Fault struct {
	Class   string  `json:"class"`
	Number  int     `json:"number"`
	Key     string  `json:"key"`
	AtMS    int64   `json:"at_ms"`
	Outcome Outcome `json:"outcome"`
	Detail  string  `json:"detail"`
}

// Report has the results of a run.
type Report struct {
	Scenario        string        `json:"scenario"`
	Seed            uint64        `json:"seed"`
	RateScale       float64       `json:"rate_scale"`
	ElapsedMS       int64         `json:"elapsed_ms"`
	Classes         []ClassReport `json:"classes"`
	Total           ClassReport   `json:"total"`
	WeightedGoodput float64       `json:"weighted_goodput"` // weighted share of requests in time
	RoleChanges     int           `json:"role_changes"`
	RunsChecked     bool          `json:"runs_judged"` // whether the services' run counts were compared
	// LagMS is the delay with which the loader itself sent requests. Unless it is
	// far below the targets, the machine was too busy for a valid run.
	LagMS Quantiles `json:"lag_ms"`
	// StallMS is for how long the loader was stalled, as on a stalled machine.
	// Later requests were postponed by the same time.
	StallMS float64        `json:"stood_still_ms"`
	Seconds []SecondReport `json:"seconds"`
	Roles   []RolePoint    `json:"roles"`
	Faults  []Fault        `json:"faults"` // the first maxFaultsListed
	// Examples has the first detail seen for each reason.
	Examples map[string]string `json:"examples"`
}

func makeReport(options *Options, records []record, watcher *roleWatcher, elapsed time.Duration) *Report {
	scenario := &options.Scenario
	report := &Report{
		Scenario: scenario.Name, Seed: options.Seed, RateScale: scenario.RateScale,
		ElapsedMS: elapsed.Milliseconds(), RunsChecked: len(options.Services) > 0 || options.Runs != nil,
		Classes: make([]ClassReport, len(scenario.Classes)),
		Total:   ClassReport{Class: "all", Reasons: make(map[string]int)}, Examples: make(map[string]string),
	}
	for i, class := range scenario.Classes {
		report.Classes[i] = ClassReport{Tenant: class.Tenant, Class: class.Name, Weight: class.Weight, Reasons: make(map[string]int)}
	}
	slices.SortFunc(records, func(a, b record) int { return int(a.at - b.at) })
	for i := range records {
		report.Classes[records[i].class].add(&records[i])
		report.Total.add(&records[i])
		report.addSecond(&records[i], scenario.Classes[records[i].class].Weight)
		report.addFault(&records[i], scenario)
		report.addExample(&records[i])
	}
	for i := range report.Classes {
		report.Classes[i].finish()
	}
	report.Total.finish()
	report.Roles, report.RoleChanges = watcher.results()
	report.WeightedGoodput = weightedGoodput(report.Classes)
	return report
}

func (c *ClassReport) add(r *record) {
	c.Sent++
	c.count(r.outcome)
	if r.inTime {
		c.InTime++
	}
	if r.reason != "" && r.outcome != OutcomeComplete {
		c.Reasons[r.reason]++
	}
	if r.outcome == OutcomeRefused {
		c.refusals = append(c.refusals, milliseconds(r.refusal))
	}
	if r.outcome != OutcomeComplete {
		return
	}
	c.completions = append(c.completions, milliseconds(r.completion))
	if r.firstToken > 0 {
		c.firstTokens = append(c.firstTokens, milliseconds(r.firstToken))
	}
	for _, interval := range r.tokenIntervals {
		c.betweenTokens = append(c.betweenTokens, float64(interval))
	}
}

func (c *ClassReport) count(outcome Outcome) {
	switch outcome {
	case OutcomeComplete:
		c.Complete++
	case OutcomeRefused:
		c.Refused++
	case OutcomeUnknown:
		c.Unknown++
	case OutcomeFailed:
		c.Failed++
	case OutcomeLost:
		c.Lost++
	case OutcomeDuplicated:
		c.Duplicated++
	case OutcomeWrong:
		c.Wrong++
	case OutcomeAbandoned:
		c.Abandoned++
	}
}

func (c *ClassReport) finish() {
	if stayed := c.Sent - c.Abandoned; stayed > 0 {
		c.Goodput = float64(c.InTime) / float64(stayed)
	}
	c.FirstTokenMS = quantiles(c.firstTokens)
	c.BetweenMS = quantiles(c.betweenTokens)
	c.CompletionMS = quantiles(c.completions)
	c.RefusalMS = quantiles(c.refusals)
}

func weightedGoodput(classes []ClassReport) float64 {
	var good, all float64
	for i := range classes {
		good += classes[i].Weight * float64(classes[i].InTime)
		all += classes[i].Weight * float64(classes[i].Sent-classes[i].Abandoned)
	}
	if all == 0 {
		return 0
	}
	return good / all
}

func (r *Report) addSecond(record *record, weight float64) {
	if record.outcome == OutcomeAbandoned {
		return
	}
	second := int(record.at / time.Second)
	for len(r.Seconds) <= second {
		r.Seconds = append(r.Seconds, SecondReport{Second: len(r.Seconds)})
	}
	s := &r.Seconds[second]
	s.Sent++
	s.Offered += weight
	switch record.outcome {
	case OutcomeComplete:
		s.Complete++
	case OutcomeRefused:
		s.Refused++
	}
	if record.inTime {
		s.InTime++
		s.Goodput += weight
	}
}

func (r *Report) addFault(record *record, scenario *Scenario) {
	switch record.outcome {
	case OutcomeLost, OutcomeDuplicated, OutcomeWrong:
	default:
		return
	}
	if len(r.Faults) < maxFaultsListed {
		r.Faults = append(r.Faults, Fault{
			Class: scenario.Classes[record.class].Name, Number: record.number, Key: record.key,
			AtMS: record.at.Milliseconds(), Outcome: record.outcome, Detail: record.detail,
		})
	}
}

func (r *Report) addExample(record *record) {
	if _, ok := r.Examples[record.reason]; !ok && record.reason != "" && record.outcome != OutcomeComplete {
		r.Examples[record.reason] = record.detail
	}
}

// CheckOutcomes returns an error when a request was lost, duplicated or
// answered wrongly.
func (r *Report) CheckOutcomes() error {
	t := &r.Total
	if t.Lost+t.Duplicated+t.Wrong == 0 {
		return nil
	}
	return eris.Errorf("%d requests lost, %d duplicated and %d answered wrongly, of %d", t.Lost, t.Duplicated, t.Wrong, t.Sent)
}

// Class returns the results of a class.
func (r *Report) Class(name string) (class ClassReport, ok bool) {
	for i := range r.Classes {
		if r.Classes[i].Class == name {
			return r.Classes[i], true
		}
	}
	return ClassReport{}, false
}

// WriteTable writes the report as a human-readable table.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s, seed %d, rate scale %g, %.1f s; times in ms as p50/p95/p99\n",
		r.Scenario, r.Seed, r.RateScale, float64(r.ElapsedMS)/1e3)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tsent\twhole\tin time\tgoodput\trefused\tunknown\tfailed\tlost\tdoubled\tcrossed\tgone\tfirst token\tbetween\tcompletion\trefusal\t")
	for i := range r.Classes {
		writeRow(table, &r.Classes[i])
	}
	writeRow(table, &r.Total)
	if err := table.Flush(); err != nil {
		return eris.Wrap(err, "write table")
	}
	fmt.Fprintf(w, "weighted goodput %.3f, role changes %d; the loader sent %s ms late\n", r.WeightedGoodput, r.RoleChanges, r.LagMS)
	if r.StallMS > 0 {
		fmt.Fprintf(w, "the loader was stalled for %.0f ms; later requests were postponed by the same time\n", r.StallMS)
	}
	if !r.RunsChecked {
		fmt.Fprintln(w, "the services' run counts were not compared (no --service)")
	}
	for _, fault := range r.Faults {
		fmt.Fprintf(w, "%s: %s number %d at %d ms, key %q: %s\n", fault.Outcome, fault.Class, fault.Number, fault.AtMS, fault.Key, fault.Detail)
	}
	return r.writeReasons(w)
}

func writeRow(w io.Writer, c *ClassReport) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n",
		c.Class, c.Sent, c.Complete, c.InTime, c.Goodput, c.Refused, c.Unknown, c.Failed, c.Lost, c.Duplicated, c.Wrong,
		c.Abandoned, c.FirstTokenMS, c.BetweenMS, c.CompletionMS, c.RefusalMS)
}

// writeReasons lists why requests have no complete answer, each with an example.
func (r *Report) writeReasons(w io.Writer) error {
	for _, reason := range slices.Sorted(maps.Keys(r.Total.Reasons)) {
		if _, err := fmt.Fprintf(w, "%d times %s, for example: %s\n", r.Total.Reasons[reason], reason, r.Examples[reason]); err != nil {
			return eris.Wrap(err, "write table")
		}
	}
	return nil
}

// String formats the quantiles as p50/p95/p99, or as a dash when there are none.
func (q Quantiles) String() string {
	if q == (Quantiles{}) {
		return "-"
	}
	return fmt.Sprintf("%.0f/%.0f/%.0f", q.P50, q.P95, q.P99)
}

func quantiles(samples []float64) Quantiles {
	if len(samples) == 0 {
		return Quantiles{}
	}
	slices.Sort(samples)
	at := func(share float64) float64 { return samples[int(share*float64(len(samples)-1)+0.5)] }
	return Quantiles{P50: at(0.50), P95: at(0.95), P99: at(0.99)}
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }
