package tests

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	seedsVariable    = "ENDIVEMAST_TEST_SEEDS"
	secondsVariable  = "ENDIVEMAST_TEST_SECONDS"
	fixedSeeds       = "1-3"
	shortSeconds     = 12
	requestsPerStep  = 25 // a second's arrivals, or some less
	requestsToSettle = 40 // before the first disruption
)

// disruption is a fault with its end, in commands of the scenario language.
// Both may name a host, a second host, a zone and a second zone.
type disruption struct{ begin, end string }

// disruptions are what a schedule is drawn from. What a text names:
// ENTRY, OTHER entry, ENGINE, SERVICE, ZONE and FAR, another zone.
var disruptions = []disruption{
	{"crash ENTRY", "start ENTRY"},
	{"pause ENTRY", "resume ENTRY"},
	{"crash ENGINE", "start ENGINE"},
	{"pause ENGINE", "resume ENGINE"},
	{"crash SERVICE", "start SERVICE"},
	{"pause SERVICE", "resume SERVICE"},
	{"cut ZONE from platform", "heal"},
	{"cut ZONE from FAR", "heal"},
	{"cut ZONE to FAR", "heal"},
	{"cut ZONE to platform", "heal"},
	{"cut platform to ZONE", "heal"},
	{`fault kv '{"down":true}'`, `fault kv '{"down":false}'`},
	{`fault kv '{"black_hole":true}'`, `fault kv '{"black_hole":false}'`},
	{`fault kv '{"lose_probability":0.3}'`, `fault kv '{"lose_probability":0}'`},
	{`fault kv '{"latency_ms":400,"stale_read_revisions":3}'`, `fault kv '{"latency_ms":0,"stale_read_revisions":0}'`},
	{`fault kv '{"host_list_lag_ms":1500}'`, `fault kv '{"host_list_lag_ms":0}'`},
	{`fault ENGINE '{"cross_answers":3}'`, `fault ENGINE '{"skip_tokens":3}'`},
	{`fault ENGINE '{"truncate_streams":3,"truncate_after_tokens":9}'`, `fault ENGINE '{"duplicate_tokens":3}'`},
	{`fault ENGINE '{"late_answer_ms":700,"lose_order_answers":2}'`, `fault ENGINE '{"late_answer_ms":0}'`},
	{`fault SERVICE '{"lose_answers":3}'`, `fault SERVICE '{"cross_answers":3}'`},
	{`fault SERVICE '{"truncate_answers":3}'`, `fault SERVICE '{"refuse_calls":3}'`},
	{`fault SERVICE '{"pause_ms":600}'`, `fault SERVICE '{"pause_ms":0}'`},
	{
		"race agency/availability_checks completion_target_ms=1600 completion_target_ms=1700 by ENTRY OTHER",
		"race agency/bookings completion_target_ms=3100 completion_target_ms=3200 by OTHER ENTRY",
	},
	{"terminate ENTRY", "start ENTRY"},
}

// TestTogether brings about two disruptions at a time, drawn by a seed, and
// checks every promise at the end. A failed schedule is shown as a scenario,
// which can be run again as it stands or from its seed.
func TestTogether(t *testing.T) {
	seeds, err := parseSeeds(orDefault(os.Getenv(seedsVariable), fixedSeeds))
	assert.NilError(t, err)
	seconds, err := strconv.Atoi(orDefault(os.Getenv(secondsVariable), strconv.Itoa(shortSeconds)))
	assert.NilError(t, err)
	directory := t.TempDir()
	for _, seed := range seeds {
		schedule := drawSchedule(seed, seconds)
		path := filepath.Join(directory, fmt.Sprintf("seed_%d.txtar", seed))
		assert.NilError(t, os.WriteFile(path, []byte(schedule), 0o600))
	}
	runScenarios(t, directory)
}

// parseSeeds parses a list of seeds and ranges, as 1,4,7-9.
func parseSeeds(list string) (seeds []uint64, err error) {
	for _, part := range strings.Split(list, ",") {
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		from, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			return nil, err
		}
		to, err := strconv.ParseUint(last, 10, 64)
		if err != nil {
			return nil, err
		}
		for ; from <= to; from++ {
			seeds = append(seeds, from)
		}
	}
	return seeds, nil
}

// drawSchedule draws a scenario: under a mixed load two disruptions begin,
// overlap and end, in one of the orders in which that can be, and so on.
func drawSchedule(seed uint64, seconds int) string {
	rng := rand.New(rand.NewPCG(seed, seed))
	var b strings.Builder
	fmt.Fprintf(&b, "# Seed %d.\ncluster agency small entry.lease-ttl=1s\n", seed)
	fmt.Fprintf(&b, "load start mix agency-steady seed=%d scale=0.15 seconds=%d "+
		"bookings.rate=60 cancellations.rate=40 bookings.resend_share=0.4\n", seed, seconds)
	at := requestsToSettle
	step := func(commands ...string) {
		fmt.Fprintf(&b, "load at mix %d\n%s\n", at, strings.Join(commands, "\n"))
		at += requestsPerStep
	}
	for at+4*requestsPerStep < seconds*requestsPerStep*9/10 {
		pair := drawPair(rng)
		step(pair[0].begin)
		step(pair[1].begin)
		first := rng.IntN(2)
		step(pair[first].end)
		step(pair[1-first].end)
	}
	b.WriteString("heal\nload wait mix\nawait ready entries\n" +
		"class set agency/group_replies completion_target_ms=20100 by palermo-1\nawait config entries\n" +
		"load start after agency-steady scale=0.15 seconds=2\nload wait after\n" +
		"check load mix sound\ncheck load after sound goodput>=0.5\ncheck orders\ncheck config\n")
	return b.String()
}

// drawPair draws two different disruptions, which hit different hosts of a
// kind: one host is not killed while it is paused.
func drawPair(rng *rand.Rand) (pair [2]disruption) {
	first, second := rng.IntN(len(disruptions)), rng.IntN(len(disruptions)-1)
	if second >= first {
		second++
	}
	zones := []string{"palermo", "catania", "messina"}
	kinds := map[string]string{"ENTRY": "", "ENGINE": "assistant-", "SERVICE": "bookings-"}
	order := rng.Perm(len(zones))
	for i, drawn := range [2]disruption{disruptions[first], disruptions[second]} {
		own, other := order[i], order[i+1]
		names := []string{"ZONE", zones[own], "FAR", zones[other], "OTHER", zones[other] + "-1"}
		for kind, prefix := range kinds {
			host := fmt.Sprintf("%s%d", prefix, own+1)
			if kind == "ENTRY" {
				host = zones[own] + "-1"
			}
			names = append(names, kind, host)
		}
		replacer := strings.NewReplacer(names...)
		pair[i] = disruption{begin: replacer.Replace(drawn.begin), end: replacer.Replace(drawn.end)}
	}
	return pair
}
