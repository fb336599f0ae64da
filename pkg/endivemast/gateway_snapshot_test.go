package endivemast

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/attester"
	"github.com/endivemast/endivemast/internal/classifier"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/streamkeeper"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// TestReadProvesConfiguration guards against accepting API keys on the strength of a read whose
// configuration is not in force, or which may be that of an older copy of the store.
func TestReadProvesConfiguration(t *testing.T) {
	t.Parallel()
	const key = "configuration"
	decode := func(value []byte) (*classifier.Snapshot, error) {
		version, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			return nil, errors.New("not a configuration")
		}
		return &classifier.Snapshot{Version: version}, nil
	}
	for name, test := range map[string]struct {
		before     string // in force before; empty: none
		read       string // empty: no configuration
		isRestored bool
		wantProof  bool
	}{
		"first configuration":     {read: "3", wantProof: true},
		"later configuration":     {before: "2", read: "3", wantProof: true},
		"later one is in force":   {before: "4", read: "3", wantProof: true},
		"not decodable":           {read: "x"},
		"later one not decodable": {before: "2", read: "x"},
		"store restored just now": {before: "2", read: "3", isRestored: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := timekeeper.New()
			g := &Gateway{
				cfg:        GatewayConfig{ConfigurationKey: key, DecodeSnapshot: decode, Clock: clock, Logger: hclog.NewNullLogger()},
				classifier: classifier.New(), streams: streamkeeper.New(streamkeeper.Config{Clock: time.Now}),
			}
			defer func() { assert.NilError(t, g.streams.Close()) }()
			g.attester = attester.New(attester.Config{Bound: 5 * time.Second, Version: g.classifier.Revision, Now: clock.Now, Logger: g.cfg.Logger})
			sink := &snapshotSink{gateway: g}
			entries := func(value string) []provider.Entry {
				if value == "" {
					return nil
				}
				return []provider.Entry{{Key: key, Value: []byte(value), Revision: 7}}
			}
			sink.Replace(entries(test.before), provider.Period{}, time.Time{})
			if test.isRestored {
				g.recordRestoration()
			}
			sink.Replace(entries(test.read), provider.Period{}, time.Time{})
			sink.onRead(7, clock.Now().Add(-time.Second))
			age, hasProof := g.attester.Age()
			assert.Equal(t, hasProof, test.wantProof)
			assert.Equal(t, g.attester.IsCurrent(), test.wantProof)
			if test.wantProof {
				assert.Assert(t, age >= time.Second, "the age of the proof does not count from the request")
				assert.Equal(t, g.checkedRevision, int64(7))
			} else {
				assert.Equal(t, g.checkedRevision, int64(0), "the next check would not read this configuration again")
			}
		})
	}
}
