package relayer

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/provider"
)

// fakePool has connections to some peers only.
type fakePool map[string]bool

func (p fakePool) Peers() []exchanger.Peer { return nil }

func (p fakePool) Conn(hostID string) (grpc.ClientConnInterface, error) {
	if !p[hostID] {
		return nil, errors.New("no peer")
	}
	return nil, nil
}

// Guards against queries to peers that can't answer: a host whose watch hung queried
// a peer that had been killed 1.8 s before and, twice, a former peer, since both had
// the latest revision. It put a configuration in force 4.2 s after it was written.
// Peers with a recent update come first.
func TestPickPeerAhead(t *testing.T) {
	t.Parallel()
	now := time.Now()
	status := func(id string, revision int64, ago time.Duration) exchanger.PeerStatus {
		return exchanger.PeerStatus{Peer: exchanger.Peer{HostID: id}, Reachable: true, StoreRevision: revision, LastUpdate: now.Add(-ago)}
	}
	draining := status("draining", 9, 0)
	draining.Draining = true
	killed, live, behind := status("killed", 9, 1800*time.Millisecond), status("live", 8, 100*time.Millisecond), status("behind", 5, 0)
	for name, test := range map[string]struct {
		statuses []exchanger.PeerStatus
		want     string
	}{
		"recent update before a killed peer": {[]exchanger.PeerStatus{killed, live}, "live"},
		"former peer":                        {[]exchanger.PeerStatus{status("former", 9, 0), live}, "live"},
		"draining peer":                      {[]exchanger.PeerStatus{draining, live}, "live"},
		"killed peer if no other is ahead":   {[]exchanger.PeerStatus{killed, behind}, "killed"},
		"no peer ahead":                      {[]exchanger.PeerStatus{behind}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(Config{
				HostID: "own", Pool: fakePool{"killed": true, "live": true, "behind": true, "draining": true},
				PeerStatuses: func() []exchanger.PeerStatus { return test.statuses },
			})
			got, ok := r.pickPeerAhead(5, now)
			assert.Equal(t, got, test.want)
			assert.Equal(t, ok, test.want != "")
		})
	}
}

// Only a peer that knows no later revision of the store shows that the store has lost a
// configuration: any other is merely ahead of this host's watch.
func TestPeersWithLostConfiguration(t *testing.T) {
	t.Parallel()
	status := func(id string, version, number int64) exchanger.PeerStatus {
		return exchanger.PeerStatus{
			Peer: exchanger.Peer{HostID: id}, Reachable: true, ConfigurationRevision: version, StoreRevision: provider.Revision(2, number),
		}
	}
	draining, silent := status("draining", 18, 178), status("silent", 18, 178)
	draining.Draining, silent.Reachable = true, false
	for name, test := range map[string]struct {
		statuses []exchanger.PeerStatus
		want     []string
	}{
		"same version":             {[]exchanger.PeerStatus{status("a", 11, 178)}, nil},
		"later version":            {[]exchanger.PeerStatus{status("a", 18, 178)}, []string{"a"}},
		"of an earlier revision":   {[]exchanger.PeerStatus{status("a", 18, 100)}, []string{"a"}},
		"ahead of this host":       {[]exchanger.PeerStatus{status("a", 18, 179)}, nil},
		"latest version":           {[]exchanger.PeerStatus{status("a", 13, 178), status("b", 18, 178), status("c", 16, 178), status("d", 18, 178)}, []string{"b", "d"}},
		"draining, silent, former": {[]exchanger.PeerStatus{draining, silent, status("former", 18, 178)}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(Config{
				HostID: "own", Pool: fakePool{"a": true, "b": true, "c": true, "d": true, "draining": true, "silent": true},
				PeerStatuses: func() []exchanger.PeerStatus { return test.statuses },
			})
			r.log.continueFrom(179)
			assert.Assert(t, !r.IsConfigurationLost(11), "the store states no era")
			r.log.continueFrom(provider.Revision(2, 179))
			assert.DeepEqual(t, r.peersWithConfiguration(11), test.want)
			assert.Equal(t, r.IsConfigurationLost(11), len(test.want) > 0)
		})
	}
}
