// Package tracker holds the tables that the scheduler's decisions read:
// endpoints with their loads, applications and classes with their estimates,
// tenants with their usage, and the endpoints that cache prompt prefixes.
//
// The load of an endpoint has three parts: this host's own work, counted
// exactly; the work of peers, as they last reported it; and a decaying
// correction by the difference between the endpoint's report and these two at
// the time of the report. Methods take the time as an argument; the package
// uses neither clocks nor locks.
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
	PrefillTokens int `json:"prefill_tokens"` // prompt tokens to be prefilled, without those found in the prefix cache
	DecodeTokens  int `json:"decode_tokens"`  // expected output tokens to be generated
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

// AtLeast returns the larger of the two values in each field.
func (l Load) AtLeast(minimum Load) Load {
	return Load{
		Requests:      max(l.Requests, minimum.Requests),
		PrefillTokens: max(l.PrefillTokens, minimum.PrefillTokens),
		DecodeTokens:  max(l.DecodeTokens, minimum.DecodeTokens),
	}
}

// IsZero reports whether nothing is in flight.
func (l Load) IsZero() bool { return l == Load{} }

func (l Load) scaled(factor float64) Load {
	return Load{
		Requests:      int(float64(l.Requests) * factor),
		PrefillTokens: int(float64(l.PrefillTokens) * factor),
		DecodeTokens:  int(float64(l.DecodeTokens) * factor),
	}
}
