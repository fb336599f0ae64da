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
//	model.ObserveFirstToken(ahead, 85*time.Millisecond, 1)
//	first := model.FirstToken(ahead+prompt)
//	rest := model.Decode(tokens, batch)
package estimator

// lineFade is how much of the earlier weight an observation leaves: about the
// last 200 count.
const lineFade = 0.995

// Line is a straight line fitted to fading observations by least squares.
// Neither its intercept nor its slope is ever negative: time does not shrink
// as work is added, and noise on few points must not say so.
type Line struct {
	weight, sumX, sumY, sumXX, sumXY float64
}

// NewLine returns a line that starts as if it had seen weight observations,
// half of them at x = 0 and half at x = span, that lie on the given line.
func NewLine(intercept, slope, span, weight float64) Line {
	half := weight / 2
	end := intercept + slope*span
	return Line{
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
		return 0, 0
	}
	meanX, meanY := l.sumX/l.weight, l.sumY/l.weight
	variance := l.sumXX/l.weight - meanX*meanX
	if variance <= 1e-9*(1+meanX*meanX) {
		return meanY, 0
	}
	slope = (l.sumXY/l.weight - meanX*meanY) / variance
	if slope < 0 {
		return meanY, 0
	}
	intercept = meanY - slope*meanX
	if intercept < 0 {
		return 0, l.sumXY / l.sumXX
	}
	return intercept, slope
}
