package comparer

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/loader"
)

// group has the runs of one scenario and fault.
type group struct {
	scenario string
	fault    string
	variants []Variant
	results  []*Result
}

func (c *Comparison) groups() (groups []*group) {
	for i := range c.Results {
		result := &c.Results[i]
		at := slices.IndexFunc(groups, func(g *group) bool {
			return g.scenario == result.Scenario && g.fault == result.Fault
		})
		if at < 0 {
			at = len(groups)
			groups = append(groups, &group{scenario: result.Scenario, fault: result.Fault, variants: c.Variants})
		}
		groups[at].results = append(groups[at].results, result)
	}
	return groups
}

func (g *group) name() string {
	if g.fault == faultName(NoFault{}) {
		return g.scenario
	}
	return g.scenario + "_" + g.fault
}

func (g *group) resultsOf(variant string) (results []*Result) {
	for _, result := range g.results {
		if result.Variant == variant {
			results = append(results, result)
		}
	}
	return results
}

func (g *group) reportsOf(variant string) (reports []*loader.Report) {
	for _, result := range g.resultsOf(variant) {
		reports = append(reports, result.Report)
	}
	return reports
}

// bestBaseline returns the highest weighted goodput of the baselines for a seed.
func (g *group) bestBaseline(seed uint64) (best float64) {
	for _, variant := range g.variants {
		if !variant.IsBaseline {
			continue
		}
		for _, result := range g.resultsOf(variant.Name) {
			if result.Seed == seed {
				best = max(best, result.Report.WeightedGoodput)
			}
		}
	}
	return best
}

// spread has the mean, minimum and maximum of a value over the repetitions.
type spread struct{ mean, min, max float64 }

func spreadOf(results []*Result, value func(*Result) float64) (s spread) {
	for i, result := range results {
		v := value(result)
		if i == 0 {
			s.min, s.max = v, v
		}
		s.min, s.max = min(s.min, v), max(s.max, v)
		s.mean += v / float64(len(results))
	}
	return s
}

func (s spread) format(verb string) string {
	return fmt.Sprintf(verb+" ("+verb+" to "+verb+")", s.mean, s.min, s.max)
}

// WriteTables writes two Markdown tables for each scenario and fault: one of the
// variants and one of their classes.
func (c *Comparison) WriteTables(w io.Writer) error {
	var b strings.Builder
	for _, g := range c.groups() {
		g.writeVariants(&b)
		g.writeClasses(&b)
	}
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write tables")
}

func (g *group) writeVariants(b *strings.Builder) {
	fmt.Fprintf(b, "\n%s: mean (minimum to maximum) of the runs\n", g.name())
	for _, application := range slices.Sorted(maps.Keys(g.results[0].Utilisation)) {
		use := spreadOf(g.results, func(r *Result) float64 { return r.Utilisation[application] })
		fmt.Fprintf(b, "utilisation of %s at least %.2f\n", application, use.mean)
	}
	b.WriteString("\n")
	b.WriteString("| variant | weighted goodput | to the best baseline | to the bound | role changes | refused | retries, hedges | entry CPU s | runs, dropped, late | load |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, variant := range g.variants {
		if results := g.resultsOf(variant.Name); len(results) > 0 {
			g.writeVariant(b, variant.Name, results)
		}
	}
}

func (g *group) writeVariant(b *strings.Builder, name string, results []*Result) {
	goodput := spreadOf(results, func(r *Result) float64 { return r.Report.WeightedGoodput })
	toBest := spreadOf(results, func(r *Result) float64 { return ratio(r.Report.WeightedGoodput, g.bestBaseline(r.Seed)) })
	toBound := spreadOf(results, func(r *Result) float64 { return ratio(r.Report.WeightedGoodput, r.Bound) })
	changes := spreadOf(results, func(r *Result) float64 { return float64(r.Report.RoleChanges) })
	refused := spreadOf(results, func(r *Result) float64 { return float64(r.Report.Total.Refused) })
	retries := spreadOf(results, func(r *Result) float64 { return float64(r.Retries) })
	hedges := spreadOf(results, func(r *Result) float64 { return float64(r.Hedges) })
	cpu := spreadOf(results, func(r *Result) float64 { return r.CPUSeconds })
	load := spreadOf(results, func(r *Result) float64 { return r.LoadAverage })
	dropped, late := 0, 0
	for _, result := range results {
		dropped += len(result.Dropped)
		if result.IsLate {
			late++
		}
	}
	fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %.0f | %.0f, %.0f | %.0f | %d, %d, %d | %.0f to %.0f |\n",
		name, goodput.format("%.3f"), toBest.format("%.2f"), toBound.format("%.2f"), changes.format("%.0f"),
		refused.mean, retries.mean, hedges.mean, cpu.mean, len(results), dropped, late, load.min, load.max)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func (g *group) writeClasses(b *strings.Builder) {
	b.WriteString("\n| class, variant | in time | sent | refused | late | lost, doubled, crossed | other | first token ms | completion ms | refusal ms |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	if len(g.results) == 0 {
		return
	}
	for i := range g.results[0].Report.Classes {
		for _, variant := range g.variants {
			if results := g.resultsOf(variant.Name); len(results) > 0 {
				writeClass(b, variant.Name, results, i)
			}
		}
	}
}

// writeClass writes the row of one class and variant. Counts are summed over the
// repetitions; times are the means of the percentiles.
func writeClass(b *strings.Builder, variant string, results []*Result, index int) {
	var sum loader.ClassReport
	for _, result := range results {
		class := &result.Report.Classes[index]
		sum.Class = class.Class
		sum.Sent += class.Sent
		sum.Complete += class.Complete
		sum.InTime += class.InTime
		sum.Refused += class.Refused
		sum.Unknown += class.Unknown + class.Failed
		sum.Lost += class.Lost
		sum.Duplicated += class.Duplicated
		sum.Wrong += class.Wrong
	}
	of := func(pick func(*loader.ClassReport) loader.Quantiles) string {
		return meanQuantiles(results, index, pick).String()
	}
	goodput := spreadOf(results, func(r *Result) float64 { return r.Report.Classes[index].Goodput })
	fmt.Fprintf(b, "| %s, %s | %s | %d | %d | %d | %d, %d, %d | %d | %s | %s | %s |\n",
		sum.Class, variant, goodput.format("%.3f"), sum.Sent, sum.Refused, sum.Complete-sum.InTime,
		sum.Lost, sum.Duplicated, sum.Wrong, sum.Unknown,
		of(func(c *loader.ClassReport) loader.Quantiles { return c.FirstTokenMS }),
		of(func(c *loader.ClassReport) loader.Quantiles { return c.CompletionMS }),
		of(func(c *loader.ClassReport) loader.Quantiles { return c.RefusalMS }))
}

func meanQuantiles(results []*Result, index int, pick func(*loader.ClassReport) loader.Quantiles) (mean loader.Quantiles) {
	count := 0
	for _, result := range results {
		if q := pick(&result.Report.Classes[index]); q != (loader.Quantiles{}) {
			mean.P50, mean.P95, mean.P99 = mean.P50+q.P50, mean.P95+q.P95, mean.P99+q.P99
			count++
		}
	}
	if count == 0 {
		return mean
	}
	n := float64(count)
	return loader.Quantiles{P50: mean.P50 / n, P95: mean.P95 / n, P99: mean.P99 / n}
}
