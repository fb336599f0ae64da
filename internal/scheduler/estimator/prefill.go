package estimator

// LowQuantile tracks a low quantile of observations. It is used for a time that
// unknown factors, such as work of other hosts queued at an engine, often make
// longer and seldom shorter. A mean would include the queues, and a queue
// estimated from it would feed back into itself.
type LowQuantile struct {
	value float64
}

// The value falls fast and rises slowly: a prior four times too high is forgotten
// after a handful of observations, and an engine that has become slower is
// followed after some dozens. In a steady state about one observation in ten is
// below the value.
const (
	maxQuantileFall = 0.30 // largest relative decrease by one observation
	maxQuantileRise = 0.03 // largest relative increase by one observation
)

// NewLowQuantile returns a LowQuantile with the prior as its value.
func NewLowQuantile(prior float64) LowQuantile { return LowQuantile{value: prior} }

// Observe moves the value towards the quantile.
func (q *LowQuantile) Observe(x float64) {
	if x < q.value {
		q.value = max(q.value*(1-maxQuantileFall), x)
		return
	}
	q.value = min(q.value*(1+maxQuantileRise), x)
}

// Value returns the estimated quantile.
func (q *LowQuantile) Value() float64 { return q.value }

const (
	// Prompts of at least minSlopeTokens are used to estimate the time per token,
	// those of at most maxBaseTokens to estimate the base time.
	minSlopeTokens = 2048
	maxBaseTokens  = 512
)

// PrefillTime estimates how long an engine takes for a prompt, without the prompts
// queued ahead of it.
type PrefillTime struct {
	base  LowQuantile // seconds for a prompt without tokens
	token LowQuantile // seconds for each token
}

// NewPrefillTime returns a PrefillTime with the priors.
func NewPrefillTime() PrefillTime {
	return PrefillTime{base: NewLowQuantile(priorFirstToken), token: NewLowQuantile(priorPrefillToken)}
}

// Observe records the time of a prompt with this many tokens to prefill.
func (p *PrefillTime) Observe(tokens int, seconds float64) {
	switch {
	case tokens >= minSlopeTokens:
		p.token.Observe(max(seconds-p.base.Value(), 0) / float64(tokens))
	case tokens <= maxBaseTokens:
		p.base.Observe(max(seconds-p.token.Value()*float64(tokens), 0))
	}
}

// Seconds estimates the time for a prompt; tokens include those queued ahead.
func (p *PrefillTime) Seconds(tokens int) float64 {
	return p.base.Value() + p.token.Value()*float64(tokens)
}

// TokenSeconds returns the time per token.
func (p *PrefillTime) TokenSeconds() float64 { return p.token.Value() }
