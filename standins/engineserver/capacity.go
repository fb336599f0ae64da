package engineserver

import "time"

// Load describes one type of request in a mix.
type Load struct {
	Share         float64 // share of the requests; the shares need not add up to 1
	PrefillTokens int     // prompt tokens that are not in the prefix cache
	OutputTokens  int     // actual number, not the allowed maximum
	KVTokens      int     // memory reserved for a request: prompt and longest output
}

// Bound is the upper bound of the engines' throughput under any scheduling.
type Bound struct {
	RequestsPerSecond      float64
	PrefillTokensPerSecond float64
	OutputTokensPerSecond  float64
}

// Capacity returns the upper bound of the rates at which a number of engines
// can serve a mix of requests, by their time model.
//
// With x requests per step, an engine generates x × output tokens and computes
// x × prompt tokens, and the rate x / (base + costs) grows with x. So the bound
// is at the largest x that a step allows: by its batch size, its chunk size,
// and the memory of the generating sequences. Separate prefill and decode
// engines can't exceed it, because the same tokens then need more steps, each
// with its base time.
func Capacity(model TimeModel, engines int, mix []Load) Bound {
	var shares, prefill, output, memory float64
	for _, l := range mix {
		shares += l.Share
		prefill += l.Share * float64(l.PrefillTokens)
		output += l.Share * float64(l.OutputTokens)
		memory += l.Share * float64(l.OutputTokens) * float64(l.KVTokens)
	}
	if shares == 0 || prefill+output == 0 {
		return Bound{}
	}
	prefill, output, memory = prefill/shares, output/shares, memory/shares

	perStep := float64(model.MaxBatch) / max(output, 1)
	if prefill > 0 {
		perStep = min(perStep, float64(model.ChunkTokens)/prefill)
	}
	if memory > 0 {
		perStep = min(perStep, float64(model.KVTokens)/memory)
	}
	step := model.StepBase.Seconds() +
		perStep*output*model.PerSequence.Seconds() +
		perStep*prefill*model.PerPrefillToken.Seconds()
	rate := float64(engines) * perStep / step
	return Bound{
		RequestsPerSecond:      rate,
		PrefillTokensPerSecond: rate * prefill,
		OutputTokensPerSecond:  rate * output,
	}
}

// Alone returns how long a request takes on an idle engine until its first
// token and until its end.
func Alone(model TimeModel, prefillTokens, outputTokens int) (firstToken, completion time.Duration) {
	for left := max(1, prefillTokens); left > 0; left -= model.ChunkTokens {
		firstToken += model.duration(1, min(left, model.ChunkTokens))
	}
	completion = firstToken + time.Duration(max(0, outputTokens-1))*model.duration(1, 0)
	return firstToken, completion
}
