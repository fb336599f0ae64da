// Package tracker holds the tables that the scheduler's decisions read:
// endpoints with their loads, applications and classes with their learnt
// figures, tenants with what they used, and where prompt prefixes are cached.
//
// The load of an endpoint has three parts. Own work is counted exactly. Peers'
// work is what they said last. A correction carries what the endpoint's own
// report counts beyond these two at the time the report speaks of, and fades.
// Methods take the time as a value; nothing here reads a clock or locks.
//
// # Usage
//
//	table := tracker.NewTable("lozenets")
//	table.SetHosts(hosts, now)
//	table.SetReport("engine-3", report, now)
//	table.SetPeerLoad("entry-2", 1, loads, now)
//	for _, endpoint := range table.Application("drafting").Local {
//		total := endpoint.Total()
//	}
package tracker

// Load is work in flight at one endpoint, as one host counts it.
type Load struct {
	Requests      int `json:"requests"`       // calls and generations
	PrefillTokens int `json:"prefill_tokens"` // prompt tokens not yet prefilled, prefix hits taken off
	DecodeTokens  int `json:"decode_tokens"`  // expected output tokens not yet generated
}

// Plus returns the sum.
func (l Load) Plus(other Load) Load {
	return Load{
		Requests:      l.Requests + other.Requests,
		PrefillTokens: l.PrefillTokens + other.PrefillTokens,
		DecodeTokens:  l.DecodeTokens + other.DecodeTokens,
	}
}

// Minus returns the difference.
func (l Load) Minus(other Load) Load {
	return Load{
		Requests:      l.Requests - other.Requests,
		PrefillTokens: l.PrefillTokens - other.PrefillTokens,
		DecodeTokens:  l.DecodeTokens - other.DecodeTokens,
	}
}

// AtLeast returns the larger of each part.
func (l Load) AtLeast(floor Load) Load {
	return Load{
		Requests:      max(l.Requests, floor.Requests),
		PrefillTokens: max(l.PrefillTokens, floor.PrefillTokens),
		DecodeTokens:  max(l.DecodeTokens, floor.DecodeTokens),
	}
}

// IsZero is true when nothing is in flight.
func (l Load) IsZero() bool { return l == Load{} }

func (l Load) scaled(factor float64) Load {
	return Load{
		Requests:      int(float64(l.Requests) * factor),
		PrefillTokens: int(float64(l.PrefillTokens) * factor),
		DecodeTokens:  int(float64(l.DecodeTokens) * factor),
	}
}
