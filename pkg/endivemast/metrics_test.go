package endivemast_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// scrape returns the samples of a host's /metrics by name and labels.
func (f *fleet) scrape(t *testing.T, host int) map[string]string {
	t.Helper()
	_, operators := f.entries[host].Addresses()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+operators+"/metrics", nil)
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, response.Body.Close()) }()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	samples := make(map[string]string)
	scanner := bufio.NewScanner(strings.NewReader(string(content)))
	for scanner.Scan() {
		if i := strings.LastIndexByte(scanner.Text(), ' '); i > 0 {
			samples[scanner.Text()[:i]] = scanner.Text()[i+1:]
		}
	}
	return samples
}

// TestMetricsOfARunningHost checks each metric for which OPERATIONS.md has an alert, after
// a request of each outcome.
func TestMetricsOfARunningHost(t *testing.T) {
	f := startFleet(t, 2)
	f.awaitReady(t, 0)
	f.awaitReady(t, 1)
	class := map[string]any{"kind": "generate", "application": "letters", "repeatable": true, "completion_target_ms": 60_000}
	status, answer := f.send(t, 0, true, http.MethodPut, "/v1/operator/classes/vitosha/drafts", "", class)
	assert.Equal(t, status, http.StatusOK, answer)
	generate := map[string]any{"prompt": "A long letter.", "max_output_tokens": 100}
	f.awaitStatus(t, http.StatusOK, func() (int, string) {
		return f.send(t, 0, false, http.MethodPost, "/v1/classes/drafts/generate", "", generate)
	})
	f.awaitStatus(t, http.StatusNotFound, func() (int, string) {
		return f.send(t, 0, false, http.MethodPost, "/v1/classes/none-such/generate", "", generate)
	})
	const labels = `{tenant="vitosha",class="drafts"}`
	want := map[string]string{ // empty: any value; an empty histogram is not written
		`endivemast_requests_total{tenant="vitosha",class="drafts",outcome="whole"}`: "1",
		`endivemast_failures_total{outcome="not_run",reason="unknown_class"}`:        "1",
		"endivemast_first_token_seconds_count" + labels:                              "1",
		"endivemast_between_tokens_seconds_count" + labels:                           "",
		"endivemast_completion_seconds_count" + labels:                               "1",
		"endivemast_queue_seconds_count" + labels:                                    "",
		"endivemast_config_revision":                                                 "",
		"endivemast_config_age_seconds":                                              "",
		"endivemast_config_divergences":                                              "0",
		`endivemast_lease_epoch{zone="z1"}`:                                          "",
		`endivemast_lease_held{zone="z1"}`:                                           "",
		`endivemast_orders{state="sent"}`:                                            "0",
		`endivemast_orders{state="reissued"}`:                                        "0",
		`endivemast_orders{state="inherited"}`:                                       "0",
		`endivemast_orders{state="settled"}`:                                         "0",
		`endivemast_peers{state="reachable"}`:                                        "1",
		`endivemast_peers{state="unreachable"}`:                                      "0",
		`endivemast_endpoints{state="live"}`:                                         "2",
		`endivemast_endpoints{state="leaving"}`:                                      "0",
		`endivemast_endpoints{state="suspect"}`:                                      "0",
		`endivemast_demand_hosts{state="known"}`:                                     "1",
		`endivemast_demand_hosts{state="kept"}`:                                      "0",
		`endivemast_demand_hosts{state="missing"}`:                                   "0",
		"endivemast_demand_rejected_total":                                           "0",
		"endivemast_demand_sent_bytes_total":                                         "",
		`endivemast_engine_portion{application="letters"}`:                           "0.5",
		"endivemast_ready":                                                           "1",
		"endivemast_requests_in_flight":                                              "0",
		"process_resident_memory_bytes":                                              "",
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		samples := f.scrape(t, 0)
		for name, value := range want {
			got, ok := samples[name]
			if !ok || (value != "" && got != value) {
				return poll.Continue("%s is %q, want %q", name, got, value)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	http.DefaultClient.CloseIdleConnections()
}
