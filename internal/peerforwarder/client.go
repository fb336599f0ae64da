package peerforwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/peerforwarder/peerforwarderpb"
	"github.com/endivemast/endivemast/internal/responselimiter"
)

// exchange is one request at a peer. It implements io.ReadCloser for the body of the answer.
type exchange struct {
	forwarder *Forwarder
	hostID    string
	conn      *conn
	passID    string
	requestID string
	stream    peerforwarderpb.PeerForward_ForwardClient
	cancel    context.CancelFunc
	parent    context.Context
	closeOnce sync.Once

	piece []byte // received and not read yet
	err   error  // of further reads

	mu      sync.Mutex
	outcome *dispatcher.PeerOutcome // nil: not known
}

// Forward implements dispatcher.PeerForwarder.
func (f *Forwarder) Forward(
	ctx context.Context, hostID string, request *dispatcher.PeerRequest,
) (answer dispatcher.PeerAnswer, err error) {
	c, err := f.acquire(hostID)
	if err != nil {
		return answer, fmt.Errorf("%w: %w", driver.ErrNotSent, err)
	}
	passID := f.addPass(request.AllowRun)
	x := &exchange{forwarder: f, hostID: hostID, conn: c, passID: passID, requestID: request.Request.ID, parent: ctx}
	streamCtx, cancel := context.WithCancel(ctx)
	x.cancel = cancel
	x.stream, err = peerforwarderpb.NewPeerForwardClient(c.ClientConn).Forward(streamCtx)
	if err != nil {
		x.close(outcomeNotSent)
		f.avoid(hostID, request.Origin.Application)
		return answer, fmt.Errorf("%w: peer %s: %w", driver.ErrNotSent, hostID, causeOf(ctx, err))
	}
	if err := x.send(request, f.headToMessage(request, passID)); err != nil {
		x.close(outcomeUnknown)
		return answer, fmt.Errorf("%w: peer %s: %w", driver.ErrOutcomeUnknown, hostID, causeOf(ctx, err))
	}
	answer, err = x.receiveHead(request.Origin.IsHeaderSent)
	if err != nil {
		if isUnsuitable(err) {
			f.avoid(hostID, request.Origin.Application)
		}
		x.close(outcomeOf(err))
	}
	return answer, err
}

// causeOf returns the cancellation cause of ctx if it has ended, and err otherwise.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// isUnsuitable reports whether the peer would not run other requests of the application either.
func isUnsuitable(err error) bool {
	var failed *dispatcher.PeerError
	if !errors.As(err, &failed) || failed.Outcome.Failure == nil {
		return errors.Is(err, driver.ErrNotSent)
	}
	reason := failed.Outcome.Failure.Reason
	return reason == dispatcher.ReasonPeerHasNoPath || reason == dispatcher.ReasonPeerDraining || reason == dispatcher.ReasonStaleConfiguration
}

func outcomeOf(err error) string {
	var failed *dispatcher.PeerError
	switch {
	case errors.As(err, &failed):
		return outcomeFailed
	case errors.Is(err, driver.ErrNotSent):
		return outcomeNotSent
	default:
		return outcomeUnknown
	}
}

// send sends the head and the body of the request. An error of the stream itself is returned by
// the next receive.
func (x *exchange) send(request *dispatcher.PeerRequest, head *peerforwarderpb.RequestHead) error {
	body := request.Request.Payload.Body
	message := &peerforwarderpb.ForwardRequest{Part: &peerforwarderpb.ForwardRequest_Head{Head: head}}
	for {
		if err := x.stream.Send(message); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if len(body) == 0 {
			return x.stream.CloseSend()
		}
		n := min(len(body), pieceBytes)
		message = &peerforwarderpb.ForwardRequest{Part: &peerforwarderpb.ForwardRequest_Body{Body: body[:n]}}
		body = body[n:]
	}
}

// receiveHead waits for the head of the answer. An answer that continues an earlier one has none.
func (x *exchange) receiveHead(isHeaderSent bool) (answer dispatcher.PeerAnswer, err error) {
	reply, err := x.stream.Recv()
	if isUnknownService(err) {
		return answer, fmt.Errorf("%w: peer %s: %w", driver.ErrNotSent, x.hostID, err)
	}
	if err != nil {
		return answer, x.broken(err)
	}
	answer = dispatcher.PeerAnswer{
		HostID: x.hostID, ForwardAnswer: driver.ForwardAnswer{Status: http.StatusOK, Length: -1, Body: x}, Outcome: x.knownOutcome,
	}
	switch part := reply.GetPart().(type) {
	case *peerforwarderpb.ForwardReply_Head:
		answer.Status, answer.Length = int(part.Head.GetStatus()), part.Head.GetLength()
		answer.Header, answer.SoftwareVersion = headersFromMessage(part.Head.GetHeaders()), part.Head.GetSoftwareVersion()
	case *peerforwarderpb.ForwardReply_Body:
		if !isHeaderSent {
			return answer, x.broken(errNoHead)
		}
		x.piece = part.Body
	case *peerforwarderpb.ForwardReply_Outcome:
		outcome := x.setOutcome(part.Outcome)
		if outcome.IsComplete && isHeaderSent {
			x.err = io.EOF
			return answer, nil
		}
		if outcome.IsComplete {
			return answer, x.broken(errNoHead)
		}
		return answer, &dispatcher.PeerError{HostID: x.hostID, Outcome: outcome}
	default:
		return answer, x.broken(errNoHead)
	}
	return answer, nil
}

var errNoHead = errors.New("peer sent no head of the answer")

// isUnknownService reports whether a peer has rejected a request before it read it: it does not know the service,
// or does not accept this host.
func isUnknownService(err error) bool {
	switch status.Code(err) {
	case codes.Unimplemented, codes.Unauthenticated, codes.PermissionDenied:
		return true
	default:
		return false
	}
}

// broken returns the error of a request whose outcome at the peer is not known.
func (x *exchange) broken(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // io.EOF is the end of a complete answer
	}
	err = responselimiter.PeerError(err)
	if limit, ok := responselimiter.ExceededLimit(err); ok {
		x.forwarder.cfg.Meter.CountExceededLimit(responselimiter.ClientPeer, string(limit))
	}
	return fmt.Errorf("%w: peer %s: %w", driver.ErrOutcomeUnknown, x.hostID, causeOf(x.parent, err))
}

func (x *exchange) setOutcome(message *peerforwarderpb.Outcome) dispatcher.PeerOutcome {
	outcome := outcomeFromMessage(x.requestID, message)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.outcome = &outcome
	return outcome
}

func (x *exchange) knownOutcome() (outcome dispatcher.PeerOutcome, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.outcome == nil {
		return outcome, false
	}
	return *x.outcome, true
}

// Read implements io.Reader. It returns io.EOF only after a complete answer.
func (x *exchange) Read(p []byte) (int, error) {
	for len(x.piece) == 0 {
		if x.err != nil {
			return 0, x.err
		}
		x.receive()
	}
	n := copy(p, x.piece)
	x.piece = x.piece[n:]
	return n, nil
}

// receive receives the next message.
func (x *exchange) receive() {
	reply, err := x.stream.Recv()
	if err != nil {
		x.err = x.broken(err)
		return
	}
	switch part := reply.GetPart().(type) {
	case *peerforwarderpb.ForwardReply_Body:
		x.piece = part.Body
	case *peerforwarderpb.ForwardReply_Outcome:
		outcome := x.setOutcome(part.Outcome)
		x.err = &dispatcher.PeerError{HostID: x.hostID, Outcome: outcome}
		if outcome.IsComplete {
			x.err = io.EOF
		}
	default:
		x.err = x.broken(errNoHead)
	}
}

// Close implements io.Closer. Before the end of the answer it cancels the request at the peer.
func (x *exchange) Close() error {
	outcome, ok := x.knownOutcome()
	switch {
	case !ok:
		x.close(outcomeUnknown)
	case outcome.IsComplete:
		x.close(outcomeComplete)
	default:
		x.close(outcomeFailed)
	}
	return nil
}

func (x *exchange) close(outcome string) {
	x.closeOnce.Do(func() {
		x.cancel()
		x.forwarder.release(x.conn)
		x.forwarder.removePass(x.passID)
		x.forwarder.cfg.Meter.CountPeerForward(false, outcome)
	})
}
