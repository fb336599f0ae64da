// Package estimator learns how long work takes from what this host sees of its
// own work: the time to a first token against the prompt tokens ahead, the gap
// between tokens against the batch, and how long a class's answers are.
//
// All types are plain values without locks or clocks; their owner guards them.
// Observations fade as new ones come, so that a figure follows an engine that
// becomes slower, and a prior keeps the first decisions sane.
//
// # Usage
//
//	model := estimator.NewModel()
//	model.ObserveFirstToken(0, prompt, 85*time.Millisecond)
//	first := model.FirstToken(ahead + prompt)
//	rest := model.Decode(tokens, batch)
package estimator

const (
	// lineFade is how much of the earlier weight an observation leaves: about
	// the last 200 count.
	lineFade = 0.995
	// slopeWeight is how many observations, spread as the prior's, the prior
	// slope counts as. It never fades.
	slopeWeight = 4
	// minSlopePart of the prior slope is the least that a fit may give.
	minSlopePart = 0.05
)

// Line is a straight line fitted to fading observations by least squares.
//
// Its level follows the observations alone, but its slope is drawn towards the
// prior's. Under a steady load all observations have about the same x, and
// their noise then gives any slope: in an overload test the slope of the first
// token's time fell to 0, prompts seemed to cost nothing, and every engine was
// flooded with them. The intercept is never negative.
type Line struct {
	slope  float64 // prior
	spread float64 // prior variance of x

	weight, sumX, sumY, sumXX, sumXY float64
}

// NewLine returns a line that starts as if it had seen weight observations,
// half of them at x = 0 and half at x = span, that lie on the given line.
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
	l.weight = l.weight*lineFade + 1
	l.sumX = l.sumX*lineFade + x
	l.sumY = l.sumY*lineFade + y
	l.sumXX = l.sumXX*lineFade + x*x
	l.sumXY = l.sumXY*lineFade + x*y
}

// At returns the line's value at x.
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
	prior := slopeWeight * l.spread
	slope = (covariance + prior*l.slope) / (variance + prior)
	slope = max(slope, l.slope*minSlopePart)
	intercept = meanY - slope*meanX
	if intercept < 0 && meanX > 0 {
		return 0, meanY / meanX
	}
	return intercept, slope
}
