package estimator

import "time"

// The first guesses, used until observations outweigh them.
const (
	priorFirstToken     = 0.020   // seconds at an idle engine
	priorPrefillToken   = 40e-6   // seconds a prompt token
	priorStep           = 0.010   // seconds between tokens of a lone request
	priorStepSequence   = 0.00015 // seconds more for each other request in the batch
	priorCall           = 0.020   // seconds for a call of an idle service
	priorCallConcurrent = 0.002   // seconds more for each other call
	priorHandover       = 0.005   // seconds to hand over a KV cache
	priorHandoverToken  = 2e-6    // seconds more for each prompt token
	priorWeight         = 4
)

// Bounds of a factor by which an endpoint differs from its application's model.
const (
	minSpeed  = 0.25
	maxSpeed  = 8
	speedFade = 0.95
)

// Bounds of an observation: this many times what was expected, and some
// seconds more.
const (
	maxSurprise = 4
	minSurprise = 0.010
)

// Model is what is learnt of one application's endpoints together.
type Model struct {
	firstToken Line        // seconds, against prompt tokens ahead and own
	gap        Line        // seconds between tokens, against the batch
	call       Line        // seconds for a call, against calls in flight
	handover   Line        // seconds from the end of a prefill to the first token elsewhere, against prompt tokens
	reading    PrefillTime // of engines that only prefill
	direct     PrefillTime // up to the first token, of engines that decode and read the prompt themselves
}

// NewModel returns a model that knows the priors only.
func NewModel() Model {
	return Model{
		firstToken: NewLine(priorFirstToken, priorPrefillToken, 4096, priorWeight),
		gap:        NewLine(priorStep, priorStepSequence, 32, priorWeight),
		call:       NewLine(priorCall, priorCallConcurrent, 16, priorWeight),
		handover:   NewLine(priorHandover, priorHandoverToken, 4096, priorWeight),
		reading:    NewPrefillTime(),
		direct:     NewPrefillTime(),
	}
}

// ObserveFirstToken records how long the first token took with this many
// prompt tokens of its own, behind others. Samples that mostly tell about the
// work ahead are left out: what is ahead is known roughly, and an engine takes
// urgent work past it.
func (m *Model) ObserveFirstToken(ahead, own int, took time.Duration) {
	if ahead > own/4 {
		return
	}
	tokens := float64(ahead + own)
	m.firstToken.Observe(tokens, clip(took.Seconds(), m.firstToken.At(tokens)))
}

// ObserveTokenInterval records a mean gap between tokens in a batch.
func (m *Model) ObserveTokenInterval(batch int, gap time.Duration) {
	x := float64(batch)
	m.gap.Observe(x, clip(gap.Seconds(), m.gap.At(x)))
}

// ObserveCall records how long a call took beside others in flight.
func (m *Model) ObserveCall(others int, took time.Duration) {
	x := float64(others)
	m.call.Observe(x, clip(took.Seconds(), m.call.At(x)))
}

// clip bounds an observation, so that a stalled engine or a lost packet moves
// the estimate by a step and does not ruin it.
func clip(observed, expected float64) float64 {
	return min(observed, maxSurprise*expected+minSurprise)
}

// ObserveKVTransfer records the time from the end of a separate prefill to the
// first token of the engine that imported the KV cache.
func (m *Model) ObserveKVTransfer(tokens int, took time.Duration) {
	m.handover.Observe(float64(tokens), took.Seconds())
}

// FirstToken estimates the time to the first token behind and with this many
// prompt tokens.
func (m *Model) FirstToken(tokens int) time.Duration {
	return seconds(m.firstToken.At(float64(tokens)))
}

// ObserveDedicatedPrefill records how long an engine that only prefills took for a
// prompt with this many tokens to read.
func (m *Model) ObserveDedicatedPrefill(tokens int, took time.Duration) {
	m.reading.Observe(tokens, took.Seconds())
}

// DedicatedPrefill estimates the time for a prompt at an engine that only prefills,
// with all tokens that it reads until then.
func (m *Model) DedicatedPrefill(tokens int) time.Duration { return seconds(m.reading.Seconds(tokens)) }

// ObserveDirectPrefill records the time to the first token at an engine that decodes
// and had this many tokens of the prompt to read itself.
func (m *Model) ObserveDirectPrefill(tokens int, took time.Duration) {
	m.direct.Observe(tokens, took.Seconds())
}

// DirectPrefill estimates the time to the first token at an engine that decodes, with
// all tokens that it reads until then.
func (m *Model) DirectPrefill(tokens int) time.Duration { return seconds(m.direct.Seconds(tokens)) }

// DirectPrefillCost estimates the time for which an engine that decodes is held up by
// reading tokens.
func (m *Model) DirectPrefillCost(tokens int) time.Duration {
	return seconds(float64(tokens) * m.direct.TokenSeconds())
}

// DedicatedPrefillCost estimates the time for tokens ahead at an engine that only
// prefills.
func (m *Model) DedicatedPrefillCost(tokens int) time.Duration {
	return seconds(float64(tokens) * m.reading.TokenSeconds())
}

// TokenInterval estimates the time between tokens in a batch.
func (m *Model) TokenInterval(batch int) time.Duration {
	return seconds(m.gap.At(float64(batch)))
}

// Decode estimates the time for a number of tokens in a batch.
func (m *Model) Decode(tokens, batch int) time.Duration {
	return seconds(float64(tokens) * m.gap.At(float64(batch)))
}

// Call estimates the time for a call beside others in flight.
func (m *Model) Call(others int) time.Duration {
	return seconds(m.call.At(float64(others)))
}

// KVTransfer estimates the time from the end of a separate prefill to the first token.
func (m *Model) KVTransfer(tokens int) time.Duration {
	return seconds(m.handover.At(float64(tokens)))
}

// BatchWithin is the batch in which tokens would keep a pace, judged from the
// present batch; 0 for no pace. It changes the batch in the ratio by which the
// gap differs. The fitted line would change it more, but its slope under a
// steady load is mostly noise, and hosts whose lines differ would then see the
// same engine as free and as full.
func (m *Model) BatchWithin(pace time.Duration, batch int) int {
	if pace <= 0 {
		return 0
	}
	gap := m.gap.At(float64(batch))
	return max(int(float64(batch)*pace.Seconds()/max(gap, 1e-6)), 1)
}

// PrefillCost estimates the engine time that prompt tokens take from others.
func (m *Model) PrefillCost(tokens int) time.Duration {
	_, slope := m.firstToken.Fit()
	return seconds(float64(tokens) * slope)
}

// DecodeCost estimates the engine time that one request's tokens take in a
// batch that they share.
func (m *Model) DecodeCost(tokens, batch int) time.Duration {
	batch = max(batch, 1)
	return m.Decode(tokens, batch) / time.Duration(batch)
}

// Step returns the fitted parts of a decode step in seconds: its base, and
// what each sequence adds.
func (m *Model) Step() (base, perSequence float64) { return m.gap.Fit() }

// PrefillToken returns the fitted seconds for a prompt token.
func (m *Model) PrefillToken() float64 {
	_, slope := m.firstToken.Fit()
	return slope
}

// UpdateSlowdown moves an endpoint's factor by one observation: above 1 is slower than
// the application's model.
func UpdateSlowdown(factor float64, observed, expected time.Duration) float64 {
	if expected <= 0 || observed <= 0 {
		return factor
	}
	ratio := min(max(float64(observed)/float64(expected), minSpeed), maxSpeed)
	return factor*speedFade + ratio*(1-speedFade)
}

// Scale multiplies a duration by a speed factor.
func Scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
