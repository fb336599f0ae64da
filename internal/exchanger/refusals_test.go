package exchanger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
)

// Refusals implements Refusals.
func (l *summedLocal) Refusals() []Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ownRefusals
}

// ApplyRefusals implements Refusals.
func (l *summedLocal) ApplyRefusals(source string, refusals []Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals[source] = refusals
}

func (l *summedLocal) setRefusals(refusals []Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownRefusals = refusals
}

// refusedHosts returns how many hosts the only endpoint has refused, this one included.
func (l *summedLocal) refusedHosts() (hosts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts = len(l.ownRefusals)
	for _, refusals := range l.refusals {
		for _, r := range refusals {
			hosts += r.Hosts
		}
	}
	return hosts
}

// TestRefusalsThroughHubs guards against refused connections that are counted twice or are not known
// everywhere, so that one host's broken path looks like that of several.
func TestRefusalsThroughHubs(t *testing.T) {
	t.Parallel()
	f := startHubFleet(t, map[string]int{"a": 7, "b": 6})
	f.awaitSums()
	refusing := []string{"a-6", "a-0", "b-3"}
	for _, id := range refusing {
		f.locals[id].setRefusals([]Refusal{{EndpointID: "e", Incarnation: "1", Hosts: 1}})
	}
	f.awaitLocals("counted three refused hosts", func(local *summedLocal) bool { return local.refusedHosts() == len(refusing) })
	for _, id := range refusing {
		f.locals[id].setRefusals(nil)
	}
	f.awaitLocals("dropped them", func(local *summedLocal) bool { return local.refusedHosts() == 0 })
}

// TestMergeRefusals guards against sums that mix processes, and against values of a peer that make
// a refusal permanent.
func TestMergeRefusals(t *testing.T) {
	t.Parallel()
	merged := mergeRefusals([]Refusal{
		{EndpointID: "b", Incarnation: "1", Hosts: 2, Age: time.Second},
		{EndpointID: "a", Incarnation: "2", Hosts: 1},
		{EndpointID: "b", Incarnation: "1", Hosts: 3, Age: 2 * time.Second},
		{EndpointID: "a", Incarnation: "1", Hosts: 4},
	})
	assert.DeepEqual(t, merged, []Refusal{
		{EndpointID: "a", Incarnation: "1", Hosts: 4},
		{EndpointID: "a", Incarnation: "2", Hosts: 1},
		{EndpointID: "b", Incarnation: "1", Hosts: 5, Age: time.Second},
	})
	received := refusalsFromMessage([]*exchangerpb.RefusingEndpoint{{EndpointId: "a", Hosts: -3, AgeMs: -5_000}, {EndpointId: "b", Hosts: 1 << 40, AgeMs: 1 << 60}})
	assert.DeepEqual(t, received, []Refusal{{EndpointID: "a", Hosts: 1}, {EndpointID: "b", Hosts: maxHosts, Age: maxUpdateAge}})
}
