package exchanger

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeCrashes knows one quarantine, unless it has just started, and never publishes it.
type fakeCrashes struct {
	isComplete bool
	known      []CrashUpdate

	mu     sync.Mutex
	merged []CrashUpdate
}

func (c *fakeCrashes) Updates(uint64, Scope) (updates []CrashUpdate, position uint64) { return nil, 0 }

func (c *fakeCrashes) Snapshot() (updates []CrashUpdate, isComplete bool) {
	return c.known, c.isComplete
}

func (c *fakeCrashes) Merge(updates []CrashUpdate, _ bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.merged = append(c.merged, updates...)
}

func TestHostThatStartsFetchesCrashes(t *testing.T) {
	now := time.Now()
	quarantine := CrashUpdate{At: now, Quarantines: []Quarantine{{RequestFingerprint: RequestFingerprint{Fingerprint: [16]byte{7}}, Until: now.Add(time.Minute), Pause: time.Minute}}}
	tests := map[string]struct {
		peer       *fakeCrashes
		isPeerGone bool // nothing listens at its address
		isSilent   bool // it accepts connections and does not answer
		hasStarted bool // its entry shows that it has just started
		wantMerged int
		wantErr    error
	}{
		"peer knows a quarantine":              {peer: &fakeCrashes{isComplete: true, known: []CrashUpdate{quarantine}}, wantMerged: 1},
		"peer knows none":                      {peer: &fakeCrashes{isComplete: true}},
		"only peer has just started as well":   {peer: &fakeCrashes{known: []CrashUpdate{quarantine}}, wantMerged: 1},
		"only peer has ended without notice":   {peer: &fakeCrashes{}, isPeerGone: true},
		"only peer does not answer":            {peer: &fakeCrashes{}, isSilent: true, wantErr: context.DeadlineExceeded},
		"silent peer has just started":         {peer: &fakeCrashes{}, isSilent: true, hasStarted: true},
		"peer knows more than one reply holds": {peer: &fakeCrashes{isComplete: true, known: manyCrashes(maxSnapshotFingerprints)}, wantMerged: maxSnapshotFingerprints / 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			own := &fakeCrashes{}
			silent, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer silent.Close()
			_, exchangers := startPair(t, "secret", func(n int, cfg *Config) {
				cfg.Clock, cfg.Crashes = func() time.Time { return now }, []Crashes{test.peer, own}[n]
				if n == 1 && test.isPeerGone {
					cfg.Peers[0].Address = "127.0.0.1:1"
				}
				if n == 1 && test.isSilent {
					cfg.Peers[0].Address = silent.Addr().String()
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			started, markStarted := context.WithCancel(t.Context())
			defer markStarted()
			if test.hasStarted {
				markStarted()
			}
			assert.ErrorIs(t, exchangers[1].FetchCrashes(ctx, func(string) context.Context { return started }), test.wantErr)
			own.mu.Lock()
			defer own.mu.Unlock()
			assert.Equal(t, len(own.merged), test.wantMerged)
			if test.wantMerged == 1 {
				assert.DeepEqual(t, own.merged[0].Quarantines, quarantine.Quarantines)
			}
		})
	}
}

// manyCrashes returns crashes with a run each.
func manyCrashes(n int) (updates []CrashUpdate) {
	for range n {
		updates = append(updates, CrashUpdate{EndpointID: "e", Runs: make([]CrashRun, 1)})
	}
	return updates
}
