package peerforwarder

import (
	"errors"
	"io"
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

// endingStream receives replies, and then the end of a call that the peer has ended without an error.
type endingStream struct {
	peerforwarderpb.PeerForward_ForwardClient

	replies []*peerforwarderpb.ForwardReply
}

func (s *endingStream) Recv() (*peerforwarderpb.ForwardReply, error) {
	if len(s.replies) == 0 {
		return nil, io.EOF
	}
	reply := s.replies[0]
	s.replies = s.replies[1:]
	return reply, nil
}

// TestPeerThatEndsWithoutAnOutcome guards against the end of a peer's stream that is taken for the end of a complete answer.
func TestPeerThatEndsWithoutAnOutcome(t *testing.T) {
	t.Parallel()
	head := &peerforwarderpb.ForwardReply{Part: &peerforwarderpb.ForwardReply_Head{Head: &peerforwarderpb.AnswerHead{Status: 200, Length: -1}}}
	body := &peerforwarderpb.ForwardReply{Part: &peerforwarderpb.ForwardReply_Body{Body: []byte("id: 1\n\n")}}
	for name, test := range map[string]struct {
		replies      []*peerforwarderpb.ForwardReply
		isHeaderSent bool // the answer continues an earlier one
	}{
		"before the head":      {},
		"after the head":       {replies: []*peerforwarderpb.ForwardReply{head}},
		"after an event":       {replies: []*peerforwarderpb.ForwardReply{head, body}},
		"before the next part": {isHeaderSent: true},
		"after the next part":  {isHeaderSent: true, replies: []*peerforwarderpb.ForwardReply{body}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := &exchange{hostID: "h2", parent: t.Context(), stream: &endingStream{replies: test.replies}}
			answer, err := x.receiveHead(test.isHeaderSent)
			for err == nil {
				_, err = answer.Body.Read(make([]byte, 64))
			}
			assert.ErrorIs(t, err, driver.ErrOutcomeUnknown)
			assert.Assert(t, !errors.Is(err, io.EOF), "%v", err)
		})
	}
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
