package scheduler

import "github.com/endivemast/endivemast/internal/driver"

// ApplyCacheEvents takes what an engine says of the parts of prompts that it keeps;
// isWhole says that it is all.
func (s *Scheduler) ApplyCacheEvents(target driver.Target, news driver.CacheEvents, isWhole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint := s.table.Endpoints[target.EndpointID]
	if endpoint != nil && endpoint.Target.Incarnation == target.Incarnation {
		endpoint.Cache.Update(news, isWhole)
	}
}
