package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/endivemast/endivemast/internal/ratelimiter"
)

// This file charges requests to their tenants' limits: once on arrival, so that a request over
// the limit is refused at once, and again if the request has waited for longer than the charge is
// valid. A further run is charged regardless of the limit, because the first one may still be
// running.

// TenantLimits enforces the tenants' rate limits.
type TenantLimits interface {
	// Charge charges a request to its tenant's limit. The error is a *ratelimiter.OverLimitError,
	// ratelimiter.ErrLimitUnavailable or ctx's.
	Charge(ctx context.Context, request *OpaqueRequest) (charge Charge, err error)
	// Renew charges a request again if its charge has expired.
	Renew(ctx context.Context, request *OpaqueRequest, charge Charge) (renewed Charge, err error)
	// ChargeUnconditionally charges a further run of a request that has run, regardless of the limit.
	ChargeUnconditionally(request *OpaqueRequest)
	// Refund reverts the charge of a request that wasn't sent.
	Refund(request *OpaqueRequest, charge Charge)
}

// Charge permits a request to be sent for its tenant until ExpiresAt. The zero value is the
// charge of a tenant without a limit.
type Charge struct{ ExpiresAt time.Time }

// noLimits implements TenantLimits without limits.
type noLimits struct{}

func (noLimits) Charge(context.Context, *OpaqueRequest) (charge Charge, err error) {
	return charge, nil
}

func (noLimits) Renew(_ context.Context, _ *OpaqueRequest, charge Charge) (renewed Charge, err error) {
	return charge, nil
}
func (noLimits) ChargeUnconditionally(*OpaqueRequest) {}
func (noLimits) Refund(*OpaqueRequest, Charge)        {}

// limitUnknownRetryAfter is the RetryAfter of a request that was refused because this host
// doesn't know its tenant's limit. Another host may know it.
const limitUnknownRetryAfter = 200 * time.Millisecond

func (fr *forwardedRequest) chargeOnArrival(ctx context.Context) (err error) {
	if fr.request.Tenant == "" || fr.request.Origin != nil { // charged at the host of the caller
		return nil
	}
	fr.charge, err = fr.forwarder.cfg.Limits.Charge(ctx, fr.request)
	return err
}

// chargeBeforeSend renews or repeats the charge. It is called before each send.
func (fr *forwardedRequest) chargeBeforeSend(ctx context.Context) (err error) {
	switch {
	case fr.request.Tenant == "" || fr.request.Origin != nil && fr.runs == fr.request.Origin.Runs:
	case fr.runs > 0:
		fr.forwarder.cfg.Limits.ChargeUnconditionally(fr.request)
	default:
		fr.charge, err = fr.forwarder.cfg.Limits.Renew(ctx, fr.request, fr.charge)
	}
	return err
}

// refund reverts the charge of a request if nothing of it was sent to an endpoint.
func (fr *forwardedRequest) refund(err error) {
	if err != nil && fr.request.Tenant != "" && fr.request.Origin == nil && fr.sends == 0 && fr.prefills == 0 && !fr.charge.ExpiresAt.IsZero() {
		fr.forwarder.cfg.Limits.Refund(fr.request, fr.charge)
	}
}

// isOverLimit reports whether a tenant's limit prevented a request from being sent.
func isOverLimit(err error) bool {
	var overLimit *ratelimiter.OverLimitError
	return errors.As(err, &overLimit) || errors.Is(err, ratelimiter.ErrLimitUnavailable)
}
