package explainer

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Messages of the lines that tell of requests under which endpoints ended.
const (
	messageEnded    = "endpoint ended under requests"
	messageSetAside = "request set aside: endpoints end that run it"
)

// fewestEnds is from how many endpoints on a request is listed: with each engine
// that ends, all that ran there break off.
const fewestEnds = 2

// EndsAccount is a request, by its name, under which endpoints ended.
type EndsAccount struct {
	Name       string
	Endpoints  []string // that ended while it had just begun there
	Callers    []string // addresses that it came from, as far as lines tell
	Hosts      []string // that had it under way
	IsSetAside bool     // by any host
}

// ends gathers the lines about such requests.
type ends struct {
	endpoints, callers, hosts map[string]map[string]bool // by the request's name
	aside                     map[string]bool
}

func newEnds() *ends {
	return &ends{
		endpoints: map[string]map[string]bool{}, callers: map[string]map[string]bool{}, hosts: map[string]map[string]bool{},
		aside: map[string]bool{},
	}
}

func note(of map[string]map[string]bool, name, value string) {
	if of[name] == nil {
		of[name] = map[string]bool{}
	}
	of[name][value] = true
}

func (e *ends) take(line *Line) {
	name := text(line, "request_name")
	switch {
	case line.Message == messageEnded:
		for _, name := range namesIn(line) {
			note(e.endpoints, name, text(line, "endpoint_id"))
			note(e.hosts, name, line.Host)
		}
	case line.Message == messageSetAside:
		e.aside[name] = true
	case name != "" && text(line, "caller") != "":
		note(e.callers, name, text(line, "caller"))
	}
}

// namesIn are the requests that a line about an endpoint's end lists.
func namesIn(line *Line) (names []string) {
	list, _ := line.Fields["request_names"].([]any)
	for _, value := range list {
		if name, ok := value.(string); ok {
			names = append(names, name)
		}
	}
	return names
}

// accounts are the requests with most ends first.
func (e *ends) accounts() (accounts []EndsAccount) {
	for name, endpoints := range e.endpoints {
		if len(endpoints) < fewestEnds && !e.aside[name] {
			continue
		}
		accounts = append(accounts, EndsAccount{
			Name: name, Endpoints: slices.Sorted(maps.Keys(endpoints)), Callers: slices.Sorted(maps.Keys(e.callers[name])),
			Hosts: slices.Sorted(maps.Keys(e.hosts[name])), IsSetAside: e.aside[name],
		})
	}
	slices.SortFunc(accounts, func(a, b EndsAccount) int {
		return cmp.Or(cmp.Compare(len(b.Endpoints), len(a.Endpoints)), strings.Compare(a.Name, b.Name))
	})
	return accounts
}

func printEnds(w io.Writer, accounts []EndsAccount) {
	if len(accounts) == 0 {
		return
	}
	fmt.Fprintln(w, "\nrequest under which endpoints ended\tendpoints\tset aside\tat hosts\tfrom")
	for _, account := range accounts {
		fmt.Fprintf(w, "%s\t%d\t%t\t%s\t%s\n", account.Name, len(account.Endpoints), account.IsSetAside,
			strings.Join(account.Hosts, ","), strings.Join(account.Callers, ","))
	}
}
