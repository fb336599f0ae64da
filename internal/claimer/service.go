package claimer

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/endivemast/endivemast/internal/claimer/claimerpb"
)

// Register registers the service for peers. Call it before the server starts.
func (c *KeyClaimer) Register(registrar grpc.ServiceRegistrar) {
	claimerpb.RegisterClaimsServer(registrar, &service{claimer: c})
}

// service handles calls from the claimers of other hosts.
type service struct {
	claimerpb.UnimplementedClaimsServer

	claimer *KeyClaimer
}

// Commit records an entry in the key-value service. After an error it is unknown whether
// the entry gets recorded; VERDICT_UNAVAILABLE means that it does not.
func (s *service) Commit(ctx context.Context, request *claimerpb.CommitRequest) (*claimerpb.Decision, error) {
	key, wanted, err := decodeEntry(request.GetEntry())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	result, err := s.claimer.commitHere(ctx, newStoreRegister(key), wanted)
	switch {
	case err == nil:
		return encodeDecision(result), nil
	case errors.Is(err, ErrOutcomeUnknown):
		return nil, status.Error(codes.Unknown, err.Error())
	default:
		return &claimerpb.Decision{Verdict: claimerpb.Verdict_VERDICT_UNAVAILABLE}, nil
	}
}

// Vote records a ticket's entry in this host's memory.
func (s *service) Vote(_ context.Context, request *claimerpb.VoteRequest) (*claimerpb.Decision, error) {
	c := s.claimer
	_, wanted, err := decodeEntry(request.GetEntry())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	key := Key{Tenant: request.GetTenant(), Key: request.GetTicket()}
	ticket, err := openTicket(c.cfg.Secret, key.Tenant, key.Key)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return encodeDecision(c.tickets.vote(c.tick(), ticket, hashKey(key), wanted)), nil
}

// Greet returns this host's incarnation and clock.
func (s *service) Greet(context.Context, *claimerpb.GreetRequest) (*claimerpb.GreetReply, error) {
	return &claimerpb.GreetReply{Incarnation: s.claimer.cfg.Incarnation, TickSeconds: s.claimer.tick()}, nil
}
