package peerforwarder

import (
	"context"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/responselimiter"
)

// TestTooLongMessage guards against an exceeded limit that is neither named nor counted, and against a
// request that counts as not run because of it.
func TestTooLongMessage(t *testing.T) {
	t.Parallel()
	p := newPair(t, func(_ context.Context, _ dispatcher.OpaqueRequest, w dispatcher.AnswerWriter) (o dispatcher.PeerOutcome, err error) {
		return o, w.WriteHeader(dispatcher.AnswerHead{Status: 200, SoftwareVersion: "a version of more than 16 bytes"})
	})
	newConn := p.sender.cfg.NewConn
	p.sender.cfg.NewConn = func(hostID string, options ...grpc.DialOption) (*grpc.ClientConn, error) {
		options = append(options, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(16)))
		return newConn(hostID, options...)
	}
	_, err := p.forward(t.Context(), newRequest())
	assert.ErrorIs(t, err, driver.ErrOutcomeUnknown)
	limit, _ := responselimiter.ExceededLimit(err)
	assert.Equal(t, limit, responselimiter.MessageBytes, "%v", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, p.counts["peer message_bytes"], 1)
}
