package comparer

import (
	"context"
	"fmt"
	"time"

	"github.com/endivemast/endivemast/internal/provider"
)

// Fault is the fault injected into a run: NoFault, EngineCrash, EntryKilled,
// StoreDown or LateReports.
type Fault interface{ isFault() }

// NoFault is a run without faults.
type NoFault struct{}

// EngineCrash kills the first engine after a third of the arrivals. It isn't restarted.
type EngineCrash struct{}

// EntryKilled kills the first entry host after a third of the arrivals. It isn't restarted.
type EntryKilled struct{}

// StoreDown makes the key-value service unavailable for the second third of the arrivals.
type StoreDown struct{}

// LateReports delays the engines' load reports during the whole run.
type LateReports struct{ By time.Duration }

func (NoFault) isFault()     {}
func (EngineCrash) isFault() {}
func (EntryKilled) isFault() {}
func (StoreDown) isFault()   {}
func (LateReports) isFault() {}

// reportDelay is the delay of load reports under the fault late_reports.
const reportDelay = 5 * time.Second

// FaultByName returns the fault with the given name, or an error for an unknown name.
func FaultByName(name string) (Fault, error) {
	for _, fault := range []Fault{NoFault{}, EngineCrash{}, EntryKilled{}, StoreDown{}, LateReports{By: reportDelay}} {
		if faultName(fault) == name {
			return fault, nil
		}
	}
	return nil, fmt.Errorf("unknown fault %q: must be none, engine_crash, entry_killed, store_down or late_reports", name)
}

func faultName(fault Fault) string {
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

// inject injects the fault at its times within the duration of the arrivals.
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

// waitFor waits for a duration. It returns false when ctx ends first.
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
