package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Engines that decode read prompts only as far as the pauses of their streams
// allow.
func TestReadingWhereItIsDecodedKeepsPauses(t *testing.T) {
	t.Parallel()
	b := newRolesBench(6, 18, 12, rolesTiming())
	b.run(t, 20*time.Second, lending(1))
	for name, c := range b.tallies {
		assert.Assert(t, 100*c.latePause <= c.offered, "%s: %d of %d late by a pause", name, c.latePause, c.offered)
	}
}
