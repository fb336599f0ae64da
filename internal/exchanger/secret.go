package exchanger

import (
	"context"
	"crypto/subtle"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// checkUnary rejects calls without the peers' secret.
func (ex *Exchanger) checkUnary(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	if err := ex.checkSecret(ctx); err != nil {
		return nil, err
	}
	return handler(ctx, request)
}

func (ex *Exchanger) checkStream(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	if err := ex.checkSecret(stream.Context()); err != nil {
		return err
	}
	return handler(server, stream)
}

func (ex *Exchanger) checkSecret(ctx context.Context) error {
	values := metadata.ValueFromIncomingContext(ctx, secretHeader)
	if len(values) == 1 && subtle.ConstantTimeCompare([]byte(values[0]), []byte(ex.cfg.Secret)) == 1 {
		return nil
	}
	return status.Error(codes.Unauthenticated, "peer secret missing or wrong")
}

// peerSecret sends the peers' secret with each call.
type peerSecret struct{ secret string }

// GetRequestMetadata returns the header that carries the secret.
func (p peerSecret) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{secretHeader: p.secret}, nil
}

// RequireTransportSecurity returns false, because the settings decide explicitly whether plain
// text is allowed between hosts.
func (p peerSecret) RequireTransportSecurity() bool { return false }
