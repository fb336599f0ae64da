package leaser

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A take-over in a later era has a higher epoch than any that was written before,
// however old the copy is that the store came back from.
func TestCarryOverExceedsLostEpochs(t *testing.T) {
	t.Parallel()
	const usedPerEra = epochsPerEra / 2
	now := time.UnixMilli(5000)
	for name, test := range map[string]struct {
		copied Record  // the record in the copy
		eras   []int64 // eras in which hosts take over, each from the same copy
	}{
		"no record in the copy":             {eras: []int64{1, 2, 3}},
		"record without an era":             {copied: Record{Epoch: 40}, eras: []int64{1, 2}},
		"twice in a row from the same copy": {copied: Record{Epoch: 40, Era: 1}, eras: []int64{2, 3}},
		"an era without a take-over":        {copied: Record{Epoch: 40, Era: 1}, eras: []int64{3, 4}},
		"an era that lasted long":           {copied: Record{Epoch: 7 * epochsPerEra, Era: 1}, eras: []int64{2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			latest := test.copied.Epoch + usedPerEra // written after the copy was made
			for _, era := range test.eras {
				next := TakeOver(CarryOver(test.copied, era, now), "z", Holder{}, "w")
				assert.Assert(t, next.Epoch > latest, "epoch %d of era %d, after %d", next.Epoch, era, latest)
				assert.DeepEqual(t, next.Restoration, &Restoration{AtMS: 5000, Epoch: next.Epoch})
				assert.Equal(t, next.Era, era)
				latest = next.Epoch + usedPerEra
			}
		})
	}
}
