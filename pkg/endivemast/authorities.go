package endivemast

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/endivemast/endivemast/internal/leaser"
	"github.com/endivemast/endivemast/internal/orderer"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/server"
)

// The zone authorities for the status page. They are read from the key-value service only
// on request, all zones in one call: a host has no other use for the records of other
// zones, and each read counts against the service's rate limit.
const (
	authoritiesTimeout = 500 * time.Millisecond
	authoritiesMaxAge  = time.Second // how long the last read is reused
)

// authorityReader reads the zones' records and caches them.
type authorityReader struct {
	store provider.Store
	zones []string // configured zones

	mu          sync.Mutex
	statuses    []server.AuthorityStatus
	isKnown     bool // the last read succeeded
	attemptedAt time.Time
	readAt      time.Time
}

func newAuthorityReader(store provider.Store, cfg Config) *authorityReader {
	zones := []string{cfg.Zone}
	for _, peer := range cfg.Peers {
		zones = append(zones, peer.Zone)
	}
	slices.Sort(zones)
	return &authorityReader{store: store, zones: slices.Compact(zones)}
}

// read returns the authorities of all zones, sorted by zone. If they can't be read now, it
// returns the last ones read, marked as not known.
func (r *authorityReader) read(ctx context.Context) []server.AuthorityStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Failed reads count as well: otherwise each status request would wait for the service
	// during an outage.
	if time.Since(r.attemptedAt) > authoritiesMaxAge {
		r.refresh(ctx)
		r.attemptedAt = time.Now()
	}
	statuses := slices.Clone(r.statuses)
	for i := range statuses {
		statuses[i].IsCurrent = r.isKnown
		if !r.readAt.IsZero() {
			statuses[i].Age = time.Since(r.readAt)
		}
	}
	return statuses
}

func (r *authorityReader) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, authoritiesTimeout)
	defer cancel()
	entries, _, err := r.store.List(ctx, leaser.ZonesPrefix)
	r.isKnown = err == nil
	switch {
	case r.isKnown:
		r.statuses, r.readAt = authorities(r.zones, entries), time.Now()
	case r.statuses == nil:
		r.statuses = authorities(r.zones, nil)
	}
}

// authorities converts the entries of the key-value service into statuses, sorted by zone.
// A zone has a holder only while its liveness key exists.
func authorities(zones []string, entries []provider.Entry) []server.AuthorityStatus {
	values := make(map[string][]byte, len(entries))
	for _, entry := range entries {
		values[entry.Key] = entry.Value
		zone, isRecord := strings.CutSuffix(strings.TrimPrefix(entry.Key, leaser.ZonesPrefix), "/authority")
		if isRecord && !slices.Contains(zones, zone) {
			zones = append(slices.Clone(zones), zone)
		}
	}
	slices.Sort(zones)
	statuses := make([]server.AuthorityStatus, 0, len(zones))
	for _, zone := range zones {
		_, alive := values[leaser.LivenessKey(zone)]
		statuses = append(statuses, authorityStatus(zone, values[leaser.RecordKey(zone)], alive))
	}
	return statuses
}

func authorityStatus(zone string, value []byte, alive bool) server.AuthorityStatus {
	status := server.AuthorityStatus{Zone: zone, OrdersByState: make(map[string]int)}
	var record leaser.Record
	if json.Unmarshal(value, &record) != nil {
		return status // no host has held it yet
	}
	status.Epoch = record.Epoch
	if alive {
		status.Holder = record.Holder.HostID
	}
	table, err := orderer.ParseOrderTable(record.Payload)
	if err != nil {
		return status
	}
	status.OpenOrders = len(table.Orders)
	for state, n := range orderer.CountStates(table.Orders, record.Holder.Incarnation) {
		status.OrdersByState[string(state)] = n
	}
	return status
}
