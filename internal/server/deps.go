package server

import (
	"context"
	"errors"
	"io"

	"github.com/hashicorp/go-hclog"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/dispatcher"
)

// Dispatcher runs callers' requests to their end. An error for a request
// without a whole answer is, or wraps, a *dispatcher.FailureError.
type Dispatcher interface {
	// Generate runs a generation and passes its tokens on as they come.
	Generate(ctx context.Context, req dispatcher.Request, token dispatcher.TokenFunc) (dispatcher.Answer, error)
	// Call runs a call of a plain service.
	Call(ctx context.Context, req dispatcher.Request) (dispatcher.Answer, error)
}

// TicketIssuer issues tickets; a claimer.Claimer is one.
type TicketIssuer interface {
	Issue(ctx context.Context, tenant string) (ticket string, err error)
}

// StatusSource tells what the host knows.
type StatusSource interface {
	Status() Status
}

// Drainer begins the graceful shutdown of the host.
type Drainer interface {
	// Drain returns once the drain has begun; Status tells how far it is.
	Drain(ctx context.Context) error
}

// Readiness tells whether the host takes new requests.
type Readiness interface {
	// Ready returns ReasonNoConfiguration or ReasonDraining when it does not.
	Ready() (ready bool, reason string)
}

// MetricsWriter writes the metrics in Prometheus' text format.
type MetricsWriter interface {
	WritePrometheus(w io.Writer)
}

// Reasons of a Readiness.
const (
	ReasonNoConfiguration = "no_configuration"
	ReasonDraining        = "draining"
)

// Deps are the parts that a Server hands the work to.
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

// errDepMissing says that a part is nil.
var errDepMissing = errors.New("a dependency of the server is nil")

// check refuses missing parts.
func (d Deps) check() error {
	if d.Dispatcher == nil || d.Operator == nil || d.Tickets == nil || d.Status == nil ||
		d.Drainer == nil || d.Readiness == nil || d.Metrics == nil {
		return errDepMissing
	}
	return nil
}
