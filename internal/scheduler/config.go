package scheduler

import (
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler/planner"
	"github.com/endivemast/endivemast/internal/scheduler/router"
)

// Admission is an admission policy.
type Admission string

// Admission policies. AdmitAll is a baseline for measurements.
const (
	AdmitBySlack Admission = "by_slack" // queue on this host by latest start; refuse work that cannot meet its targets
	AdmitAll     Admission = "all"      // send all work to an endpoint immediately
)

// Policy selects the scheduling algorithms. The zero value is the default policy.
type Policy struct {
	Routing   router.Strategy  // default router.EstimatedFinish
	Admission Admission        // default AdmitBySlack
	Roles     planner.Strategy // default planner.Planned
	// MinLoss is the part of an application's engine time that has to be lost for work to be
	// admitted by rank and tenant; 0: DefaultMinLoss, negative: none.
	MinLoss float64
	// PrefillShare is the share of engines that prefill if Roles is planner.Fixed.
	PrefillShare float64
}

// DefaultMinLoss is the default of Policy.MinLoss: shares never apply. They follow from
// estimated costs and capacity, and after a loss of 0.5 of the engines they refused callers
// whom the queue would have served wherever the rest could still serve a third.
const DefaultMinLoss = 1

// Validate returns the policy with defaults filled in. The error names the invalid
// setting, its value and the accepted values.
func (p Policy) Validate() (Policy, error) {
	if p.Routing == "" {
		p.Routing = router.EstimatedFinish
	}
	if p.Admission == "" {
		p.Admission = AdmitBySlack
	}
	if p.MinLoss == 0 {
		p.MinLoss = DefaultMinLoss
	}
	if p.Roles == "" {
		p.Roles = planner.Planned
	}
	switch p.Routing {
	case router.EstimatedFinish, router.RoundRobin, router.FewestInFlight:
	default:
		return p, fmt.Errorf("policy routing %q: want %s, %s or %s",
			p.Routing, router.EstimatedFinish, router.RoundRobin, router.FewestInFlight)
	}
	switch p.Admission {
	case AdmitBySlack, AdmitAll:
	default:
		return p, fmt.Errorf("policy admission %q: want %s or %s", p.Admission, AdmitBySlack, AdmitAll)
	}
	switch p.Roles {
	case planner.Planned, planner.Never, planner.FollowDemand, planner.Fixed:
	default:
		return p, fmt.Errorf("policy roles %q: want %s, %s or %s",
			p.Roles, planner.Planned, planner.Never, planner.FollowDemand)
	}
	return p, nil
}

// Config configures a Scheduler.
type Config struct {
	HostID string
	Zone   string
	Policy Policy // checked by Policy.Validate beforehand
	Logger hclog.Logger
	// Configuration gives each application's limit of role changes per hour; nil:
	// none are allowed.
	Configuration configurer.Reader
	// OnSharedPrefix is called with the prefix parts of a prompt sent to an engine,
	// if the prefix takes so long to prefill that it is kept on few engines. It must
	// not call the Scheduler; nil: not called.
	OnSharedPrefix func(parts []Part)
	// IsExitConfirmed reports whether a refused connection to a process is known to show its
	// exit; nil: always. It must not call the Scheduler.
	IsExitConfirmed func(process driver.Process) bool
	// IsPathBroken reports whether peers reach more of an application's endpoints than this host, so
	// that those which it does not reach are not lost; nil: never. It must not call the
	// Scheduler.
	IsPathBroken func(application string) bool
	// Limiter holds this host's slots for endpoints that announce a request limit; nil: no
	// endpoint announces one.
	Limiter Limiter
	// BackoffRemaining returns for how much longer an endpoint's process wants no requests
	// from this host. It must not call the Scheduler; nil: no endpoint is in backoff.
	BackoffRemaining func(process driver.Process) time.Duration
	// Now is the clock; nil: time.Now.
	Now func() time.Time
	// Seed makes random choices reproducible in tests; 0: a random seed.
	Seed uint64
}
