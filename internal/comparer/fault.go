package comparer

import (
	"context"
	"fmt"
	"time"

	"github.com/endivemast/endivemast/internal/provider"
)

// Fault is what goes wrong in a run: NoFault, EngineCrash, EntryKilled,
// StoreDown or LateReports.
type Fault interface{ isFault() }

// NoFault is a run without faults.
type NoFault struct{}

// EngineCrash kills the first engine after a third of the arrivals; it does not come back.
type EngineCrash struct{}

// EntryKilled kills the first entry host after a third of the arrivals; it does not come back.
type EntryKilled struct{}

// StoreDown stops the key-value service for the second third of the arrivals.
type StoreDown struct{}

// LateReports makes the engines' load reports late throughout.
type LateReports struct{ By time.Duration }

func (NoFault) isFault()     {}
func (EngineCrash) isFault() {}
func (EntryKilled) isFault() {}
func (StoreDown) isFault()   {}
func (LateReports) isFault() {}

// lateReports is how late the reports of the fault "late_reports" are.
const lateReports = 5 * time.Second

// FaultByName returns the fault with a name.
func FaultByName(name string) (Fault, error) {
	for _, fault := range []Fault{NoFault{}, EngineCrash{}, EntryKilled{}, StoreDown{}, LateReports{By: lateReports}} {
		if nameOf(fault) == name {
			return fault, nil
		}
	}
	return nil, fmt.Errorf("no fault %q: want none, engine_crash, entry_killed, store_down or late_reports", name)
}

func nameOf(fault Fault) string {
	switch fault.(type) {
	case NoFault:
		return "none"
	case EngineCrash:
		return "engine_crash"
	case EntryKilled:
		return "entry_killed"
	case StoreDown:
		return "store_down"
	case LateReports:
		return "late_reports"
	default:
		return "unknown"
	}
}

// inject brings the fault about at its times within the arrivals.
func inject(ctx context.Context, fault Fault, f *fleet, arrivals time.Duration) error {
	if !waitFor(ctx, arrivals/3) {
		return nil
	}
	switch fault.(type) {
	case EngineCrash:
		return f.killFirst(provider.HostEngine)
	case EntryKilled:
		return f.killFirst(provider.HostEntry)
	case StoreDown:
		if err := f.setStoreDown(ctx, true); err != nil {
			return err
		}
		if !waitFor(ctx, arrivals/3) {
			return nil
		}
		return f.setStoreDown(ctx, false)
	default:
		return nil
	}
}

// waitFor returns false when ctx ends first.
func waitFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
