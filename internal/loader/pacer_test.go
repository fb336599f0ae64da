package loader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPacer(t *testing.T) {
	t.Parallel()
	const planned, stall = time.Second, 2 * time.Second
	tests := map[string]struct {
		late    time.Duration // of the first request
		arrived time.Duration // its caller, since the start
		next    time.Duration // one planned 100 ms behind it, since the start
	}{
		"on time":                {arrived: planned, next: planned + 100*time.Millisecond},
		"late, as a busy loader": {late: 200 * time.Millisecond, arrived: planned, next: planned + 100*time.Millisecond},
		"the loader stood still": {late: stall, arrived: planned + stall, next: planned + stall + 100*time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := &pacer{begun: time.Unix(1000, 0)}
			due := p.due(planned)
			arrived := p.send(due, due.Add(test.late))
			assert.Equal(t, arrived.Sub(p.begun), test.arrived)
			assert.Equal(t, p.due(planned+100*time.Millisecond).Sub(p.begun), test.next)
		})
	}
}
