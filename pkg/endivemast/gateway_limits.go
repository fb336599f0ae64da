package endivemast

import (
	"context"

	"github.com/endivemast/endivemast/internal/authenticator"
	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/ratelimiter"
)

// tenantLimits charges requests to the tenant limits of the configuration in force. It
// implements dispatcher.TenantLimits.
type tenantLimits struct{ gateway *Gateway }

// limitOf returns a tenant's limit; ok is false if it has none.
func (g *Gateway) limitOf(tenant string) (limit authenticator.Limit, ok bool) {
	directory := g.classifier.Tenants()
	if directory == nil {
		return limit, false
	}
	return directory.LimitOf(tenant)
}

// tenantLimit is limitOf in the type of the rate limiter.
func (g *Gateway) tenantLimit(tenant string) (ratelimiter.TenantLimit, bool) {
	limit, ok := g.limitOf(tenant)
	return ratelimiter.TenantLimit{PerSecond: limit.PerSecond, Burst: limit.Burst}, ok
}

// unitsOf returns the limit of a request's tenant, and the units that the request is
// charged.
func (t *tenantLimits) unitsOf(request *dispatcher.OpaqueRequest) (limit ratelimiter.TenantLimit, units int64, ok bool) {
	set, ok := t.gateway.limitOf(request.Tenant)
	limit = ratelimiter.TenantLimit{PerSecond: set.PerSecond, Burst: set.Burst}
	return limit, set.UnitsOf(request.Prompt.Tokens + request.Prompt.MaxOutputTokens), ok
}

// Charge implements dispatcher.TenantLimits.
func (t *tenantLimits) Charge(ctx context.Context, request *dispatcher.OpaqueRequest) (charge dispatcher.Charge, err error) {
	limit, units, ok := t.unitsOf(request)
	if !ok {
		return charge, nil
	}
	charge.ExpiresAt, err = t.gateway.limiter.Charge(ctx, request.Tenant, limit, units)
	return charge, err
}

// Renew implements dispatcher.TenantLimits.
func (t *tenantLimits) Renew(ctx context.Context, request *dispatcher.OpaqueRequest, charge dispatcher.Charge) (renewed dispatcher.Charge, err error) {
	if charge.ExpiresAt.IsZero() || t.gateway.cfg.Clock.Now().Before(charge.ExpiresAt) {
		return charge, nil
	}
	return t.Charge(ctx, request)
}

// ChargeUnconditionally implements dispatcher.TenantLimits.
func (t *tenantLimits) ChargeUnconditionally(request *dispatcher.OpaqueRequest) {
	if limit, units, ok := t.unitsOf(request); ok {
		t.gateway.limiter.ChargeUnconditionally(request.Tenant, limit, units)
	}
}

// Refund implements dispatcher.TenantLimits. An expired charge is not refunded: the limit
// may have admitted other requests in its place since.
func (t *tenantLimits) Refund(request *dispatcher.OpaqueRequest, charge dispatcher.Charge) {
	if limit, units, ok := t.unitsOf(request); ok && t.gateway.cfg.Clock.Now().Before(charge.ExpiresAt) {
		t.gateway.limiter.Refund(request.Tenant, limit, units)
	}
}
