package tracker

import (
	"time"

	"github.com/endivemast/endivemast/internal/driver"
)

// tenantShareSlack is by how much a tenant may be above an equal share before
// it counts as over it.
const tenantShareSlack = 1.25

// Summary is what decisions need of an application's endpoints together. It is
// made anew each tick and after each host list.
type Summary struct {
	Usable    int     // endpoints that take new work
	Capacity  float64 // engine seconds a second that this host can count on
	MeanBatch int     // requests in flight at a usable endpoint
	IsSplit   bool    // some engines prefill or decode only
	// FairUse is how many engine seconds of Tenant.Used a tenant may have
	// before others go first; 0: one tenant only, nothing to share.
	FairUse float64
}

func (t *Table) summarise(now time.Time) {
	type use struct {
		sum   float64
		count int
	}
	uses := make(map[string]use)
	for key, tenant := range t.Tenants {
		u := uses[key.Application]
		uses[key.Application] = use{sum: u.sum + tenant.Used, count: u.count + 1}
	}
	for _, application := range t.Applications {
		application.Summary = application.summary(len(t.Peers), now)
		if u := uses[application.Name]; u.count > 1 {
			application.Summary.FairUse = u.sum / float64(u.count) * tenantShareSlack
		}
	}
}

// summary counts the usable endpoints. This host's part of their capacity is
// its part of the work in flight there; the part of a host without work is
// what one of equal hosts would have.
func (a *Application) summary(peers int, now time.Time) (s Summary) {
	own, others, requests := 1, peers, 0
	var speed float64
	for i := range a.Len() {
		endpoint := a.At(i)
		if endpoint.Role == driver.RoleDecode || endpoint.Role == driver.RolePrefill {
			s.IsSplit = true
		}
		if !endpoint.TakesNewWork() || !endpoint.Breaker.Allows(now) {
			continue
		}
		s.Usable++
		speed += 1 / endpoint.Speed
		own += endpoint.Own.Requests
		others += endpoint.Peers.Requests
		requests += endpoint.Total().Requests
	}
	s.Capacity = speed * float64(own) / float64(own+others)
	s.MeanBatch = max(1, requests/max(1, s.Usable))
	return s
}
