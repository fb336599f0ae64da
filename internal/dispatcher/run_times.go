package dispatcher

import (
	"sync"
	"time"
)

const (
	// minRunTimes is how many requests of a class have to be completed before their times are used.
	minRunTimes = 8
	// runTimeWeight is the divisor of a new time in the means.
	runTimeWeight = 16
	// maxRunTimeClasses limits the memory. Classes come and go with the operator's configuration.
	maxRunTimeClasses = 1024
)

// runTimes are how long the completed requests of each class have taken on this host.
type runTimes struct {
	mu      sync.Mutex
	byClass map[string]*runTime
}

// runTime has exponentially weighted means.
type runTime struct {
	count     int
	mean      time.Duration
	deviation time.Duration // from the mean
}

// observe records the time of a completed request.
func (r *runTimes) observe(class string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byClass[class]
	if t == nil {
		if r.byClass == nil || len(r.byClass) >= maxRunTimeClasses {
			r.byClass = map[string]*runTime{}
		}
		t = &runTime{mean: d, deviation: d / 2}
		r.byClass[class] = t
	}
	t.count++
	difference := d - t.mean
	t.mean += difference / runTimeWeight
	t.deviation += (difference.Abs() - t.deviation) / runTimeWeight
}

// expected returns the time within which most requests of a class are completed. It returns false if too few
// have been.
func (r *runTimes) expected(class string) (d time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byClass[class]
	if t == nil || t.count < minRunTimes {
		return 0, false
	}
	return t.mean + 2*t.deviation, true
}
