package peerforwarder

import (
	"errors"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/peerforwarder/peerforwarderpb"
)

// replyStream receives empty replies.
type replyStream struct {
	peerforwarderpb.PeerForward_ForwardClient
}

func (replyStream) Recv() (*peerforwarderpb.ForwardReply, error) {
	return &peerforwarderpb.ForwardReply{}, nil
}

// brokenStream receives a head, and then an error.
type brokenStream struct {
	peerforwarderpb.PeerForward_ForwardClient

	received int
}

func (s *brokenStream) Recv() (*peerforwarderpb.ForwardReply, error) {
	if s.received++; s.received > 1 {
		return nil, status.Error(codes.PermissionDenied, "credentials have expired")
	}
	return &peerforwarderpb.ForwardReply{Part: &peerforwarderpb.ForwardReply_Head{Head: &peerforwarderpb.AnswerHead{Status: 200, Length: -1}}}, nil
}

// TestErrorAfterAReplyIsNoRejection guards against a request that is passed to a second peer while the first runs it.
func TestErrorAfterAReplyIsNoRejection(t *testing.T) {
	t.Parallel()
	x := &exchange{hostID: "h2", parent: t.Context(), stream: &brokenStream{}}
	answer, err := x.receiveHead(false)
	assert.NilError(t, err)
	_, err = answer.Body.Read(make([]byte, 1))
	assert.Equal(t, driver.RunStateOf(err), driver.RunPossible)
	assert.Assert(t, !errors.Is(err, driver.ErrNotSent), "%v", err)
}

// TestReplyWithoutKnownPart guards against a reply of a kind that this build does not know that is taken for
// the head of an answer with status 200.
func TestReplyWithoutKnownPart(t *testing.T) {
	t.Parallel()
	x := &exchange{hostID: "h2", parent: t.Context(), stream: replyStream{}}
	_, err := x.receiveHead(false)
	assert.ErrorIs(t, err, driver.ErrOutcomeUnknown)
}
