package explainer

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Log messages about requests under which endpoints crashed.
const (
	messageCrashed     = "endpoint crashed under requests"
	messageQuarantined = "request quarantined: endpoints crash that run it"
)

// minCrashes is the number of crashed endpoints from which on a request is listed. A crash of
// one engine interrupts all requests that it runs, so that one crash says little about any of
// them.
const minCrashes = 2

// CrashSummary describes a request, identified by its fingerprint, under which endpoints
// crashed.
type CrashSummary struct {
	Fingerprint   string
	Endpoints     []string // endpoints that crashed shortly after the request had started there
	Callers       []string // addresses of its callers that are in the logs
	Hosts         []string // hosts that were running it
	IsQuarantined bool     // by at least one host
}

// crashCollector collects the log lines about such requests.
type crashCollector struct {
	endpoints, callers, hosts map[string]map[string]bool // by fingerprint
	quarantined               map[string]bool
}

func newCrashCollector() *crashCollector {
	return &crashCollector{
		endpoints: map[string]map[string]bool{}, callers: map[string]map[string]bool{}, hosts: map[string]map[string]bool{},
		quarantined: map[string]bool{},
	}
}

func addToSet(sets map[string]map[string]bool, key, value string) {
	if sets[key] == nil {
		sets[key] = map[string]bool{}
	}
	sets[key][value] = true
}

func (c *crashCollector) add(line *Line) {
	fingerprint := stringField(line, "request_name")
	switch {
	case line.Message == messageCrashed:
		for _, fingerprint := range requestFingerprints(line) {
			addToSet(c.endpoints, fingerprint, stringField(line, "endpoint_id"))
			addToSet(c.hosts, fingerprint, line.Host)
		}
	case line.Message == messageQuarantined:
		c.quarantined[fingerprint] = true
	case fingerprint != "" && stringField(line, "caller") != "":
		addToSet(c.callers, fingerprint, stringField(line, "caller"))
	}
}

// requestFingerprints returns the requests that a line about an endpoint crash lists.
func requestFingerprints(line *Line) (fingerprints []string) {
	list, _ := line.Fields["request_names"].([]any)
	for _, value := range list {
		if fingerprint, ok := value.(string); ok {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

// summaries returns the requests, those with the most crashed endpoints first.
func (c *crashCollector) summaries() (list []CrashSummary) {
	for fingerprint, endpoints := range c.endpoints {
		if len(endpoints) < minCrashes && !c.quarantined[fingerprint] {
			continue
		}
		list = append(list, CrashSummary{
			Fingerprint: fingerprint, Endpoints: slices.Sorted(maps.Keys(endpoints)), Callers: slices.Sorted(maps.Keys(c.callers[fingerprint])),
			Hosts: slices.Sorted(maps.Keys(c.hosts[fingerprint])), IsQuarantined: c.quarantined[fingerprint],
		})
	}
	slices.SortFunc(list, func(a, b CrashSummary) int {
		return cmp.Or(cmp.Compare(len(b.Endpoints), len(a.Endpoints)), strings.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list
}

func printCrashes(w io.Writer, summaries []CrashSummary) {
	if len(summaries) == 0 {
		return
	}
	fmt.Fprintln(w, "\nrequest under which endpoints crashed\tendpoints\tquarantined\tat hosts\tfrom")
	for _, summary := range summaries {
		fmt.Fprintf(w, "%s\t%d\t%t\t%s\t%s\n", summary.Fingerprint, len(summary.Endpoints), summary.IsQuarantined,
			strings.Join(summary.Hosts, ","), strings.Join(summary.Callers, ","))
	}
}
