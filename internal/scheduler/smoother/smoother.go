// Package smoother turns the slowdown that an endpoint states in its responses into a factor for
// estimates of how long work takes there.
//
// Engines that share their machines run at a speed that changes many times a second. A value
// describes the moment at which it was sent, while the work that is estimated runs for tens of
// milliseconds to seconds. The factor is therefore a mean of the last values, in which a value
// counts less the older it is, and in which the usual speed counts like one value of some age.
// With no recent value the factor is 1, so that an endpoint that states nothing is estimated as if
// there were no such values.
//
// It handles any number of values a second: in a fleet of 67 hosts and 48 engines a host receives
// 0.1 to 0.4 a second from each engine, in a small fleet 20.
//
// # Usage
//
//	var mean smoother.Mean
//	mean.Observe(percent, now)
//	expected := estimator.Scale(usual, mean.Factor(now))
package smoother

import (
	"math"
	"time"
)

const (
	// MaxAge is the age from which on a value is not used.
	MaxAge = time.Second
	// minPercent and maxPercent bound plausible values. Machines that are shared run at a tenth
	// to thirty times the usual duration.
	minPercent = 10
	maxPercent = 3000
	// halfLife is the age at which a value counts half. Shorter ones follow changes that are over
	// before the estimated work ends; see TestMeanEstimatesBetterThanLastValue.
	halfLife = 100 * time.Millisecond
	// usualWeight is the weight of the usual speed, compared with a value that has just arrived.
	usualWeight = 0.25
)

// Mean is the age-weighted mean of an endpoint's values. The zero value has none.
type Mean struct {
	sum, weight float64 // of the logarithms of the factors, at the time of the last value
	lastAt      time.Time
}

// Observe adds a value in percent of the usual duration, and reports whether it is used. Missing
// (0) and implausible values are not.
func (m *Mean) Observe(percent int, now time.Time) (isUsed bool) {
	if percent < minPercent || percent > maxPercent {
		return false
	}
	decay := 0.0
	if m.IsFresh(now) {
		decay = decayOver(now.Sub(m.lastAt))
	}
	m.sum = m.sum*decay + math.Log(float64(percent)/100)
	m.weight = m.weight*decay + 1
	m.lastAt = now
	return true
}

// IsFresh reports whether the last value is recent enough to be used.
func (m *Mean) IsFresh(now time.Time) bool { return m.weight > 0 && now.Sub(m.lastAt) < MaxAge }

// LastAt returns when the last value was used; zero: never.
func (m *Mean) LastAt() time.Time { return m.lastAt }

// Factor returns by how much longer work takes than usual, from 0.1 to 30.
func (m *Mean) Factor(now time.Time) float64 {
	if !m.IsFresh(now) {
		return 1
	}
	decay := decayOver(now.Sub(m.lastAt))
	return math.Exp(m.sum * decay / (m.weight*decay + usualWeight))
}

// decayOver returns the weight of a value of that age. Clocks that step back give no more than 1.
func decayOver(age time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}
