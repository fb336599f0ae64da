package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

type applicationBody struct {
	Model              string `json:"model"`
	Version            string `json:"version"`
	Adapter            string `json:"adapter"`
	RoleChangesPerHour int    `json:"role_changes_per_hour"`
}

type classBody struct {
	Kind                  string `json:"kind"`
	Application           string `json:"application"`
	Repeatable            bool   `json:"repeatable"`
	FirstTokenTargetMS    int64  `json:"first_token_target_ms"`
	BetweenTokensTargetMS int64  `json:"between_tokens_target_ms"`
	CompletionTargetMS    int64  `json:"completion_target_ms"`
}

// Configure writes a scenario's applications and classes through the
// operators' API of the first entry host, and waits until they are in force on
// all hosts. Weights are not written.
func Configure(ctx context.Context, operators []string, token string, scenario *Scenario) (err error) {
	defer func() { err = eris.Wrap(err, "configure") }()
	base := "http://" + operators[0] + "/v1/operator"
	var latestRevision int64
	for _, application := range scenario.Applications {
		body := applicationBody{
			Model: application.Model, Version: application.Version, Adapter: application.Adapter,
			RoleChangesPerHour: application.RoleChangesPerHour,
		}
		if latestRevision, err = putJSON(ctx, base+"/applications/"+url.PathEscape(application.Name), token, body); err != nil {
			return err
		}
	}
	for _, class := range scenario.Classes {
		path := "/classes/" + url.PathEscape(class.Tenant) + "/" + url.PathEscape(class.Name)
		if latestRevision, err = putJSON(ctx, base+path, token, targetsOf(&class)); err != nil {
			return err
		}
	}
	for _, operator := range operators {
		if err := awaitRevision(ctx, operator, token, latestRevision); err != nil {
			return err
		}
	}
	return nil
}

// awaitRevision waits until a configuration revision or a later one is in force
// on a host.
func awaitRevision(ctx context.Context, operator, token string, revision int64) (err error) {
	defer func() { err = eris.Wrapf(err, "revision %d on %s", revision, operator) }()
	ctx, cancel := context.WithTimeout(ctx, configureTimeout)
	defer cancel()
	for {
		var status struct {
			ConfigRevision int64 `json:"config_revision"`
		}
		err := getJSON(ctx, http.DefaultClient, "http://"+operator+"/v1/operator/status", token, &status)
		if err == nil && status.ConfigRevision >= revision {
			return nil
		}
		if !waitUntil(ctx, time.Now().Add(configurePoll)) {
			return eris.Errorf("timed out with revision %d in force (last status error: %v)", status.ConfigRevision, err)
		}
	}
}

func targetsOf(class *Class) classBody {
	return classBody{
		Kind: class.Kind, Application: class.Application, Repeatable: class.Repeatable,
		FirstTokenTargetMS:    class.FirstTokenTarget.Milliseconds(),
		BetweenTokensTargetMS: class.BetweenTokensTarget.Milliseconds(),
		CompletionTargetMS:    class.CompletionTarget.Milliseconds(),
	}
}

const (
	configureTimeout = 15 * time.Second
	configurePoll    = 200 * time.Millisecond
)

// errNotWritten is returned when a host can't write at the moment, or the
// outcome of its write is unknown.
var errNotWritten = errors.New("write unavailable or its outcome unknown")

// putJSON writes a document, and retries while the host can't reach its store.
// Retries are safe because each write replaces the complete document. It
// returns the configuration revision at which the document was accepted.
func putJSON(ctx context.Context, url, token string, body any) (revision int64, err error) {
	defer func() { err = eris.Wrapf(err, "put %s", url) }()
	ctx, cancel := context.WithTimeout(ctx, configureTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	for {
		revision, err = putOnce(ctx, url, token, data)
		if !errors.Is(err, errNotWritten) || !waitUntil(ctx, time.Now().Add(configurePoll)) {
			return revision, err
		}
	}
}

func putOnce(ctx context.Context, url, token string, data []byte) (revision int64, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode/100 == 2 {
		var accepted struct {
			Revision int64 `json:"revision"`
		}
		return accepted.Revision, json.NewDecoder(response.Body).Decode(&accepted)
	}
	detail, _ := io.ReadAll(io.LimitReader(response.Body, 1<<12))
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return 0, eris.Wrapf(errNotWritten, "status %s: %s", response.Status, detail)
	}
	return 0, eris.Errorf("status %s: %s", response.Status, detail)
}
