package estimator

// Floor follows a low quantile of fading observations. It is for a time that
// is often made longer by what is not known, such as other hosts' work ahead
// at an engine, and seldom shorter: a mean would learn the queues, and a queue
// estimated from it would grow with itself.
type Floor struct {
	value float64
	count int // observations, up to floorSettled
}

const (
	floorQuantile = 0.25
	// floorStep is how far one observation moves the value, as a part of it,
	// once floorSettled of them were seen; the first ones move it further, so
	// that a prior which is wrong by a factor of four is soon forgotten.
	floorStep    = 0.05
	floorSettled = 20
)

// NewFloor returns a Floor that begins at a prior value.
func NewFloor(prior float64) Floor { return Floor{value: prior} }

// Observe moves the value towards the quantile.
func (f *Floor) Observe(x float64) {
	f.count = min(f.count+1, floorSettled)
	step := floorStep * floorSettled / float64(f.count)
	if x < f.value {
		f.value = max(f.value*(1-step*(1-floorQuantile)), x)
		return
	}
	f.value = min(f.value*(1+step*floorQuantile), x)
}

// Value is the quantile as estimated.
func (f *Floor) Value() float64 { return f.value }

const (
	// floorLong is from how many tokens of its own on a prompt tells of the
	// time for a token, and floorShort up to how many of the time for none.
	floorLong  = 2048
	floorShort = 512
)

// Reading is how long an engine that only reads prompts takes for one, without
// those ahead of it.
type Reading struct {
	base  Floor // seconds for a prompt without tokens
	token Floor // seconds more for each token
}

// NewReading returns a Reading that knows the priors only.
func NewReading() Reading {
	return Reading{base: NewFloor(priorFirstToken), token: NewFloor(priorPrefillToken)}
}

// Observe takes in a prompt with this many tokens to read.
func (r *Reading) Observe(tokens int, seconds float64) {
	switch {
	case tokens >= floorLong:
		r.token.Observe(max(seconds-r.base.Value(), 0) / float64(tokens))
	case tokens <= floorShort:
		r.base.Observe(max(seconds-r.token.Value()*float64(tokens), 0))
	}
}

// Seconds estimates the time for a prompt behind others, all their tokens counted.
func (r *Reading) Seconds(tokens int) float64 {
	return r.base.Value() + r.token.Value()*float64(tokens)
}

// TokenSeconds is the time that each token takes.
func (r *Reading) TokenSeconds() float64 { return r.token.Value() }
