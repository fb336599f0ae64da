package exchanger

import (
	"context"
	"errors"
	"io"

	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// updateStream is the stream of updates to one peer. It is opened once and kept open, because
// a call for each update costs several times as much processor time on both sides.
type updateStream struct {
	client exchangerpb.ExchangeClient
	stream grpc.BidiStreamingClient[exchangerpb.PeerUpdate, exchangerpb.PeerAck] // nil: not open
	cancel context.CancelFunc
	timer  *timekeeper.Timer // cancels a stream whose reply is overdue
}

func newUpdateStream(client exchangerpb.ExchangeClient) *updateStream {
	return &updateStream{client: client}
}

// exchange sends an update and waits for the reply. After a failure the next update opens a
// new stream.
func (s *updateStream) exchange(ctx context.Context, update *exchangerpb.PeerUpdate) (reply *exchangerpb.PeerAck, err error) {
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	if s.stream == nil {
		ctx, s.cancel = context.WithCancel(ctx)
		s.timer = timekeeper.AfterFunc(updateTimeout, s.cancel)
		if s.stream, err = s.client.Publish(ctx); err != nil {
			return nil, err
		}
	}
	s.timer.Reset(updateTimeout)
	defer s.timer.Stop()
	if err := s.stream.Send(update); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return s.stream.Recv() // the error also says why the stream ended
}

func (s *updateStream) close() {
	if s.cancel != nil {
		s.timer.Stop()
		s.cancel()
	}
	s.stream, s.cancel = nil, nil
}

// Publish implements exchangerpb.ExchangeServer.
func (ex *Exchanger) Publish(stream grpc.BidiStreamingServer[exchangerpb.PeerUpdate, exchangerpb.PeerAck]) error {
	for {
		update, err := stream.Recv()
		if err != nil {
			return ignoreEOF(err)
		}
		reply, err := ex.applyUpdate(update)
		if err != nil {
			return err
		}
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
}

// ignoreEOF drops the error of a stream that the peer has closed.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
