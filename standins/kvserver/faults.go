package kvserver

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the faults in force. The zero value is a service without faults.
// All but HostListLagMS and PlatformDown are of the key-value service.
type Faults struct {
	// Down answers every call with status 503 "no leader", and ends open
	// watches. Nothing takes effect.
	Down bool `json:"down"`
	// Refuse closes the listening socket and its connections, so that dialling
	// fails. It needs Start; over HTTP it can only be set at the admin address.
	Refuse bool `json:"refuse"`
	// BlackHole accepts calls and never answers them; nothing takes effect.
	// Open watches stay open and fall silent.
	BlackHole bool `json:"black_hole"`
	// LatencyMS delays each call. A read is done before the delay and a write
	// behind it, also when its client has given up by then: late answers are
	// as old, and unanswered writes as late, as a slow service may make them.
	LatencyMS int64 `json:"latency_ms"`
	// LoseAnswers is the number of puts, deletes and succeeding transactions
	// still to come that take effect while their connection is cut in place of
	// an answer. Lease calls don't use it up.
	LoseAnswers int `json:"lose_answers"`
	// HoldWrites holds back the answers of puts, deletes and transactions, which
	// have taken effect, until it is cleared. Lease calls are answered.
	HoldWrites bool `json:"hold_writes"`
	// LoseProbability is the probability of a lost answer for each write of any
	// kind, failed compares and lease calls included.
	LoseProbability float64 `json:"lose_probability"`
	// StaleReadRevisions serves range calls from that many revisions ago: what
	// a member of the service answers that has fallen behind and does not know.
	StaleReadRevisions int64 `json:"stale_read_revisions"`
	// StaleReadProbability limits StaleReadRevisions to a share of the calls;
	// 0 means all of them.
	StaleReadProbability float64 `json:"stale_read_probability"`
	// FreezeLeases stops the expiry of leases.
	FreezeLeases bool `json:"freeze_leases"`
	// PlatformDown answers calls for hosts and weights with status 503.
	PlatformDown bool `json:"platform_down"`
	// HostListLagMS is how old the served list of hosts is. It begins as
	// Config.HostListLag; a change of it counts for later changes of the list.
	HostListLagMS int64 `json:"host_list_lag_ms"`
}

// faultState holds the faults in force and the dice.
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

// loseAnswer decides whether a write that was done goes unanswered; effective
// says that it changed keys.
func (f *faultState) loseAnswer(effective bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if effective && f.faults.LoseAnswers > 0 {
		f.faults.LoseAnswers--
		return true
	}
	return f.faults.LoseProbability > 0 && f.random.Float64() < f.faults.LoseProbability
}

// staleness decides how many revisions behind a read is served.
func (f *faultState) staleness() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	probability := f.faults.StaleReadProbability
	if probability > 0 && f.random.Float64() >= probability {
		return 0
	}
	return f.faults.StaleReadRevisions
}
