package lister

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
)

// TestReportsAreBounded counts the reports of a minute at the default settings.
func TestReportsAreBounded(t *testing.T) {
	tests := map[string]struct {
		endpoints   int
		draining    bool
		least, most int // in the minute, the first report of each endpoint left out
	}{
		"few endpoints, each as often as may be": {endpoints: 20, least: 4780, most: 4800},
		"many endpoints share the bound":         {endpoints: 500, least: 5700, most: 6100},
		"leaving ones are read as often":         {endpoints: 100, draining: true, least: 23_900, most: 24_000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &world{revision: 1, draining: test.draining}
				for i := range test.endpoints {
					w.hosts = append(w.hosts, provider.Host{ID: fmt.Sprintf("e%d", i), Kind: provider.HostEngine})
				}
				l := New(Config{Platform: w, Driver: w, Peers: w, Logger: hclog.NewNullLogger()}, w)
				l.Start()
				<-time.After(time.Minute + time.Millisecond) // of the bubble's clock
				assert.NilError(t, l.Close())
				reports := w.reports - test.endpoints
				assert.Assert(t, reports >= test.least && reports <= test.most, "%d reports", reports)
			})
		})
	}
}
