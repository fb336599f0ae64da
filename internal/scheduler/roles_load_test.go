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

// Where hosts know what engines keep, prompts go to where their prefix is, or it
// is fetched from there: far less is read again than where hosts remember their
// own prompts only, and more is in time.
func TestKnownCachesSaveReading(t *testing.T) {
	t.Parallel()
	play := func(isTold bool) (prefixes int, inTime float64) {
		b := newRolesBench(6, 18, 12, rolesTiming())
		b.tellsCaches = isTold
		b.run(t, 20*time.Second, lending(1.5))
		var offered, served int
		for _, c := range b.tallies {
			offered, served = offered+c.offered, served+c.inTime
		}
		t.Logf("caches told: %v; %d tokens of prefixes read, %d of %d in time", isTold, b.prefixesRead(), served, offered)
		return b.prefixesRead(), float64(served) / float64(offered)
	}
	told, inTime := play(true)
	untold, inTimeUntold := play(false)
	assert.Assert(t, 2*told < untold)
	assert.Assert(t, inTime > inTimeUntold)
}

// Hosts that hear of each other's prompts within 20 ms seldom choose the same
// engine; with words 100 ms old, more prompts wait behind others.
func TestFreshWordsKeepHostsApart(t *testing.T) {
	t.Parallel()
	late := func(exchangeMS int) (late int) {
		b := newRolesBench(6, 18, 12, rolesTiming())
		b.exchangeMS = exchangeMS
		b.run(t, 20*time.Second, lending(1.3))
		for _, c := range b.tallies {
			late += c.lateFirst + c.refused
		}
		return late
	}
	fresh, old := late(20), late(100)
	t.Logf("late or refused: %d with words of 20 ms, %d of 100 ms", fresh, old)
	assert.Assert(t, 2*fresh < old)
}
