// Package classifier determines the class of an opaque request by its host and the longest
// matching prefix of its path.
//
// A configuration is installed as a whole. Its version only increases during the lifetime
// of a process: an older one that arrives late, from a lagging store or from a peer, is
// ignored.
//
// # Usage
//
//	c := classifier.New()
//	changed := c.Install(&classifier.Snapshot{Version: 7, Rules: rules})
//	match, ok := c.Find("letters.example", "/drafts/1")
package classifier

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/endivemast/endivemast/internal/authenticator"
	"github.com/endivemast/endivemast/internal/configurer"
)

// Class is a class of opaque requests. Calls have a CompletionTarget; streams have a
// FirstTokenTarget and a BetweenTokensTarget.
type Class struct {
	configurer.Class
	Timeout     time.Duration // longest time until a request is answered; 0: none
	MaxAttempts int           // number of endpoints that may run one request
	Rank        int           // of the tenant, or of the route; 0 is the most urgent
	RouteRank   int           // of the route; it orders the requests of one Rank
	IsResumable bool          // an interrupted stream may be resumed after its last event
	IsPublic    bool          // no key is needed, even if the configuration has tenants
	// Shares distribute the class over applications; never empty.
	Shares []Share
}

// maxRank is the least urgent rank that is distinguished.
const maxRank = 9

// Precedence returns the order of the class's requests under shortage, from 0, the most
// urgent, to 99: by Rank, and by RouteRank among requests of one Rank. A tenant's rank
// goes before that of a route, so it alone would not distinguish the tenant's classes.
func (c *Class) Precedence() int {
	return min(max(c.Rank, 0), maxRank)*(maxRank+1) + min(max(c.RouteRank, 0), maxRank)
}

// Share is the share of a class that an application serves.
type Share struct {
	Application string
	Weight      int
}

// Rule assigns requests to a class by host and path prefix.
type Rule struct {
	Host       string
	PathPrefix string // begins and ends with a slash
	Class      Class
}

// Scaling holds the allowed numbers of an application's engines and their prices.
type Scaling struct {
	Min, Max int           // number of engines per zone
	BootTime time.Duration // from the order of an engine until it serves
	// SpotPrice is the price of an engine that may be withdrawn at short notice, as a share
	// of an engine's price; 0: none are available.
	SpotPrice float64
	// Prices are per engine and second, by zone. A zone without one costs DefaultPrice.
	Prices map[string]float64
}

// DefaultPrice is the price per engine and second in a zone without a price of its own.
const DefaultPrice = 1.0

// Price returns the price per engine and second in a zone.
func (s *Scaling) Price(zone string) float64 {
	if price, ok := s.Prices[zone]; ok {
		return price
	}
	return DefaultPrice
}

// Limits are the limits for requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration // from the first byte of a header to its end
	MaxBodyBytes   int64
	IdleTimeout    time.Duration // of a keep-alive connection
}

// Snapshot is a complete configuration.
type Snapshot struct {
	Version      int64
	Rules        []Rule
	Applications []string // names; an application is a group of endpoints
	Limits       Limits
	// Scaling holds the applications whose engines are ordered from the platform, by name.
	Scaling map[string]Scaling
	// HealthPaths holds the paths of health checks of applications that have one, by name.
	HealthPaths map[string]string
	// Tenants holds the tenants whose keys are accepted; nil: requests carry no keys.
	Tenants *authenticator.Directory
	// Problems describe the parts of the configuration that were rejected.
	Problems []error
}

// Classifier holds the current configuration. It is safe for concurrent use and implements
// configurer.Reader.
type Classifier struct {
	current atomic.Pointer[index]
}

var _ configurer.Reader = (*Classifier)(nil)

// index is a snapshot prepared for lookups. It is immutable.
type index struct {
	snapshot     *Snapshot
	hosts        map[string][]Rule // longest prefix first
	applications map[string]bool
	classes      map[string]Class
}

// New returns a Classifier without a configuration.
func New() *Classifier { return &Classifier{} }

// Install replaces the configuration. It returns false and changes nothing if the current
// version is the same or later.
func (c *Classifier) Install(snapshot *Snapshot) (changed bool) {
	next := newIndex(snapshot)
	for {
		current := c.current.Load()
		if current != nil && current.snapshot.Version >= snapshot.Version {
			return false
		}
		if c.current.CompareAndSwap(current, next) {
			return true
		}
	}
}

func newIndex(snapshot *Snapshot) *index {
	x := &index{
		snapshot: snapshot, hosts: map[string][]Rule{},
		applications: map[string]bool{}, classes: map[string]Class{},
	}
	for _, rule := range snapshot.Rules {
		host := strings.ToLower(rule.Host)
		x.hosts[host] = append(x.hosts[host], rule)
		x.classes[rule.Class.Name] = rule.Class
	}
	for _, rules := range x.hosts {
		slices.SortStableFunc(rules, func(a, b Rule) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, application := range snapshot.Applications {
		x.applications[application] = true
	}
	return x
}

// Find returns the class of requests to a host and path. The host may include a port.
func (c *Classifier) Find(host, path string) (class Class, ok bool) {
	x := c.current.Load()
	if x == nil {
		return Class{}, false
	}
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, rule := range x.hosts[name] {
		if strings.HasPrefix(path, rule.PathPrefix) {
			return rule.Class, true
		}
	}
	return Class{}, false
}

// Class returns a class by name. Classes of opaque requests have no tenant.
func (c *Classifier) Class(_, name string) (class configurer.Class, ok bool) {
	x := c.current.Load()
	if x == nil {
		return configurer.Class{}, false
	}
	found, ok := x.classes[name]
	return found.Class, ok
}

// Application returns an application by name. Only the name is set: the configuration has
// no other settings of an application.
func (c *Classifier) Application(name string) (application configurer.Application, ok bool) {
	x := c.current.Load()
	if x == nil || !x.applications[name] {
		return configurer.Application{}, false
	}
	return configurer.Application{Name: name}, true
}

// Tenants returns the current tenants; nil if requests carry no keys, and before the first
// configuration.
func (c *Classifier) Tenants() *authenticator.Directory {
	x := c.current.Load()
	if x == nil {
		return nil
	}
	return x.snapshot.Tenants
}

// Current returns the configuration in force; nil before the first one. It must not be changed.
func (c *Classifier) Current() *Snapshot {
	x := c.current.Load()
	if x == nil {
		return nil
	}
	return x.snapshot
}

// HealthPath returns the path of an application's health check; empty: it has none, or no
// configuration is in force.
func (c *Classifier) HealthPath(application string) string {
	x := c.current.Load()
	if x == nil {
		return ""
	}
	return x.snapshot.HealthPaths[application]
}

// Scaling returns the applications whose engines are ordered from the platform, by name;
// nil before the first configuration.
func (c *Classifier) Scaling() map[string]Scaling {
	x := c.current.Load()
	if x == nil {
		return nil
	}
	return x.snapshot.Scaling
}

// Limits returns the current limits; zero before the first configuration.
func (c *Classifier) Limits() Limits {
	x := c.current.Load()
	if x == nil {
		return Limits{}
	}
	return x.snapshot.Limits
}

// Revision returns the current version; 0 before the first configuration.
func (c *Classifier) Revision() int64 {
	x := c.current.Load()
	if x == nil {
		return 0
	}
	return x.snapshot.Version
}

// Ready reports whether a configuration has been installed.
func (c *Classifier) Ready() bool { return c.current.Load() != nil }
