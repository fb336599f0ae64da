package peerforwarder

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/peerforwarder/peerforwarderpb"
)

var (
	errNoRequest   = errors.New("first message is not the head of a request")
	errBodyTooLong = errors.New("body is longer than announced")
)

// requestStream carries one request of a peer, and its answer back.
type requestStream = grpc.BidiStreamingServer[peerforwarderpb.ForwardRequest, peerforwarderpb.ForwardReply]

// service implements peerforwarderpb.PeerForwardServer.
type service struct {
	peerforwarderpb.UnimplementedPeerForwardServer

	forwarder *Forwarder
}

// Forward runs a request of a peer.
func (s *service) Forward(stream requestStream) error { return s.forwarder.receive(stream) }

// RequestRun answers a peer that asks for another run of a request that this host has passed to it.
func (s *service) RequestRun(_ context.Context, request *peerforwarderpb.RunRequest) (*peerforwarderpb.RunReply, error) {
	return &peerforwarderpb.RunReply{IsAllowed: s.forwarder.allowRun(request.GetPassId())}, nil
}

func (f *Forwarder) receive(stream requestStream) error {
	arrived := time.Now()
	active := f.active.Add(1)
	defer f.active.Add(-1)
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	head := first.GetHead()
	if head == nil {
		return errNoRequest
	}
	f.recordSender(head.GetFromHost(), head.GetApplication(), arrived)
	outcome := f.returnUnrun(head, active)
	if outcome == nil {
		outcome = f.reserveAndRun(stream, head, arrived)
	}
	f.cfg.Meter.CountPeerForward(true, meterOutcome(outcome))
	return stream.Send(&peerforwarderpb.ForwardReply{Part: &peerforwarderpb.ForwardReply_Outcome{Outcome: outcomeToMessage(outcome)}})
}

// reserveAndRun runs a request if there is memory for its body.
func (f *Forwarder) reserveAndRun(
	stream requestStream, head *peerforwarderpb.RequestHead, arrived time.Time,
) *dispatcher.PeerOutcome {
	if f.cfg.Reserve == nil {
		return f.run(stream, head, arrived)
	}
	release, err := f.cfg.Reserve(stream.Context(), max(head.GetBodyBytes(), 0))
	if err != nil {
		return f.returned(head, dispatcher.ReasonPeerBusy)
	}
	defer release()
	return f.run(stream, head, arrived)
}

func meterOutcome(outcome *dispatcher.PeerOutcome) string {
	switch {
	case outcome.IsComplete:
		return outcomeComplete
	case outcome.Failure != nil && outcome.Failure.Outcome == dispatcher.OutcomeNotRun:
		return string(dispatcher.OutcomeNotRun)
	default:
		return outcomeFailed
	}
}

// returnUnrun returns the outcome of a request that this host does not run, and nil for one that
// it runs.
func (f *Forwarder) returnUnrun(head *peerforwarderpb.RequestHead, active int64) *dispatcher.PeerOutcome {
	reason := ""
	switch {
	case f.cfg.IsDraining():
		reason = dispatcher.ReasonPeerDraining
	case active > maxActive:
		reason = dispatcher.ReasonPeerBusy
	case f.cfg.ConfigurationVersion() < head.GetConfigurationVersion():
		reason = dispatcher.ReasonStaleConfiguration
	case f.cfg.Share(head.GetApplication()) == 0:
		reason = dispatcher.ReasonPeerHasNoPath
	default:
		return nil
	}
	return f.returned(head, reason)
}

// returned logs that a request is not run here, and returns its outcome.
func (f *Forwarder) returned(head *peerforwarderpb.RequestHead, reason string) *dispatcher.PeerOutcome {
	f.cfg.Logger.Info("request of a peer returned", "request_id", dispatcher.LoggedID(head.GetRequestId()), "from_host", head.GetFromHost(),
		"application", head.GetApplication(), "reason", reason, "active", f.active.Load())
	return notRun(head, reason)
}

// returnedRetryAfter is the RetryAfter of a request that a peer returned. Other hosts may run it.
const returnedRetryAfter = 100 * time.Millisecond

// notRun is the outcome of a request that this host has sent to no endpoint.
func notRun(head *peerforwarderpb.RequestHead, reason string) *dispatcher.PeerOutcome {
	return &dispatcher.PeerOutcome{Runs: int(head.GetRuns()), Failure: &dispatcher.FailureError{
		RequestID: head.GetRequestId(), Outcome: dispatcher.OutcomeNotRun, Reason: reason, Detail: "returned by a peer",
		RetryAfter: returnedRetryAfter,
	}}
}

func (f *Forwarder) run(
	stream requestStream, head *peerforwarderpb.RequestHead, arrived time.Time,
) *dispatcher.PeerOutcome {
	body, err := readBody(stream, head.GetBodyBytes())
	if err != nil {
		return notRun(head, dispatcher.ReasonMalformedForward)
	}
	request := requestFromMessage(head, body, arrived)
	path, _, _ := strings.Cut(request.Payload.Path, "?")
	class, err := f.cfg.Classify(request.ID, request.Payload.Host, path)
	if err != nil {
		// The caller's host knows a class that this host's newer configuration lacks.
		return notRun(head, dispatcher.ReasonStaleConfiguration)
	}
	request.Class = class
	if passID := head.GetPassId(); passID != "" {
		request.Origin.RequestRun = func(ctx context.Context) error { return f.requestRun(ctx, head.GetFromHost(), passID) }
	}
	writer := &streamWriter{stream: stream}
	outcome, _ := f.cfg.Run(stream.Context(), request, writer) // the outcome contains the error
	return &outcome
}

func readBody(stream requestStream, length int64) (body []byte, err error) {
	for {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		body = append(body, message.GetBody()...)
		if int64(len(body)) > length {
			return nil, errBodyTooLong
		}
	}
	if int64(len(body)) < length {
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// streamWriter sends an answer to the peer. It implements dispatcher.AnswerWriter.
type streamWriter struct {
	stream requestStream
}

// WriteHeader implements dispatcher.AnswerWriter.
func (w *streamWriter) WriteHeader(head dispatcher.AnswerHead) error {
	return w.stream.Send(&peerforwarderpb.ForwardReply{Part: &peerforwarderpb.ForwardReply_Head{Head: &peerforwarderpb.AnswerHead{
		Status: int64(head.Status), Headers: headersToMessage(head.Header), Length: head.Length, SoftwareVersion: head.SoftwareVersion,
	}}})
}

// Write implements dispatcher.AnswerWriter.
func (w *streamWriter) Write(p []byte) error {
	for len(p) > 0 {
		n := min(len(p), pieceBytes)
		if err := w.stream.Send(&peerforwarderpb.ForwardReply{Part: &peerforwarderpb.ForwardReply_Body{Body: p[:n]}}); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}
