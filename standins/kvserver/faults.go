package kvserver

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the active faults. The zero value is none. All but HostListLagMS
// and PlatformDown affect the key-value service.
type Faults struct {
	// Down answers every call with status 503 "no leader" and ends open
	// watches. No call has an effect.
	Down bool `json:"down"`
	// Refuse closes the listening socket and its connections, so that new
	// connections are refused. It requires Start; over HTTP it can only be set
	// at the admin address.
	Refuse bool `json:"refuse"`
	// BlackHole accepts calls and never answers them; they have no effect. Open
	// watches stay open and receive no data.
	BlackHole bool `json:"black_hole"`
	// LatencyMS delays each call. A read is run before the delay and a write
	// after it, also if its client has disconnected by then. These are the
	// worst cases of a slow service: stale answers, and late effects of
	// unanswered writes.
	LatencyMS int64 `json:"latency_ms"`
	// LoseAnswers is how many of the next puts, deletes and succeeding
	// transactions take effect but have their connection closed instead of an
	// answer. Lease calls don't count.
	LoseAnswers int `json:"lose_answers"`
	// HoldWrites delays the answers of puts, deletes and transactions, which
	// have taken effect, until it is cleared. Lease calls are answered.
	HoldWrites bool `json:"hold_writes"`
	// LoseProbability is the probability of a lost answer for each write of any
	// kind, including failed compares and lease calls.
	LoseProbability float64 `json:"lose_probability"`
	// StaleReadRevisions serves range calls from that many revisions ago, like
	// a member of the service that lags behind without detecting it.
	StaleReadRevisions int64 `json:"stale_read_revisions"`
	// StaleReadProbability is the share of calls that StaleReadRevisions
	// affects; 0 means all of them.
	StaleReadProbability float64 `json:"stale_read_probability"`
	// FreezeLeases suspends the expiry of leases.
	FreezeLeases bool `json:"freeze_leases"`
	// PlatformDown answers calls for hosts and weights with status 503.
	PlatformDown bool `json:"platform_down"`
	// HostListLagMS is the delay after which changes of the host list are
	// served. It starts as Config.HostListLag; a new value applies to later
	// changes of the list.
	HostListLagMS int64 `json:"host_list_lag_ms"`
}

// faultState holds the active faults and their random number generator.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	changed chan struct{} // closed at each change
}

func newFaultState(seed uint64, hostListLag time.Duration) *faultState {
	return &faultState{
		faults:  Faults{HostListLagMS: hostListLag.Milliseconds()},
		random:  rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

func (f *faultState) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults, f.changed
}

func (f *faultState) update(change func(*Faults) error) (faults Faults, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	faults = f.faults
	if err := change(&faults); err != nil {
		return f.faults, err
	}
	f.faults = faults
	close(f.changed)
	f.changed = make(chan struct{})
	return faults, nil
}

// loseAnswer decides whether to drop the answer of a completed write; effective
// is true if the write changed keys.
func (f *faultState) loseAnswer(effective bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if effective && f.faults.LoseAnswers > 0 {
		f.faults.LoseAnswers--
		return true
	}
	return f.faults.LoseProbability > 0 && f.random.Float64() < f.faults.LoseProbability
}

// staleness decides how many revisions behind the newest one a read is served.
func (f *faultState) staleness() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	probability := f.faults.StaleReadProbability
	if probability > 0 && f.random.Float64() >= probability {
		return 0
	}
	return f.faults.StaleReadRevisions
}
