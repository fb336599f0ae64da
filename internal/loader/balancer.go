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

// balancer simulates the platform's load balancer: it distributes requests
// round-robin over the entry hosts whose readiness check succeeds.
type balancer struct {
	client  *http.Client
	entries []entryState
	next    atomic.Uint64
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

// watch polls the readiness of one entry host until ctx ends.
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

// pick returns the next ready entry host other than except, or except itself
// when no other is ready.
func (b *balancer) pick(except string) (address string, err error) {
	start := b.next.Add(1)
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

// markUnready excludes an entry host that could not be reached until its next
// readiness check.
func (b *balancer) markUnready(address string) {
	for i := range b.entries {
		if b.entries[i].address == address {
			b.entries[i].ready.Store(false)
		}
	}
}

// readyCount returns the number of ready entry hosts.
func (b *balancer) readyCount() (n int) {
	for i := range b.entries {
		if b.entries[i].ready.Load() {
			n++
		}
	}
	return n
}
