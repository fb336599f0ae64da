package scheduler

import (
	"github.com/endivemast/endivemast/internal/provider"
)

// EngineUse is how much of an application's engines is in use, all hosts' work
// together, averaged over the last seconds.
type EngineUse struct {
	Reading    float64                // engines that read prompts and have something to do
	Generating float64                // engines that generate, by the part of their slots that is taken
	Engines    map[string]EngineCount // by zone, those that do not leave
}

// EngineCount is a number of engines by how they are paid for.
type EngineCount struct {
	OnDemand int
	Spot     int
}

// EngineUse returns the use of an application's engines.
func (s *Scheduler) EngineUse(application string) EngineUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.table.Applications[application]
	if a == nil {
		return EngineUse{}
	}
	use := EngineUse{Reading: a.Use.Reading, Generating: a.Use.Generating, Engines: map[string]EngineCount{}}
	for i := range a.Len() {
		if endpoint := a.At(i); endpoint.Kind == provider.HostEngine && !endpoint.Leaving {
			count := use.Engines[endpoint.Zone]
			if endpoint.IsSpot {
				count.Spot++
			} else {
				count.OnDemand++
			}
			use.Engines[endpoint.Zone] = count
		}
	}
	return use
}
