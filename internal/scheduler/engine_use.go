package scheduler

// EngineUse is how many of an application's engines are in use by the work of all hosts,
// averaged over the last seconds.
type EngineUse struct {
	PrefillInUse float64 // prefill engines with work
	DecodeInUse  float64 // decode engines, each weighted by the share of its slots in use
}

// EngineUse returns the use of an application's engines.
func (s *Scheduler) EngineUse(application string) EngineUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.table.Applications[application]
	if a == nil {
		return EngineUse{}
	}
	return EngineUse{PrefillInUse: a.EngineUse.PrefillInUse, DecodeInUse: a.EngineUse.DecodeInUse}
}
