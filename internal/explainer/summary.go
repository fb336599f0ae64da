package explainer

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// Log messages that mark the end of a request.
const (
	messageServed    = "request served"
	messageNotServed = "request not served"
)

// ClassSummary counts the outcomes of the requests of a class. Hosts drop log lines under
// load, so that requests can be missing; see Summary.DroppedLines.
type ClassSummary struct {
	Class     string
	InTime    int
	LateFirst int            // the first event, or the answer of a call, was late
	LatePause int            // a pause between two events was too long
	NotServed map[string]int // by outcome and reason
	// How the time of requests with a late first event was spent: in the queue,
	// on the prefill, and on all else before that event.
	Queued, Prefill, Remainder DurationStats
}

// DurationStats holds the mean and the 95th percentile of a set of durations.
type DurationStats struct{ Mean, P95 time.Duration }

// SecondSummary counts the outcomes of the requests that arrived within one second.
type SecondSummary struct {
	At                                   time.Time
	InTime, LateFirst, LatePause, Others int
}

// Summary holds the outcomes of all requests in the logs.
type Summary struct {
	Classes      []ClassSummary
	Seconds      []SecondSummary
	Crashes      []CrashSummary
	DroppedLines int // log lines that hosts report as dropped
}

// classTally collects the log lines of a class.
type classTally struct {
	ClassSummary
	queued, prefill, remainder []time.Duration
}

// Summarise reads logs and counts the outcomes of requests by class and by second, with the
// time that late requests spent in each stage. It fails when a log can't be read.
func Summarise(sources ...Source) (summary Summary, err error) {
	defer func() { err = eris.Wrap(err, "summarise requests") }()
	classes, seconds := map[string]*classTally{}, map[int64]*SecondSummary{}
	crashes := newCrashCollector()
	for _, source := range sources {
		lines, err := readLog(source)
		if err != nil {
			return Summary{}, err
		}
		for i := range lines {
			summary.DroppedLines += int(numberField(&lines[i], "lines_left_out"))
			crashes.add(&lines[i])
			if lines[i].Message == messageServed || lines[i].Message == messageNotServed {
				countRequest(&lines[i], classes, seconds)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		summary.Classes = append(summary.Classes, classes[name].toSummary())
	}
	for _, at := range slices.Sorted(maps.Keys(seconds)) {
		summary.Seconds = append(summary.Seconds, *seconds[at])
	}
	summary.Crashes = crashes.summaries()
	return summary, nil
}

func countRequest(line *Line, classes map[string]*classTally, seconds map[int64]*SecondSummary) {
	name := stringField(line, "class")
	class := classes[name]
	if class == nil {
		class = &classTally{ClassSummary: ClassSummary{Class: name, NotServed: map[string]int{}}}
		classes[name] = class
	}
	arrived := line.At.Add(-durationField(line, "age_ms")).Truncate(time.Second)
	second := seconds[arrived.Unix()]
	if second == nil {
		second = &SecondSummary{At: arrived}
		seconds[arrived.Unix()] = second
	}
	switch {
	case line.Message == messageNotServed:
		class.NotServed[stringField(line, "outcome")+" "+stringField(line, "reason")]++
		second.Others++
	case stringField(line, "late") == "first":
		class.LateFirst++
		second.LateFirst++
		class.addLateFirst(line)
	case stringField(line, "late") == "pause":
		class.LatePause++
		second.LatePause++
	default:
		class.InTime++
		second.InTime++
	}
}

// addLateFirst records how the time of a request with a late first event was spent.
func (t *classTally) addLateFirst(line *Line) {
	queued, prefill, firstEvent := durationField(line, "queued_ms"), durationField(line, "read_ms"), durationField(line, "first_ms")
	if firstEvent == 0 {
		firstEvent = durationField(line, "age_ms") // a call has no events
	}
	t.queued = append(t.queued, queued)
	t.prefill = append(t.prefill, prefill)
	t.remainder = append(t.remainder, max(firstEvent-queued-prefill, 0))
}

func (t *classTally) toSummary() ClassSummary {
	t.Queued, t.Prefill, t.Remainder = statsOf(t.queued), statsOf(t.prefill), statsOf(t.remainder)
	return t.ClassSummary
}

const highPercentile = 0.95

func statsOf(durations []time.Duration) (s DurationStats) {
	if len(durations) == 0 {
		return s
	}
	slices.Sort(durations)
	for _, d := range durations {
		s.Mean += d
	}
	s.Mean /= time.Duration(len(durations))
	s.P95 = durations[min(int(highPercentile*float64(len(durations))), len(durations)-1)]
	return s
}

func stringField(line *Line, field string) string {
	value, _ := line.Fields[field].(string)
	return value
}

func numberField(line *Line, field string) float64 {
	value, _ := line.Fields[field].(float64)
	return value
}

func durationField(line *Line, field string) time.Duration {
	return time.Duration(numberField(line, field) * float64(time.Millisecond))
}

// Print writes the summary as text: the classes with the most late or unserved requests first,
// then the seconds.
func (a *Summary) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\tin time\tlate first\tlate pause\tnot served\tof late first, mean and 95th of 100: queued\tread\trest")
	for _, class := range slices.SortedFunc(slices.Values(a.Classes), compareMissed) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", class.Class, class.InTime, class.LateFirst, class.LatePause,
			formatReasons(class.NotServed), class.Queued, class.Prefill, class.Remainder)
	}
	fmt.Fprintln(t, "\nfrom second\tin time\tlate first\tlate pause\tnot served")
	for i := range a.Seconds {
		second := &a.Seconds[i]
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\n", second.At.Unix()-a.Seconds[0].At.Unix(), second.InTime, second.LateFirst, second.LatePause, second.Others)
	}
	printCrashes(t, a.Crashes)
	if a.DroppedLines > 0 {
		fmt.Fprintf(t, "\n%d lines were left out by the hosts\n", a.DroppedLines)
	}
	return t.Flush()
}

// compareMissed sorts classes by the number of requests that were late or not served, highest
// first.
func compareMissed(a, b ClassSummary) int {
	return cmp.Or(cmp.Compare(b.total(), a.total()), strings.Compare(a.Class, b.Class))
}

func (c *ClassSummary) total() (total int) {
	for _, n := range c.NotServed {
		total += n
	}
	return total + c.LateFirst + c.LatePause
}

func formatReasons(counts map[string]int) string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[reason], reason))
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, ", ")
}

// String formats the mean and the 95th percentile in milliseconds.
func (s DurationStats) String() string {
	return fmt.Sprintf("%d, %d ms", s.Mean.Milliseconds(), s.P95.Milliseconds())
}
