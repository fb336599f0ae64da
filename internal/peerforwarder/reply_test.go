package peerforwarder

import (
	"testing"

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

// TestReplyWithoutKnownPart guards against a reply of a kind that this build does not know that is taken for
// the head of an answer with status 200.
func TestReplyWithoutKnownPart(t *testing.T) {
	t.Parallel()
	x := &exchange{hostID: "h2", parent: t.Context(), stream: replyStream{}}
	_, err := x.receiveHead(false)
	assert.ErrorIs(t, err, driver.ErrOutcomeUnknown)
}
