package tracker

import (
	"math"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

// useHalfLife is the half-life of EngineUse. A role change makes an engine
// unavailable for some seconds, so a demand that alternates within a few seconds
// is served by the role split for its mean.
const useHalfLife = 6 * time.Second

// EngineUse is how many engines with separate roles are in use, by all hosts,
// averaged over the last seconds. It is measured rather than derived from demand
// and times per token, which a host learns slowly: derived values assigned eight
// of nine engines to prefill in the first seconds.
type EngineUse struct {
	PrefillInUse float64 // prefill engines with any request
	DecodeInUse  float64 // decode engines, each weighted by the share of its limit in use
	at           time.Time
}

// add counts the use of an endpoint.
func (u *EngineUse) add(endpoint *Endpoint) {
	requests := endpoint.Total().Requests
	switch {
	case requests == 0:
	case endpoint.Role == driver.RolePrefill:
		u.PrefillInUse++
	case endpoint.Role == driver.RoleDecode:
		u.DecodeInUse += float64(requests) / float64(max(endpoint.Limit, 1))
	}
}

// observe updates the average with the present use.
func (u *EngineUse) observe(now EngineUse) {
	if u.at.IsZero() {
		u.at = now.at
	}
	weight := 1 - math.Exp2(-float64(now.at.Sub(u.at))/float64(useHalfLife))
	u.at = now.at
	u.PrefillInUse += weight * (now.PrefillInUse - u.PrefillInUse)
	u.DecodeInUse += weight * (now.DecodeInUse - u.DecodeInUse)
}
