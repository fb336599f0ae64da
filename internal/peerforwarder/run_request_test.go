package peerforwarder

import (
	"context"
	"net"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/dispatcher"
)

func TestReceiverAsksSenderBeforeFurtherRuns(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		isAllowed   bool
		senderEnded bool // the sender does not answer any more
		wantErr     error
		wantCode    codes.Code
	}{
		"allowed":      {isAllowed: true},
		"not allowed":  {wantErr: errRunNotAllowed},
		"sender ended": {isAllowed: true, senderEnded: true, wantCode: codes.Unavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			asked := make(chan error, 1)
			var later func(ctx context.Context) error
			p := newPair(t, func(ctx context.Context, request dispatcher.OpaqueRequest, w dispatcher.AnswerWriter) (dispatcher.PeerOutcome, error) {
				later = request.Origin.RequestRun
				asked <- later(ctx)
				return dispatcher.PeerOutcome{IsComplete: true, Runs: 1}, w.WriteHeader(dispatcher.AnswerHead{Status: 200})
			})
			stop := serveSender(t, p)
			if test.senderEnded {
				stop()
			}
			request := newRequest()
			request.AllowRun = func() bool { return test.isAllowed }
			answer, err := p.forward(t.Context(), request)
			assert.NilError(t, err)
			err = <-asked
			switch {
			case test.senderEnded:
				assert.Equal(t, status.Code(err), test.wantCode, "%v", err)
			case test.wantErr != nil:
				assert.ErrorIs(t, err, test.wantErr)
			default:
				assert.NilError(t, err)
			}
			assert.NilError(t, answer.Body.Close())
			assert.Check(t, later(t.Context()) != nil, "a run was allowed after the end of the request")
		})
	}
}

// serveSender lets the receiver of a pair reach its sender. The returned function ends that.
func serveSender(t *testing.T, p *pair) (stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	p.sender.Register(server)
	p.receiver.cfg.NewConn = func(_ string, options ...grpc.DialOption) (*grpc.ClientConn, error) {
		return grpc.NewClient(listener.Addr().String(), append(options, grpc.WithTransportCredentials(insecure.NewCredentials()))...)
	}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	stop = sync.OnceFunc(func() {
		server.Stop()
		_ = group.Wait() // fails if it is stopped before it serves
		_ = listener.Close()
	})
	t.Cleanup(func() {
		assert.Check(t, p.receiver.Close())
		stop()
	})
	return stop
}

// A host that was started again knows nothing of the requests that it passed on before.
func TestUnknownPassIsNotAllowed(t *testing.T) {
	t.Parallel()
	f := New(Config{})
	id := f.addPass(func() bool { return true })
	assert.Check(t, f.allowRun(id))
	f.removePass(id)
	assert.Check(t, !f.allowRun(id))
	assert.NilError(t, f.Close())
}
