package server

import (
	"context"

	"github.com/endivemast/endivemast/internal/server/gen/health"
)

// healthService implements the health endpoints.
type healthService struct{ readiness Readiness }

var _ health.Service = (*healthService)(nil)

// Alive succeeds while the process is running.
func (*healthService) Alive(context.Context) (*health.AliveResult, error) {
	return &health.AliveResult{Alive: true}, nil
}

// Ready reports whether the host accepts new requests.
func (s *healthService) Ready(context.Context) (*health.ReadyResult, error) {
	if ready, reason := s.readiness.Ready(); !ready {
		return nil, &health.NotReady{Name: statusRefused, Reason: reason}
	}
	return &health.ReadyResult{Ready: true}, nil
}
