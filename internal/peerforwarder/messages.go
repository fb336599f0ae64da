package peerforwarder

import (
	"net/http"
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/peerforwarder/peerforwarderpb"
	"github.com/endivemast/endivemast/internal/scheduler"
)

// This file converts requests and answers to messages and back.

const (
	// maxAge bounds the age of a request.
	maxAge = time.Hour
	// deadlineMargin is how much earlier a request's time ends at the peer, so that the peer can
	// still say what it has done with the request.
	deadlineMargin = 10 * time.Millisecond
)

func (f *Forwarder) headToMessage(r *dispatcher.PeerRequest, passID string) *peerforwarderpb.RequestHead {
	request, prompt := r.Request, &r.Request.Prompt
	head := &peerforwarderpb.RequestHead{
		RequestId: request.ID, CallerAddress: request.CallerAddress, Tenant: request.Tenant,
		Method: request.Payload.Method, Path: request.Payload.Path, Host: request.Payload.Host,
		Headers: headersToMessage(request.Payload.Header), BodyBytes: int64(len(request.Payload.Body)),
		AgeUs: (time.Since(request.Arrived) + deadlineMargin).Microseconds(), CallerTimeoutUs: request.CallerTimeout.Microseconds(),
		ResumeAfter: r.ResumeAfter, Application: r.Origin.Application, ConfigurationVersion: f.cfg.ConfigurationVersion(),
		Runs: int64(r.Origin.Runs), Events: int64(r.Origin.Events), IsHeaderSent: r.Origin.IsHeaderSent, FromHost: f.cfg.HostID,
		SoftwareVersion: r.Origin.SoftwareVersion, PassId: passID,
		Prompt: &peerforwarderpb.Prompt{
			Tokens: int64(prompt.Tokens), MaxOutputTokens: int64(prompt.MaxOutputTokens), PrefixKey: prompt.PrefixKey,
			PrefixTokens: int64(prompt.PrefixTokens),
		},
	}
	for _, part := range prompt.PrefixParts {
		head.Prompt.PrefixParts = append(head.Prompt.PrefixParts, &peerforwarderpb.PromptPart{Id: part.ID, Tokens: int64(part.Tokens)})
	}
	return head
}

func requestFromMessage(head *peerforwarderpb.RequestHead, body []byte, arrived time.Time) dispatcher.OpaqueRequest {
	age := min(max(time.Duration(head.GetAgeUs())*time.Microsecond, 0), maxAge)
	prompt := head.GetPrompt()
	request := dispatcher.OpaqueRequest{
		ID: head.GetRequestId(), CallerAddress: head.GetCallerAddress(), Tenant: head.GetTenant(), Arrived: arrived.Add(-age),
		CallerTimeout: max(time.Duration(head.GetCallerTimeoutUs())*time.Microsecond, 0), ResumeAfter: head.GetResumeAfter(),
		Payload: driver.Payload{
			Method: head.GetMethod(), Path: head.GetPath(), Host: head.GetHost(), Header: headersFromMessage(head.GetHeaders()), Body: body,
		},
		Prompt: dispatcher.Prompt{
			Tokens: int(prompt.GetTokens()), MaxOutputTokens: int(prompt.GetMaxOutputTokens()), PrefixKey: prompt.GetPrefixKey(),
			PrefixTokens: int(prompt.GetPrefixTokens()),
		},
		Origin: &dispatcher.Origin{
			HostID: head.GetFromHost(), Application: head.GetApplication(), Runs: int(max(head.GetRuns(), 0)),
			Events: int(max(head.GetEvents(), 0)), IsHeaderSent: head.GetIsHeaderSent(),
			SoftwareVersion: head.GetSoftwareVersion(),
		},
	}
	for _, part := range prompt.GetPrefixParts() {
		request.Prompt.PrefixParts = append(request.Prompt.PrefixParts, scheduler.Part{ID: part.GetId(), Tokens: int(part.GetTokens())})
	}
	return request
}

func headersToMessage(header http.Header) (messages []*peerforwarderpb.Header) {
	for name, values := range header {
		messages = append(messages, &peerforwarderpb.Header{Name: name, Values: values})
	}
	slices.SortFunc(messages, func(a, b *peerforwarderpb.Header) int {
		if a.GetName() < b.GetName() {
			return -1
		}
		return 1
	})
	return messages
}

func headersFromMessage(messages []*peerforwarderpb.Header) http.Header {
	header := make(http.Header, len(messages))
	for _, message := range messages {
		header[message.GetName()] = message.GetValues()
	}
	return header
}

func outcomeToMessage(outcome *dispatcher.PeerOutcome) *peerforwarderpb.Outcome {
	message := &peerforwarderpb.Outcome{
		IsComplete: outcome.IsComplete, IsPartial: outcome.IsPartial, Sends: int64(outcome.Sends), Runs: int64(outcome.Runs),
		EndpointId: outcome.EndpointID,
	}
	if failure := outcome.Failure; failure != nil {
		message.Failure, message.Reason, message.Detail = string(failure.Outcome), failure.Reason, failure.Detail
		message.RetryAfterUs = failure.RetryAfter.Microseconds()
	}
	return message
}

func outcomeFromMessage(requestID string, message *peerforwarderpb.Outcome) dispatcher.PeerOutcome {
	outcome := dispatcher.PeerOutcome{
		IsComplete: message.GetIsComplete(), IsPartial: message.GetIsPartial(), Sends: int(max(message.GetSends(), 0)),
		Runs: int(max(message.GetRuns(), 0)), EndpointID: message.GetEndpointId(),
	}
	if message.GetFailure() == "" {
		return outcome
	}
	outcome.Failure = &dispatcher.FailureError{
		RequestID: requestID, Outcome: dispatcher.OutcomeUnknown, Reason: message.GetReason(), Detail: message.GetDetail(),
		RetryAfter: max(time.Duration(message.GetRetryAfterUs())*time.Microsecond, 0),
	}
	if known := dispatcher.Outcome(message.GetFailure()); known == dispatcher.OutcomeNotRun || known == dispatcher.OutcomeFailed {
		outcome.Failure.Outcome = known
	}
	return outcome
}
