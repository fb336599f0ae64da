package tracker

import (
	"time"
)

// An endpoint may state how much longer work currently takes on its machine than usual. The learned
// Slowdown is a property of the engine; the machine's factor is one of the moment. Estimates use their
// product, and observed times are divided by the machine's factor before anything is learned from them, so
// that no slowness counts twice.

// machineSilence is how long after its last value an endpoint still counts as one that states values.
// Times observed while no recent value is known may be those of a slow moment, and nothing is
// learned from them.
const machineSilence = 10 * time.Second

// ObserveMachine records a value in percent of the usual duration, and reports whether it is used.
func (e *Endpoint) ObserveMachine(percent int, now time.Time) (isUsed bool) {
	isUsed = e.machine.Observe(percent, now)
	e.refreshMachine(now)
	return isUsed
}

// refreshMachine updates the factor: values count less with time.
func (e *Endpoint) refreshMachine(now time.Time) {
	if e.machine.LastAt().IsZero() {
		return
	}
	e.machineFactor = e.machine.Factor(now)
}

// MachineFactor returns by how much longer work currently takes on the machine than usual; 1 if this is
// not known.
func (e *Endpoint) MachineFactor() float64 {
	if e.machineFactor == 0 {
		return 1
	}
	return e.machineFactor
}

// CurrentSlowdown returns the factor against the model of the application at this moment.
func (e *Endpoint) CurrentSlowdown() float64 { return e.Slowdown * e.MachineFactor() }

// AtUsualSpeed returns the time that work would have taken at the machine's usual speed. ok is false if
// the endpoint states values, but no recent one is known.
func (e *Endpoint) AtUsualSpeed(took time.Duration, now time.Time) (usual time.Duration, ok bool) {
	lastAt := e.machine.LastAt()
	switch {
	case lastAt.IsZero() || now.Sub(lastAt) > machineSilence:
		return took, true
	case !e.machine.IsFresh(now):
		return 0, false
	}
	return time.Duration(float64(took) / e.machine.Factor(now)), true
}
