package loader

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/timekeeper"
)

const (
	readyInterval = 250 * time.Millisecond
	readyTimeout  = time.Second
)

var errNoEntryReady = eris.New("no entry host is ready")

// balancer stands for the platform's balancer: it spreads requests in turn
// over the entry hosts whose health check succeeds.
type balancer struct {
	client  *http.Client
	entries []entryState
	turn    atomic.Uint64
}

type entryState struct {
	address string
	ready   atomic.Bool
}

func newBalancer(client *http.Client, addresses []string) *balancer {
	b := &balancer{client: client, entries: make([]entryState, len(addresses))}
	for i, address := range addresses {
		b.entries[i].address = address
	}
	return b
}

// watch checks one entry's readiness until ctx ends.
func (b *balancer) watch(ctx context.Context, entry *entryState) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		entry.ready.Store(b.probe(ctx, entry.address))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *balancer) probe(ctx context.Context, address string) bool {
	ctx, cancel := timekeeper.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode/100 == 2
}

// pick returns the next ready entry other than the one named, or that one
// when it is the only one.
func (b *balancer) pick(except string) (address string, err error) {
	start := b.turn.Add(1)
	n := uint64(len(b.entries))
	for i := range n {
		entry := &b.entries[(start+i)%n]
		if !entry.ready.Load() {
			continue
		}
		if entry.address != except {
			return entry.address, nil
		}
		address = entry.address
	}
	if address == "" {
		return "", errNoEntryReady
	}
	return address, nil
}

// failed takes an entry that refused a connection out of the turn until its
// next health check.
func (b *balancer) failed(address string) {
	for i := range b.entries {
		if b.entries[i].address == address {
			b.entries[i].ready.Store(false)
		}
	}
}

// readyCount is how many entries are ready.
func (b *balancer) readyCount() (n int) {
	for i := range b.entries {
		if b.entries[i].ready.Load() {
			n++
		}
	}
	return n
}
