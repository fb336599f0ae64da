package endivemast

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/endivemast/endivemast/internal/budgeter"
	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/meter"
	"github.com/endivemast/endivemast/internal/server"
)

const (
	// governInterval is how often the memory for clients is adapted to what the process needs.
	governInterval = 500 * time.Millisecond
	// shortageRetryAfter is the RetryAfter of requests refused for lack of memory. Stalled clients
	// are evicted sooner.
	shortageRetryAfter = time.Second
	// shortageLogRate and shortageLogBurst limit the log lines about single requests.
	shortageLogRate  = 10
	shortageLogBurst = 20
)

// Reasons for which clients are refused, in metrics.
const (
	refusedMemory      = "memory"
	refusedConnections = "connections"
	refusedEvicted     = "evicted"
	refusedHeader      = "header_size"
)

// clientLimits keeps what clients take within the machine of the process.
type clientLimits struct {
	budget   *budgeter.Budget
	governor *budgeter.Governor
	meter    *meter.Meter
	logger   hclog.Logger
	lines    *rate.Limiter

	governedAt time.Time      // used by tick only
	reported   budgeter.Usage // used by tick only
}

func newClientLimits(memoryMB, maxDescriptors int, m *meter.Meter, logger hclog.Logger) *clientLimits {
	machine := budgeter.Machine{MemoryMB: memoryMB, Descriptors: maxDescriptors}
	budget := budgeter.New(budgeter.Config{Limits: budgeter.LimitsOf(machine)})
	c := &clientLimits{
		budget: budget, governor: budgeter.NewGovernor(machine, budget), meter: m, logger: logger,
		lines: rate.NewLimiter(shortageLogRate, shortageLogBurst),
	}
	m.GaugeClients("bytes", func() (used, limit float64) {
		u := budget.Usage()
		return float64(u.UsedBytes), float64(u.Bytes)
	})
	m.GaugeClients("connections", func() (used, limit float64) {
		u := budget.Usage()
		return float64(u.UsedConnections[budgeter.Callers]), float64(u.Connections[budgeter.Callers])
	})
	return c
}

// logLimits logs the limits with which the process starts.
func (c *clientLimits) logLimits() {
	limits := c.budget.Usage().Limits
	c.logger.Info("limits of clients", "bytes", limits.Bytes, "connections", limits.Connections[budgeter.Callers],
		"readiness_connections", limits.Connections[budgeter.Readiness], "peer_connections", limits.Connections[budgeter.Peers])
}

// tick adapts the limits, and logs what was refused and evicted since the last line.
func (c *clientLimits) tick(now time.Time) {
	if now.Sub(c.governedAt) < governInterval {
		return
	}
	c.governedAt = now
	c.governor.Tick(now)
	u := c.budget.Usage()
	if u.Evicted != c.reported.Evicted || u.Refused != c.reported.Refused {
		c.logger.Warn("clients refused for lack of memory or connections",
			"evicted", u.Evicted-c.reported.Evicted, "refused", u.Refused-c.reported.Refused, "used_bytes", u.UsedBytes, "limit_bytes", u.Bytes,
			"connections", u.UsedConnections[budgeter.Callers], "limit_connections", u.Connections[budgeter.Callers])
	}
	c.reported = u
}

// countRefusal counts a client that was refused.
func (c *clientLimits) countRefusal(reason error) { c.meter.CountClientRefusal(refusalName(reason)) }

func refusalName(reason error) string {
	switch {
	case errors.Is(reason, server.ErrHeaderTooLarge):
		return refusedHeader
	case errors.Is(reason, budgeter.ErrTooManyConnections):
		return refusedConnections
	case errors.Is(reason, budgeter.ErrEvicted):
		return refusedEvicted
	default:
		return refusedMemory
	}
}

// refuse counts and logs a request whose body was not read for lack of memory, and returns its
// failure.
func (c *clientLimits) refuse(request *dispatcher.OpaqueRequest, reason error) *dispatcher.FailureError {
	c.countRefusal(reason)
	c.meter.CountOutcome("", request.Class.Name, string(dispatcher.OutcomeNotRun), dispatcher.ReasonMemoryShortage)
	if c.lines.Allow() {
		c.logger.Info("request refused for lack of memory", "request_id", dispatcher.LoggedID(request.ID), "class", request.Class.Name,
			"age_ms", time.Since(request.Arrived).Milliseconds(), "reason", refusalName(reason), "used_bytes", c.budget.Usage().UsedBytes)
	}
	return &dispatcher.FailureError{
		RequestID: request.ID, Outcome: dispatcher.OutcomeNotRun, Reason: dispatcher.ReasonMemoryShortage,
		Detail: "no memory for the body", RetryAfter: shortageRetryAfter,
	}
}

// reserve reserves memory for the body of a peer's request.
func (c *clientLimits) reserve(ctx context.Context, n int64) (release func(), err error) {
	account, err := c.budget.Open(budgeter.NoConnection, func() {})
	if err != nil {
		return nil, err
	}
	if err := errors.Join(account.Begin(budgeter.Running), account.Reserve(ctx, n)); err != nil {
		account.Close()
		return nil, err
	}
	return account.Close, nil
}

// RecordShortage counts a request whose body was not read for lack of memory, and returns its
// failure.
func (g *Gateway) RecordShortage(request *dispatcher.OpaqueRequest, reason error) *dispatcher.FailureError {
	return g.clients.refuse(request, reason)
}
