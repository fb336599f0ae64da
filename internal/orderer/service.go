package orderer

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/leaser"
	"github.com/endivemast/endivemast/internal/orderer/ordererpb"
)

//go:generate protoc -I ordererpb --go_out=ordererpb --go_opt=paths=source_relative --go-grpc_out=ordererpb --go-grpc_opt=paths=source_relative ordererpb/authority.proto

// Register registers the Predecessor service for a host's own Leaser.
func Register(registrar grpc.ServiceRegistrar, zone, incarnation string, l *leaser.Leaser) {
	ordererpb.RegisterPredecessorServer(registrar, &server{zone: zone, incarnation: incarnation, leaser: l})
}

type server struct {
	ordererpb.UnimplementedPredecessorServer
	zone        string
	incarnation string
	leaser      *leaser.Leaser
}

// StoodDown implements ordererpb.PredecessorServer.
func (s *server) StoodDown(
	_ context.Context, request *ordererpb.StoodDownRequest,
) (*ordererpb.StoodDownResponse, error) {
	response := &ordererpb.StoodDownResponse{Incarnation: s.incarnation}
	// A restarted process doesn't know what its previous incarnation has sent.
	if request.GetIncarnation() != s.incarnation || request.GetZone() != s.zone {
		return response, nil
	}
	response.NothingUnsent = s.leaser.Fence(request.GetEpoch())
	response.StoodDown = true
	return response, nil
}

// PredecessorClient implements Predecessor over the peer protocol.
type PredecessorClient struct {
	pool exchanger.Pool
}

// NewPredecessorClient returns a PredecessorClient that uses the connections of
// pool.
func NewPredecessorClient(pool exchanger.Pool) *PredecessorClient {
	return &PredecessorClient{pool: pool}
}

// HasSteppedDown implements Predecessor.
func (c *PredecessorClient) HasSteppedDown(
	ctx context.Context, holder leaser.Holder, zone string, epoch int64,
) (hasSteppedDown bool, err error) {
	defer func() { err = eris.Wrap(err, fmt.Sprintf("request proof from former holder %s", holder.HostID)) }()
	conn, err := c.pool.Conn(holder.HostID)
	if err != nil {
		return false, err
	}
	response, err := ordererpb.NewPredecessorClient(conn).StoodDown(ctx, &ordererpb.StoodDownRequest{
		Zone: zone, Incarnation: holder.Incarnation, Epoch: epoch,
	})
	if err != nil {
		return false, err
	}
	isSame := response.GetIncarnation() == holder.Incarnation
	return isSame && response.GetStoodDown() && response.GetNothingUnsent(), nil
}
