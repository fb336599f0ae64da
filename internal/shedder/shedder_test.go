package shedder

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLimit(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		active int64
		peers  []Peer
		want   int64
	}{
		"no peers":                                 {active: 100, want: noLimit},
		"idle peers":                               {active: 100, peers: []Peer{{"a", 0}, {"a", 0}, {"b", 0}}, want: 50},
		"few requests":                             {active: 8, peers: []Peer{{"a", 0}}, want: minLimit},
		"all hosts are equally busy":               {active: 100, peers: []Peer{{"a", 100}, {"b", 100}}, want: 200},
		"peers of the zone are busier":             {active: 100, peers: []Peer{{"a", 190}, {"b", 10}}, want: noLimit},
		"peers of other zones only":                {active: 100, peers: []Peer{{"b", 0}}, want: noLimit},
		"one of the peers of the zone is not busy": {active: 100, peers: []Peer{{"a", 300}, {"a", 50}}, want: 300},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, limitOf(test.active, "a", test.peers), test.want)
		})
	}
}

func TestMayAccept(t *testing.T) {
	t.Parallel()
	s := New("a")
	assert.Assert(t, s.MayAccept(1000), "before the first update")
	s.Update(100, []Peer{{"a", 0}, {"a", 0}, {"b", 0}})
	assert.Assert(t, s.MayAccept(49))
	assert.Assert(t, !s.MayAccept(50))
	assert.Equal(t, s.TakeCount(), int64(1))
	assert.Equal(t, s.TakeCount(), int64(0))
}
