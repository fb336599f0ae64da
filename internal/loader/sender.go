package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/standins/answerer"
)

// answerKind is how one attempt of a caller ended.
type answerKind int

const (
	answerComplete   answerKind = iota
	answerNotRun                // the system reports that it was not and will not be run
	answerUnknown               // the system reports that it may have run
	answerFailed                // the system reports that it ran and failed
	answerNoOutcome             // no outcome was reported: the connection broke or the request timed out
	answerNotSent               // the entry host could not be reached
	answerWrong                 // not the expected text
	answerDuplicated            // a part of the answer was received twice
	answerAbandoned             // cancelled by the caller
)

// failureBody is the body with which the callers' API reports a failure.
type failureBody struct {
	RequestID    string `json:"request_id"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Detail       string `json:"detail"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// answer is the result of one attempt.
type answer struct {
	kind           answerKind
	failure        failureBody
	detail         string
	firstToken     time.Time
	lastToken      time.Time
	tokens         int
	tokenIntervals []float32 // milliseconds
}

// sender is a client of the callers' API.
type sender struct {
	client *http.Client
}

// post sends a JSON body as a caller of a tenant.
func (s *sender) post(ctx context.Context, address, path, tenant, key string, body any) (response *http.Response, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	// With GetBody the transport would retry a request after a reused connection
	// breaks. Only the caller may decide on retries.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+tenant)
	request.Header.Set("X-Tenant", tenant)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return s.client.Do(request)
}

type generateBody struct {
	Prompt          string `json:"prompt"`
	PrefixKey       string `json:"prefix_key,omitempty"`
	PrefixTokens    int    `json:"prefix_tokens,omitempty"`
	MaxOutputTokens int    `json:"max_output_tokens"`
}

// generate requests a generated answer without streaming.
func (s *sender) generate(ctx context.Context, address string, class *Class, body generateBody, want []string) answer {
	response, err := s.post(ctx, address, classPath(class, "generate"), class.Tenant, "", body)
	if err != nil {
		return fromTransport(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fromFailure(ctx, response)
	}
	var got struct {
		Text string `json:"text"`
	}
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		return fromTransport(ctx, err)
	}
	now := time.Now()
	result := answer{firstToken: now, lastToken: now, tokens: len(want)}
	return result.checkText(got.Text, strings.Join(want, ""))
}

// checkText compares a complete text with the expected one.
func (a answer) checkText(got, want string) answer {
	if got != want {
		a.kind, a.detail = answerWrong, "got "+truncate(got)+", want "+truncate(want)
	}
	return a
}

// call calls a plain service.
func (s *sender) call(ctx context.Context, address string, class *Class, key string, body json.RawMessage) answer {
	request := struct {
		Operation string          `json:"operation"`
		Body      json.RawMessage `json:"body"`
	}{class.Operation, body}
	response, err := s.post(ctx, address, classPath(class, "call"), class.Tenant, key, request)
	if err != nil {
		return fromTransport(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fromFailure(ctx, response)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return fromTransport(ctx, err)
	}
	now := time.Now()
	want := answerer.ServiceAnswer(class.Application, class.Operation, body)
	return checkCall(answer{firstToken: now, lastToken: now}, data, want)
}

// checkCall compares a call's answer with the expected one.
func checkCall(a answer, data, want []byte) answer {
	var got struct {
		Body       json.RawMessage `json:"body"`
		BodyBase64 []byte          `json:"body_base64"`
	}
	if err := json.Unmarshal(data, &got); err != nil {
		a.kind, a.detail = answerWrong, "malformed answer "+truncate(string(data))
		return a
	}
	if got.BodyBase64 != nil {
		return a.checkText(string(got.BodyBase64), string(want))
	}
	return a.checkText(string(got.Body), string(want))
}

// ticket requests an idempotency key from the system.
func (s *sender) ticket(ctx context.Context, address, tenant string) (ticket string, failed answer, err error) {
	response, err := s.post(ctx, address, "/v1/tickets", tenant, "", struct{}{})
	if err != nil {
		return "", fromTransport(ctx, err), err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return "", fromFailure(ctx, response), eris.Errorf("request for a ticket failed with status %d", response.StatusCode)
	}
	var got struct {
		Ticket string `json:"ticket"`
	}
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		return "", fromTransport(ctx, err), err
	}
	return got.Ticket, answer{}, nil
}

func classPath(class *Class, verb string) string {
	return "/v1/classes/" + class.Name + "/" + verb
}

// fromTransport classifies a transport error: abandoned by the caller, host not
// reached, or no outcome known.
func fromTransport(ctx context.Context, err error) answer {
	var opError *net.OpError
	switch {
	case errors.Is(context.Cause(ctx), errAbandoned):
		return answer{kind: answerAbandoned}
	case errors.As(err, &opError) && opError.Op == "dial", errors.Is(err, syscall.ECONNREFUSED):
		return answer{kind: answerNotSent, detail: err.Error()}
	}
	return answer{kind: answerNoOutcome, detail: err.Error()}
}

// fromFailure reads a failure response. One without an outcome gives
// answerNoOutcome.
func fromFailure(ctx context.Context, response *http.Response) answer {
	data, err := io.ReadAll(io.LimitReader(response.Body, 1<<16))
	if err != nil {
		return fromTransport(ctx, err)
	}
	var failure failureBody
	if err := json.Unmarshal(data, &failure); err != nil {
		return answer{kind: answerNoOutcome, detail: response.Status + ": " + truncate(string(data))}
	}
	return fromFailureBody(failure, response.Status)
}

func fromFailureBody(failure failureBody, status string) answer {
	result := answer{failure: failure, detail: status + ": " + failure.Reason + ": " + failure.Detail}
	switch failure.Outcome {
	case "not_run":
		result.kind = answerNotRun
	case "unknown":
		result.kind = answerUnknown
	case "failed":
		result.kind = answerFailed
	default:
		result.kind = answerNoOutcome
	}
	return result
}

// serverEvent is one server-sent event.
type serverEvent struct {
	name string
	data []byte
}

// readEvent reads the next server-sent event with data.
func readEvent(reader *bufio.Reader) (event serverEvent, err error) {
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return serverEvent{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "event":
			event.name = string(value)
		case "data":
			event.data = append(event.data, value...)
		case "":
			if len(line) == 0 && event.data != nil {
				return event, nil
			}
		}
	}
}

func truncate(text string) string {
	const maxBytes = 80
	if len(text) > maxBytes {
		return text[:maxBytes] + "..."
	}
	return text
}
