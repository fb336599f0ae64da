package relayer

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/provider"
)

// peersPool knows peers by their ids.
type peersPool struct {
	fakePool
	ids []string
}

func (p peersPool) Peers() (peers []exchanger.Peer) {
	for _, id := range p.ids {
		peers = append(peers, exchanger.Peer{HostID: id})
	}
	return peers
}

func TestMissedPeriod(t *testing.T) {
	t.Parallel()
	type status struct {
		id        string
		silentFor time.Duration
		revision  int64
	}
	for name, test := range map[string]struct {
		peers    []string
		statuses []status
		isRecent bool // changes that are received now are recent
	}{
		"no peers":                      {isRecent: true},
		"no peer is ahead":              {peers: []string{"a", "b"}, statuses: []status{{"a", 0, 5}, {"b", 0, 4}}, isRecent: true},
		"a peer is ahead":               {peers: []string{"a", "b"}, statuses: []status{{"a", 0, 5}, {"b", 0, 6}}},
		"a disconnected peer was ahead": {peers: []string{"a", "b", "c"}, statuses: []status{{"a", 0, 5}, {"b", 0, 5}, {"c", 2 * time.Second, 6}}, isRecent: true},
		"disconnected from most peers":  {peers: []string{"a", "b", "c"}, statuses: []status{{"a", 0, 5}, {"b", 2 * time.Second, 5}, {"c", 2 * time.Second, 5}}},
		"most peers never seen":         {peers: []string{"a", "b", "c"}, statuses: []status{{"a", 0, 5}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now := time.Now()
			r := New(Config{HostID: "own", Pool: peersPool{ids: test.peers}, PeerStatuses: func() (statuses []exchanger.PeerStatus) {
				for _, s := range test.statuses {
					statuses = append(statuses, exchanger.PeerStatus{
						Peer: exchanger.Peer{HostID: s.id}, LastUpdate: now.Add(-s.silentFor), StoreRevision: s.revision,
					})
				}
				return statuses
			}})
			r.log.appendNew([]provider.Change{{Entry: provider.Entry{Key: "k", Revision: 5}}})
			appendedAt := time.Now()
			r.Resumed(time.Minute)
			missed := r.MissedPeriod()
			assert.Assert(t, !missed.Earliest.After(appendedAt.Add(-time.Minute)))
			assert.Equal(t, now.Sub(missed.Latest) < time.Second, test.isRecent)
		})
	}
}

func TestIsolatedHostWatchesStore(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		silentFor time.Duration // of the peer that was connected last
		want      bool
	}{"connected": {0, false}, "isolated": {2 * time.Second, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now := time.Now()
			hosts := []exchanger.Peer{{HostID: "own"}, {HostID: "a"}, {HostID: "b"}, {HostID: "c"}}
			statuses := []exchanger.PeerStatus{{LastUpdate: now.Add(-time.Minute)}, {LastUpdate: now.Add(-test.silentFor)}}
			r := New(Config{
				Pool: fakePool{}, ZoneHosts: func() []exchanger.Peer { return hosts },
				PeerStatuses: func() []exchanger.PeerStatus { return statuses },
			})
			slices.SortFunc(hosts, exchanger.ComparePriority)
			r.cfg.HostID = hosts[len(hosts)-1].HostID // one that follows peers
			assert.Equal(t, r.IsIsolated(), test.want)
			assert.Equal(t, r.WatchesStore(), test.want)
		})
	}
}
