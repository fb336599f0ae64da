package server

import (
	"context"
	"errors"
	"io"

	"github.com/hashicorp/go-hclog"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/dispatcher"
)

// Dispatcher runs requests of callers. The error for a request without a complete answer is,
// or wraps, a *dispatcher.FailureError.
type Dispatcher interface {
	// Generate generates text and passes each token on as soon as it is available.
	Generate(ctx context.Context, req dispatcher.Request, token dispatcher.TokenFunc) (dispatcher.Answer, error)
	// Call runs a call of a plain service.
	Call(ctx context.Context, req dispatcher.Request) (dispatcher.Answer, error)
}

// TicketIssuer issues tickets. It is implemented by claimer.Claimer.
type TicketIssuer interface {
	Issue(ctx context.Context, tenant string) (ticket string, err error)
}

// StatusSource provides the status of the host.
type StatusSource interface {
	Status() Status
}

// Drainer starts the graceful shutdown of the host.
type Drainer interface {
	// Drain returns once the drain has started; its progress is part of Status.
	Drain(ctx context.Context) error
}

// Readiness reports whether the host accepts new requests.
type Readiness interface {
	// Ready returns ReasonNoConfiguration or ReasonDraining as the reason when the host is not
	// ready.
	Ready() (ready bool, reason string)
}

// MetricsWriter writes the metrics in the Prometheus text format.
type MetricsWriter interface {
	WritePrometheus(w io.Writer)
}

// Reasons that Readiness returns.
const (
	ReasonNoConfiguration = "no_configuration"
	ReasonDraining        = "draining"
)

// Deps holds the components that a Server calls.
type Deps struct {
	Dispatcher Dispatcher
	Operator   configurer.Operator
	Tickets    TicketIssuer
	Status     StatusSource
	Drainer    Drainer
	Readiness  Readiness
	Metrics    MetricsWriter
	Logger     hclog.Logger // may be nil
}

// errMissingDependency reports a dependency that is nil.
var errMissingDependency = errors.New("a dependency of the server is nil")

// check rejects missing dependencies.
func (d Deps) check() error {
	if d.Dispatcher == nil || d.Operator == nil || d.Tickets == nil || d.Status == nil ||
		d.Drainer == nil || d.Readiness == nil || d.Metrics == nil {
		return errMissingDependency
	}
	return nil
}
