package tracker

import (
	"math"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

// useHalf is how fast the use follows the traffic. A change of role takes an
// engine away for some seconds, so that a mix which swings within few seconds
// is served by the split for its mean.
const useHalf = 6 * time.Second

// Use is how much of the engines with separate roles is in use, over the last
// seconds, by all hosts: in engines. It is measured and not worked out from
// demand and times for tokens, which a host learns slowly: with those, the
// first seconds of a day gave eight of nine engines to prefill.
type Use struct {
	Reading    float64 // engines that prefill and have something to do
	Generating float64 // engines that decode, by the part of their slots that is taken
	at         time.Time
}

// observe takes in what is in use now.
func (u *Use) observe(a *Application, now time.Time) {
	var reading, generating float64
	for i := range a.Len() {
		endpoint := a.At(i)
		requests := endpoint.Total().Requests
		switch {
		case requests == 0:
		case endpoint.Role == driver.RolePrefill:
			reading++
		case endpoint.Role == driver.RoleDecode:
			generating += float64(requests) / float64(max(endpoint.Limit, 1))
		}
	}
	if u.at.IsZero() {
		u.at = now
	}
	part := 1 - math.Exp2(-float64(now.Sub(u.at))/float64(useHalf))
	u.at = now
	u.Reading += part * (reading - u.Reading)
	u.Generating += part * (generating - u.Generating)
}
