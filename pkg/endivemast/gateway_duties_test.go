package endivemast

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/classifier"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/provisioner"
	"github.com/endivemast/endivemast/internal/scaler"
)

func TestZonesOf(t *testing.T) {
	t.Parallel()
	engine := provider.Host{Application: "llm", Kind: provider.HostEngine, Zone: "a"}
	spot, other, service := engine, engine, engine
	spot.IsSpot, other.Application, service.Kind = true, "other", provider.HostService
	zones := zonesOf("llm", &classifier.Scaling{Prices: map[string]float64{"a": 0.8}},
		[]provider.Host{engine, engine, spot, other, service}, map[provisioner.Target]int{
			{Application: "llm", Zone: "a"}: 4, {Application: "llm", Zone: "b", IsSpot: true}: 6, {Application: "other", Zone: "c"}: 9,
		})
	slices.SortFunc(zones, func(a, b scaler.Zone) int { return strings.Compare(a.Name, b.Name) })
	assert.DeepEqual(t, zones, []scaler.Zone{
		{Name: "a", OnDemand: scaler.Count{Present: 2, Ordered: 4}, Spot: scaler.Count{Present: 1}, Price: 0.8},
		{Name: "b", Spot: scaler.Count{Ordered: 6}, Price: classifier.DefaultPrice},
	})
}
