package peerforwarder

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestChoose(t *testing.T) {
	t.Parallel()
	const app = "letters"
	reaches := func(share float64) map[string]float64 { return map[string]float64{app: share} }
	for name, test := range map[string]struct {
		peers []Peer
		q     query
		// shares are the bounds of how often each peer is chosen; a missing one is never chosen.
		shares map[string][2]float64
	}{
		"no peers": {},
		"none reaches more": {
			peers: []Peer{{HostID: "a", Shares: reaches(0)}, {HostID: "b", Shares: reaches(0.5)}},
			q:     query{ownShare: 0.5},
		},
		"one endpoint is down for all": {
			peers: []Peer{{HostID: "a", Shares: reaches(0.75)}, {HostID: "b", Shares: reaches(0.8)}},
			q:     query{ownShare: 0.75},
		},
		"equal reach is enough if connections fail": {
			peers:  []Peer{{HostID: "a"}, {HostID: "b", Shares: reaches(0.5)}},
			q:      query{ownShare: 1, acceptsEqual: true},
			shares: map[string][2]float64{"a": {1, 1}},
		},
		"after a refusal, equal reach is not enough": {
			peers: []Peer{{HostID: "equal", Shares: reaches(0.25)}, {HostID: "unheard", IsUnheard: true}},
			q:     query{ownShare: 0.25, isRefused: true},
		},
		"after a refusal, only one that is not short of capacity": {
			peers:  []Peer{{HostID: "short", Short: []string{app}}, {HostID: "half", Shares: reaches(0.5)}, {HostID: "other", Short: []string{"digits"}}},
			q:      query{ownShare: 0.4, isRefused: true},
			shares: map[string][2]float64{"other": {1, 1}},
		},
		"if connections fail, equal reach of one that is short of capacity is not enough": {
			peers: []Peer{{HostID: "short", Shares: reaches(0.25), Short: []string{app}}},
			q:     query{ownShare: 0.25, acceptsEqual: true},
		},
		"one that is short of capacity if this host reaches no endpoint": {
			peers:  []Peer{{HostID: "short", Short: []string{app}}},
			shares: map[string][2]float64{"short": {1, 1}},
		},
		"draining, tried and stale ones are left out": {
			peers: []Peer{
				{HostID: "draining", IsDraining: true, ConfigurationVersion: 7},
				{HostID: "tried", ConfigurationVersion: 7},
				{HostID: "stale", ConfigurationVersion: 6},
				{HostID: "newer", ConfigurationVersion: 8},
			},
			q:      query{configurationVersion: 7, excluded: []string{"tried"}},
			shares: map[string][2]float64{"newer": {1, 1}},
		},
		"one of which nothing is known if no other is suitable": {
			peers: []Peer{
				{HostID: "cut", ConfigurationVersion: 7, Shares: reaches(0)},
				{HostID: "unheard", IsUnheard: true},
				{HostID: "near", Zone: "z", IsUnheard: true},
			},
			q:      query{zone: "z", configurationVersion: 7},
			shares: map[string][2]float64{"unheard": {0.45, 0.55}, "near": {0.45, 0.55}},
		},
		"a known one before one of which nothing is known": {
			peers:  []Peer{{HostID: "half", Shares: reaches(0.5)}, {HostID: "unheard", IsUnheard: true}},
			shares: map[string][2]float64{"half": {1, 1}},
		},
		"own zone first, not only": {
			peers:  []Peer{{HostID: "near", Zone: "z"}, {HostID: "far", Zone: "y"}},
			q:      query{zone: "z"},
			shares: map[string][2]float64{"near": {0.7, 0.8}, "far": {0.2, 0.3}},
		},
		"not all to the nearest if it is busy": {
			peers:  []Peer{{HostID: "near", Zone: "z", ActiveRequests: 100}, {HostID: "far", Zone: "y"}},
			q:      query{zone: "z"},
			shares: map[string][2]float64{"near": {0.05, 0.2}, "far": {0.8, 0.95}},
		},
		"requests in flight count": {
			peers:  []Peer{{HostID: "a"}, {HostID: "b"}},
			q:      query{inFlight: map[string]int{"a": 36}},
			shares: map[string][2]float64{"a": {0.05, 0.15}, "b": {0.85, 0.95}},
		},
		"who reaches more gets more": {
			peers:  []Peer{{HostID: "all"}, {HostID: "half", Shares: reaches(0.5)}},
			shares: map[string][2]float64{"all": {0.75, 0.85}, "half": {0.15, 0.25}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const draws = 1000
			counts := map[string]int{}
			for n := range draws {
				q := test.q
				q.application, q.random = app, float64(n)/draws
				if hostID, ok := choose(test.peers, &q); ok {
					counts[hostID]++
				}
			}
			assert.Equal(t, len(counts), len(test.shares), "%v", counts)
			for hostID, bounds := range test.shares {
				share := float64(counts[hostID]) / draws
				assert.Check(t, share >= bounds[0] && share <= bounds[1], "%s: %v", hostID, share)
			}
		})
	}
}

// TestIsOutlier guards against a host that takes endpoints behind its own broken paths for lost, and
// against one that does so only until the last peer has noticed a loss.
func TestIsOutlier(t *testing.T) {
	t.Parallel()
	peers := func(shares ...float64) (peers []Peer) {
		for _, share := range shares {
			peers = append(peers, Peer{Shares: map[string]float64{"llm": share}})
		}
		return peers
	}
	for name, test := range map[string]struct {
		peers []Peer
		own   float64
		want  bool
	}{
		"alone":                          {own: 0.25},
		"all have lost the same":         {peers: peers(0.25, 0.25, 0.25), own: 0.25},
		"one peer reaches clearly more":  {peers: peers(0.25, 0.25, 1), own: 0.25, want: true},
		"most reach a little more":       {peers: peers(1, 1, 0.9), own: 0.9, want: true},
		"one reaches a little more":      {peers: peers(1, 0.9, 0.9), own: 0.9},
		"peers that send no updates":     {peers: []Peer{{IsUnheard: true}}, own: 0.25},
		"most reach less than this host": {peers: peers(0.2, 0.2, 0.3), own: 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, isOutlier(test.peers, "llm", test.own), test.want)
		})
	}
}
