package server

import (
	"context"
	"encoding/json"
	"time"

	"goa.design/goa/v3/security"

	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/server/gen/caller"
)

// Kinds of caller.StreamEvent.
const (
	eventToken   = "token"
	eventEnd     = "end"
	eventFailure = "failure"
)

// callerService implements the callers' API.
type callerService struct{ server *Server }

var (
	_ caller.Service = (*callerService)(nil)
	_ caller.Auther  = (*callerService)(nil) //nolint:misspell // the name is goa's
)

// JWTAuth accepts requests that requireRole has accepted. goa uses this name for any bearer
// token.
func (*callerService) JWTAuth(ctx context.Context, _ string, _ *security.JWTScheme) (context.Context, error) {
	return ctx, requireIdentity(ctx)
}

// requireIdentity returns an error if no API key was checked.
func requireIdentity(ctx context.Context) error {
	if _, ok := identityFrom(ctx); !ok {
		return errNotAuthenticated
	}
	return nil
}

// Generate generates text and returns when it is complete.
func (s *callerService) Generate(ctx context.Context, p *caller.GeneratePayload) (*caller.GenerateResult, error) {
	req := newGenerateRequest(ctx, p)
	answer, err := s.server.deps.Dispatcher.Generate(ctx, req, func(driver.Token) error { return ctx.Err() })
	if err != nil {
		return nil, s.failure(req.RequestID, err)
	}
	return &caller.GenerateResult{
		RequestID:    req.RequestID,
		Text:         answer.Text,
		OutputTokens: answer.OutputTokens,
		PromptTokens: answer.PromptTokens,
		ReusedTokens: answer.ReusedTokens,
		Attempts:     answer.Attempts,
		FirstTokenMs: inMilliseconds(answer.FirstToken),
		CompletionMs: inMilliseconds(answer.Completion),
	}, nil
}

// Stream generates text and sends each token as soon as it is available.
func (s *callerService) Stream(ctx context.Context, p *caller.GeneratePayload, stream caller.StreamServerStream) error {
	req := newGenerateRequest(ctx, p)
	started := false
	answer, err := s.server.deps.Dispatcher.Generate(ctx, req, func(token driver.Token) error {
		started = true
		if err := stream.SendWithContext(ctx, newTokenEvent(token)); err != nil {
			return err
		}
		return ctx.Err() // deadlineWriter cancels ctx when a write fails
	})
	switch {
	case err == nil:
		return stream.SendWithContext(ctx, newEndEvent(req.RequestID, answer))
	case !started:
		return s.failure(req.RequestID, err) // the status line has not been sent
	default:
		return stream.SendWithContext(ctx, newFailureEvent(s.failure(req.RequestID, err)))
	}
}

// Call runs a call of a plain service.
func (s *callerService) Call(ctx context.Context, p *caller.CallPayload) (*caller.CallResult, error) {
	id, _ := identityFrom(ctx)
	req := dispatcher.Request{
		RequestID:      requestIDFrom(ctx),
		Tenant:         id.tenant,
		Class:          p.Class,
		IdempotencyKey: valueOf(p.IdempotencyKey),
		Operation:      p.Operation,
		Body:           p.Body,
	}
	answer, err := s.server.deps.Dispatcher.Call(ctx, req)
	if err != nil {
		return nil, s.failure(req.RequestID, err)
	}
	result := &caller.CallResult{
		RequestID:    req.RequestID,
		Attempts:     answer.Attempts,
		CompletionMs: inMilliseconds(answer.Completion),
	}
	if json.Valid(answer.Body) {
		result.Body = answer.Body
	} else {
		result.BodyBase64 = answer.Body
	}
	return result, nil
}

// Ticket issues a ticket for one call.
func (s *callerService) Ticket(ctx context.Context, _ *caller.TicketPayload) (*caller.TicketResult, error) {
	id, _ := identityFrom(ctx)
	requestID := requestIDFrom(ctx)
	ticket, err := s.server.deps.Tickets.Issue(ctx, id.tenant)
	if err != nil {
		return nil, s.failure(requestID, err)
	}
	return &caller.TicketResult{RequestID: requestID, Ticket: ticket}, nil
}

// failure converts an error into a failure of the callers' API, and logs internal errors.
func (s *callerService) failure(requestID string, err error) *caller.Failure {
	failure := callerFailure(requestID, err)
	if failure.Reason == reasonInternal {
		s.server.log.Error("request failed with an unclassified error", "request_id", requestID, "error", err)
	}
	return failure
}

// newGenerateRequest converts the payload into a request to the dispatcher.
func newGenerateRequest(ctx context.Context, p *caller.GeneratePayload) dispatcher.Request {
	id, _ := identityFrom(ctx)
	return dispatcher.Request{
		RequestID:       requestIDFrom(ctx),
		Tenant:          id.tenant,
		Class:           p.Class,
		Prompt:          p.Prompt,
		PrefixKey:       valueOf(p.PrefixKey),
		PrefixTokens:    valueOf(p.PrefixTokens),
		MaxOutputTokens: p.MaxOutputTokens,
	}
}

// newTokenEvent returns the event for a token.
func newTokenEvent(token driver.Token) *caller.StreamEvent {
	return &caller.StreamEvent{
		Event: eventToken,
		Data:  &caller.StreamData{Sequence: &token.Sequence, Text: &token.Text},
	}
}

// newEndEvent returns the event for the end of a complete answer.
func newEndEvent(requestID string, answer dispatcher.Answer) *caller.StreamEvent {
	firstToken, completion := inMilliseconds(answer.FirstToken), inMilliseconds(answer.Completion)
	return &caller.StreamEvent{
		Event: eventEnd,
		Data: &caller.StreamData{
			RequestID:    &requestID,
			OutputTokens: &answer.OutputTokens,
			PromptTokens: &answer.PromptTokens,
			ReusedTokens: &answer.ReusedTokens,
			Attempts:     &answer.Attempts,
			FirstTokenMs: &firstToken,
			CompletionMs: &completion,
		},
	}
}

// newFailureEvent returns the event for an answer that can't be completed.
func newFailureEvent(f *caller.Failure) *caller.StreamEvent {
	return &caller.StreamEvent{
		Event: eventFailure,
		Data: &caller.StreamData{
			RequestID:    &f.RequestID,
			Outcome:      &f.Outcome,
			Reason:       &f.Reason,
			Detail:       &f.Detail,
			RetryAfterMs: &f.RetryAfterMs,
		},
	}
}

// inMilliseconds converts a duration to milliseconds.
func inMilliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
