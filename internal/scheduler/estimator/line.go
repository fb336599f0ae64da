// Package estimator estimates how long work takes from observations of this
// host's own requests: the time to the first token by the prompt tokens queued,
// the time between tokens by the batch size, and the length of a class's
// answers.
//
// All types are plain values without locks or clocks; their owner synchronises
// access. Observations decay exponentially, so that estimates follow an engine
// that becomes slower. Priors provide usable estimates for the first decisions.
//
// # Usage
//
//	model := estimator.NewModel()
//	model.ObserveFirstToken(0, prompt, 85*time.Millisecond)
//	first := model.FirstToken(ahead + prompt)
//	decode := model.Decode(tokens, batch)
package estimator

const (
	// lineDecay is the factor applied to earlier observations with each new one; about
	// the last 200 count.
	lineDecay = 0.995
	// priorSlopeWeight is the weight of the prior slope, in observations with the
	// spread of the prior. It does not decay.
	priorSlopeWeight = 4
	// minSlopeFactor times the prior slope is the lower bound of a fitted slope.
	minSlopeFactor = 0.05
)

// Line is a straight line fitted by least squares to exponentially decaying
// observations.
//
// Its level follows the observations alone; its slope is regularised towards the
// prior. Under a steady load all observations have about the same x, and their
// noise then determines the slope: in an overload test the slope of the time to
// the first token fell to 0, prompts were estimated to cost nothing, and every engine was
// overloaded with them. The intercept is never negative.
type Line struct {
	slope  float64 // prior
	spread float64 // prior variance of x

	weight, sumX, sumY, sumXX, sumXY float64
}

// NewLine returns a line with the state after weight observations on the given
// line, half of them at x = 0 and half at x = span.
func NewLine(intercept, slope, span, weight float64) Line {
	half := weight / 2
	end := intercept + slope*span
	return Line{
		slope:  slope,
		spread: span * span / 4,
		weight: weight,
		sumX:   half * span,
		sumY:   half * (intercept + end),
		sumXX:  half * span * span,
		sumXY:  half * span * end,
	}
}

// Observe adds a point.
func (l *Line) Observe(x, y float64) {
	l.weight = l.weight*lineDecay + 1
	l.sumX = l.sumX*lineDecay + x
	l.sumY = l.sumY*lineDecay + y
	l.sumXX = l.sumXX*lineDecay + x*x
	l.sumXY = l.sumXY*lineDecay + x*y
}

// At returns the value at x.
func (l *Line) At(x float64) float64 {
	intercept, slope := l.Fit()
	return intercept + slope*x
}

// Fit returns the line's intercept and slope.
func (l *Line) Fit() (intercept, slope float64) {
	if l.weight <= 0 {
		return 0, l.slope
	}
	meanX, meanY := l.sumX/l.weight, l.sumY/l.weight
	variance := max(l.sumXX-l.weight*meanX*meanX, 0)
	covariance := l.sumXY - l.weight*meanX*meanY
	prior := priorSlopeWeight * l.spread
	slope = (covariance + prior*l.slope) / (variance + prior)
	slope = max(slope, l.slope*minSlopeFactor)
	intercept = meanY - slope*meanX
	if intercept < 0 && meanX > 0 {
		return 0, meanY / meanX
	}
	return intercept, slope
}
