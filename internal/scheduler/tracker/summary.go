package tracker

import (
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/aggregator"
	"github.com/endivemast/endivemast/internal/driver"
)

// fairShareTolerance is the factor by which a tenant may exceed an equal share
// before it counts as over it.
const fairShareTolerance = 1.25

// Summary is the state of all endpoints of an application together. Refresh
// recomputes it after ticks and changes of the host list.
type Summary struct {
	Peers  int // other hosts that give work
	Usable int // endpoints that take new work
	// Capacity is the engine seconds per second that this host can count on, and Portion the
	// part of all usable endpoints that it is, from 0 to 1.
	Capacity float64
	Portion  float64
	// SoftwareVersions holds the part of Capacity of each software version; nil if all usable
	// endpoints have the same one.
	SoftwareVersions map[string]float64
	FleetCapacity    RoleCapacity // of all usable endpoints, for the callers of all hosts
	MeanBatch        int          // requests in flight at a usable endpoint
	MeanTokensAhead  int          // prompt tokens queued at a usable endpoint
	// MedianPrefillAhead is the number of prompt tokens queued at a usable endpoint that
	// prefills. It is not the mean, since long prompts queue at the few engines that cache
	// their prefix while the others have room.
	MedianPrefillAhead int
	MedianDirectAhead  int // the same for usable endpoints that only decode
	// SlotUse is the share in use of the request limits of usable endpoints, without those
	// that only prefill.
	SlotUse float64
	// PrefillUse is the share of the usable engines that only prefill that have work.
	PrefillUse float64
	// MaxTokenInterval is the smallest Class.MaxTokenInterval among the classes with
	// many requests; 0: none.
	MaxTokenInterval time.Duration
	// BatchLimit is the batch size up to which engines stay within MaxTokenInterval;
	// 0: no limit.
	BatchLimit int
	// ExcessShare is by how much this host exceeds its Portion of the requests in flight,
	// relative to that portion; 0: it does not.
	ExcessShare float64
	// CostScale corrects estimated costs, which count the base time and the batch of a
	// step twice: for the prompt tokens and for the output tokens.
	CostScale        float64
	HasSeparateRoles bool // some engines only prefill or only decode
	// FairShare is the limit of Tenant.UsedSeconds above which other tenants have
	// precedence; 0: only one tenant.
	FairShare float64
}

// CapacityOf returns the part of Capacity that endpoints of a software version provide; all of it
// for work that any endpoint may run.
func (s *Summary) CapacityOf(softwareVersion string) float64 {
	if softwareVersion == "" || s.SoftwareVersions == nil {
		return s.Capacity
	}
	return s.SoftwareVersions[softwareVersion]
}

func (t *Table) summarise(now time.Time) {
	t.isStale = false
	type tenantUse struct {
		sum   float64
		count int
	}
	usage := make(map[string]tenantUse)
	for key, tenant := range t.Tenants {
		u := usage[key.Application]
		usage[key.Application] = tenantUse{sum: u.sum + tenant.UsedSeconds, count: u.count + 1}
	}
	offered := make(map[string]float64)
	for _, class := range t.Classes {
		offered[class.Application] += class.Offered
	}
	peers := t.PeerHosts()
	for _, application := range t.Applications {
		portion, giving := t.portion(application.Name, peers)
		application.Summary = t.summary(application, giving, portion, now)
		if u := usage[application.Name]; u.count > 1 {
			application.Summary.FairShare = u.sum / float64(u.count) * fairShareTolerance
		}
	}
	for _, class := range t.Classes {
		application := t.Applications[class.Application]
		if application != nil && class.Offered >= minClassShare*offered[class.Application] {
			application.Summary.limitTokenInterval(class.MaxTokenInterval())
		}
	}
	for _, application := range t.Applications {
		application.Summary.BatchLimit = application.Model.BatchWithin(application.Summary.MaxTokenInterval, application.Summary.MeanBatch)
		application.Summary.CostScale = application.costScale()
	}
}

// costScale returns Summary.CostScale. A step of a busy engine with a batch of b
// lasts one token interval, yields b output tokens and, in a steady state, as many
// prompt tokens as arrive with them. The interval divided by b is therefore the
// combined cost.
func (a *Application) costScale() float64 {
	prefill, decode := a.Demand.Short.PerSecond()
	if decode <= 0 {
		return 1
	}
	combined := a.Model.DecodeCost(1, a.Summary.MeanBatch).Seconds()
	separate := combined + prefill/decode*a.Model.PrefillToken()
	return combined / separate
}

// minClassShare is the share of an application's requests from which on a class
// affects MaxTokenInterval.
const minClassShare = 0.05

func (s *Summary) limitTokenInterval(interval time.Duration) {
	if interval > 0 && (s.MaxTokenInterval == 0 || interval < s.MaxTokenInterval) {
		s.MaxTokenInterval = interval
	}
}

// capacity returns the engine seconds per second of an endpoint. One with a limit
// on its request rate provides what that many requests cost.
func (t *Table) capacity(a *Application, endpoint *Endpoint) float64 {
	speed := 1 / endpoint.CurrentSlowdown()
	if t.RateLimitOf == nil || a.MeanCost <= 0 {
		return speed
	}
	if rate, ok := t.RateLimitOf(endpoint.Target.Process()); ok {
		return min(speed, rate*a.MeanCost)
	}
	return speed
}

func (t *Table) isBackingOff(endpoint *Endpoint) bool {
	return t.BackoffRemaining != nil && t.BackoffRemaining(endpoint.Target.Process()) > 0
}

// FleetDemand is what the callers of this host and of the others ask for by application, in
// engine seconds per second. Its zero value is a demand that is not known.
type FleetDemand struct {
	Own, Others  map[string]float64
	Hosts        int // hosts whose demand Others is
	HostsWithout int // hosts whose demand is not known
}

// Portion returns the fraction of an application's capacity that this host can count on.
func (t *Table) Portion(application string) float64 {
	portion, _ := t.portion(application, t.PeerHosts())
	return portion
}

// portion is Portion where peers hosts are known; giving of them reach the application's
// endpoints. It follows the demand, since the callers of some zones ask for several times as much as those of others.
// Without known demand, all hosts are assumed to have the same. A host's share of the work in
// flight would be the wrong measure: a host that has refused a little more than others would
// assume less capacity, refuse more, and end with nearly none.
func (t *Table) portion(application string, peers int) (portion float64, giving int) {
	giving = max(peers-int(t.PeersWithoutPath[application]+0.5), 0)
	reaching := 1.0
	if peers > 0 {
		reaching = float64(giving) / float64(peers)
	}
	d := &t.Demand
	others := d.Others[application] * reaching
	portion, ok := aggregator.Portion(d.Own[application], others, float64(d.Hosts)*reaching, float64(d.HostsWithout)*reaching)
	if !ok {
		return 1 / float64(1+giving), giving
	}
	return portion, giving
}

// summary computes the state of the usable endpoints.
func (t *Table) summary(a *Application, peers int, portion float64, now time.Time) (s Summary) {
	s.Peers, s.Portion = peers, portion
	requests, ahead, own, others := 0, 0, 0, 0
	var prefillAhead, directAhead []int
	decodeRequests, decodeLimit, prefillEngines, prefillInUse := 0, 0, 0, 0
	var speed float64
	firstVersion := ""
	for i := range a.Len() {
		endpoint := a.At(i)
		if endpoint.Role == driver.RoleDecode || endpoint.Role == driver.RolePrefill {
			s.HasSeparateRoles = true
		}
		if !endpoint.TakesNewWork() || endpoint.IsCutOff() || !endpoint.Breaker.Allows(now) || t.isBackingOff(endpoint) {
			continue
		}
		s.Usable++
		capacity := t.capacity(a, endpoint)
		version := endpoint.Target.SoftwareVersion
		switch {
		case s.SoftwareVersions != nil:
			s.SoftwareVersions[version] += capacity
		case s.Usable == 1:
			firstVersion = version
		case version != firstVersion:
			s.SoftwareVersions = map[string]float64{firstVersion: speed, version: capacity}
		}
		speed += capacity
		s.FleetCapacity.add(endpoint.Role, capacity)
		own += endpoint.Own.Requests
		others += endpoint.Peers.Requests
		total := endpoint.Total()
		requests += total.Requests
		ahead += total.PrefillTokens
		if endpoint.CanPrefill() {
			prefillAhead = append(prefillAhead, total.PrefillTokens)
		} else {
			directAhead = append(directAhead, total.PrefillTokens)
		}
		if endpoint.Role == driver.RolePrefill {
			prefillEngines++
			if total.Requests > 0 {
				prefillInUse++
			}
		}
		if endpoint.CanDecode() {
			decodeRequests += total.Requests
			decodeLimit += endpoint.Limit
		}
	}
	s.Capacity = speed * portion
	for version := range s.SoftwareVersions {
		s.SoftwareVersions[version] *= portion
	}
	s.MeanBatch = max(1, requests/max(1, s.Usable))
	s.ExcessShare = max(float64(own)/(portion*float64(max(own+others, 1)))-1, 0)
	s.MeanTokensAhead = ahead / max(1, s.Usable)
	s.MedianPrefillAhead, s.MedianDirectAhead = median(prefillAhead), median(directAhead)
	s.SlotUse = float64(decodeRequests) / float64(max(1, decodeLimit))
	s.PrefillUse = float64(prefillInUse) / float64(max(1, prefillEngines))
	return s
}

// median returns the lower median, or 0 without values.
func median(values []int) int {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
