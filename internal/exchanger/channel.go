package exchanger

import (
	"context"
	"errors"
	"io"

	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// channel is the stream of updates to one peer. A stream is opened once and kept: a
// call for each update costs several times as much processor time on both sides.
type channel struct {
	client exchangerpb.ExchangeClient
	stream grpc.BidiStreamingClient[exchangerpb.PeerUpdate, exchangerpb.PeerAck] // nil: to be opened
	cancel context.CancelFunc
	guard  *timekeeper.Timer // ends a stream on which an answer is overdue
}

func newChannel(client exchangerpb.ExchangeClient) *channel { return &channel{client: client} }

// exchange sends an update and waits for its answer. After a failure the next update
// goes by another stream.
func (c *channel) exchange(ctx context.Context, update *exchangerpb.PeerUpdate) (reply *exchangerpb.PeerAck, err error) {
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	if c.stream == nil {
		ctx, c.cancel = context.WithCancel(ctx)
		c.guard = timekeeper.AfterFunc(updateTimeout, c.cancel)
		if c.stream, err = c.client.Publish(ctx); err != nil {
			return nil, err
		}
	}
	c.guard.Reset(updateTimeout)
	defer c.guard.Stop()
	if err := c.stream.Send(update); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return c.stream.Recv() // also says why a stream has ended
}

func (c *channel) close() {
	if c.cancel != nil {
		c.guard.Stop()
		c.cancel()
	}
	c.stream, c.cancel = nil, nil
}

// Publish implements exchangerpb.ExchangeServer.
func (ex *Exchanger) Publish(stream grpc.BidiStreamingServer[exchangerpb.PeerUpdate, exchangerpb.PeerAck]) error {
	for {
		update, err := stream.Recv()
		if err != nil {
			return ignoreEnd(err)
		}
		reply, err := ex.take(update)
		if err != nil {
			return err
		}
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
}

// ignoreEnd drops the error of a stream that the peer has ended.
func ignoreEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
