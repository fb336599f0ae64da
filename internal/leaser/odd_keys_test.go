package leaser

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
)

// eraStore is a store with eras that holds some entries.
type eraStore struct {
	provider.Store
	entries []provider.Entry
}

func (s *eraStore) Era() int64 { return 2 }

func (s *eraStore) List(context.Context, string) ([]provider.Entry, int64, error) {
	return s.entries, provider.Revision(2, 50), nil
}

// Guards against a zone without an authority because of another writer's key that begins like the record's.
func TestKeyThatBeginsLikeTheRecords(t *testing.T) {
	t.Parallel()
	for name, key := range map[string]string{
		"longer name": RecordKey("zone") + "-of-another", "below it": RecordKey("zone") + "/odd", "no name": RecordKey("zone") + "/",
		"negative era": RecordKey("zone") + "/-1", "era with a sign": RecordKey("zone") + "/+2", "era with a zero": RecordKey("zone") + "/02",
	} {
		for value, text := range map[string]string{"not decodable": "{", "high epoch": `{"epoch":100000}`} {
			t.Run(name+", "+value, func(t *testing.T) {
				t.Parallel()
				store := &eraStore{entries: []provider.Entry{
					{Key: RecordKey("zone"), Value: []byte(`{"epoch":7}`), Revision: 3},
					{Key: eraRecordKey("zone", 2), Value: []byte(`{"epoch":8}`), Revision: 4},
					{Key: key, Value: []byte(text), Revision: 5},
				}}
				l, err := New(Config{Zone: "zone", HostID: "h", Incarnation: "i", Store: store, TTL: DefaultTTL, PollInterval: DefaultTTL})
				assert.NilError(t, err)
				stored, err := l.readRecord(t.Context())
				assert.NilError(t, err)
				assert.Equal(t, stored.record.Epoch, int64(8))
				assert.Equal(t, stored.revision, int64(4))
			})
		}
	}
}
