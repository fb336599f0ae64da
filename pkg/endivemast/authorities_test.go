package endivemast

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/leaser"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/internal/server"
)

func TestAuthoritiesOfAllZones(t *testing.T) {
	encode := func(v any) []byte {
		value, err := json.Marshal(v)
		assert.NilError(t, err)
		return value
	}
	holder := leaser.Holder{HostID: "h1", Incarnation: "i1"}
	orders := json.RawMessage(`{"open_orders":[
		{"order_id":"a","sends":[{"sender":{"incarnation":"i1"}}]},
		{"order_id":"b","sends":[{"sender":{"incarnation":"i0"}}]}]}`)
	got := authorities([]string{"z1", "z3"}, []provider.Entry{
		{Key: leaser.RecordKey("z1"), Value: encode(leaser.Record{Epoch: 7, Holder: holder, Payload: orders})},
		{Key: leaser.LivenessKey("z1"), Value: []byte("h1")},
		{Key: leaser.RecordKey("z2"), Value: encode(leaser.Record{Epoch: 4, Holder: holder})},
	})
	assert.DeepEqual(t, got, []server.AuthorityStatus{
		{Zone: "z1", Holder: "h1", Epoch: 7, OpenOrders: 2, OrdersByState: map[string]int{"sent": 1, "inherited": 1}},
		{Zone: "z2", Epoch: 4, OrdersByState: map[string]int{}}, // not among the settings; its holder is gone
		{Zone: "z3", OrdersByState: map[string]int{}},
	})
}
