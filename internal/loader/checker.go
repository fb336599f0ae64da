package loader

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/standins/serviceserver"
)

const runsTimeout = 10 * time.Second

// readRuns returns how often the services ran each call key, or nil when
// there are no services.
func readRuns(client *http.Client, services []string) (runs map[string]int, err error) {
	defer func() { err = eris.Wrap(err, "read the services' run counts") }()
	if len(services) == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), runsTimeout)
	defer cancel()
	runs = make(map[string]int)
	for _, address := range services {
		var counted serviceserver.Runs
		if err := getJSON(ctx, client, "http://"+address+"/runs", "", &counted); err != nil {
			return nil, err
		}
		for key, n := range counted.ByKey {
			runs[key] += n
		}
	}
	return runs, nil
}

// getJSON reads a JSON document into a value. A status other than 2xx is an error.
func getJSON(ctx context.Context, client *http.Client, url, token string, into any) (err error) {
	defer func() { err = eris.Wrapf(err, "get %s", url) }()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return eris.Errorf("status %s", response.Status)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// checkRunCounts compares the records of non-idempotent calls with the run
// counts. A key that ran twice becomes OutcomeDuplicated. A call that ran but
// was reported as not run, or was answered without a run, becomes OutcomeWrong.
// Without counts the records are unchanged.
func checkRunCounts(records []record, runs map[string]int) []record {
	if runs == nil {
		return records
	}
	byKey := byCallerKey(runs, func(sum, n int) int { return sum + n })
	for i := range records {
		r := &records[i]
		if r.key == "" {
			continue
		}
		if outcome, detail := checkKey(r.outcome, byKey[r.key]); outcome != r.outcome {
			r.outcome, r.detail, r.inTime = outcome, detail, false
		}
	}
	return records
}

func checkKey(outcome Outcome, runs int) (checked Outcome, detail string) {
	switch {
	case runs > 1:
		return OutcomeDuplicated, "ran more than once"
	case runs == 1 && outcome == OutcomeRefused:
		return OutcomeWrong, "reported as not run, but ran"
	case runs == 0 && (outcome == OutcomeComplete || outcome == OutcomeFailed):
		return OutcomeWrong, "reported as run, but did not run"
	}
	return outcome, ""
}

// checkRefusals finds attempts that were reported as not run although they were
// made after the run of their key had started. The answer to another attempt
// may hide such a false report, and a caller would still call again under a new
// key.
func checkRefusals(records []record, runs map[string][]time.Time) []record {
	byKey := byCallerKey(runs, func(all, times []time.Time) []time.Time { return append(all, times...) })
	for i := range records {
		r := &records[i]
		if r.outcome == OutcomeDuplicated || r.outcome == OutcomeWrong {
			continue
		}
		for _, sent := range r.refusedAt {
			if slices.ContainsFunc(byKey[r.key], sent.After) {
				r.outcome, r.detail, r.inTime = OutcomeWrong, "reported as not run after the run had started", false
			}
		}
	}
	return records
}

// byCallerKey removes the tenant that the system prepends to a caller's key.
// The loader's keys and the system's tickets are unique without it.
func byCallerKey[T any](runs map[string]T, add func(sum, more T) T) map[string]T {
	byKey := make(map[string]T, len(runs))
	for callKey, more := range runs {
		_, key, _ := strings.Cut(callKey, "/")
		byKey[key] = add(byKey[key], more)
	}
	return byKey
}
