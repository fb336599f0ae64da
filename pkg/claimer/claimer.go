// Package claimer grants the right to make a call at most once, under an
// idempotency key.
//
// # Usage
//
//	c, err := claimer.New(claimer.Config{
//		HostID: "host-1", Incarnation: incarnation, Zone: "zone-1",
//		Store: store, Pool: pool, Secret: secret, Logger: logger,
//	})
//	c.Register(grpcServer) // answers calls of the other hosts
//	c.Start()
//	defer c.Close()
//	claim, record, err := c.Claim(ctx, claimer.Key{Tenant: tenant, Key: key}, body)
//	switch {
//	case errors.Is(err, claimer.ErrUnavailable): // this call has not run, and won't
//	case errors.Is(err, claimer.ErrTaken):       // an earlier call may have run
//	case err != nil:                             // the key can't be used for this call
//	case record != nil:                          // made before; return its outcome
//	default:                                     // dispatch once
//		err = claim.Finish(ctx, claimer.Record{State: claimer.StateAnswered, Answer: answer})
//	}
//
// A caller's own key is claimed in the key-value service. A ticket from Issue is
// claimed at a majority of three processes, and works while the key-value
// service is down.
//
// The names are aliases of those in the internal package that endivemast itself
// uses.
package claimer

import "github.com/endivemast/endivemast/internal/claimer"

// Errors of a Claimer, for use with errors.Is.
var (
	ErrUnavailable    = claimer.ErrUnavailable    // claim not granted; this call has not run, and won't
	ErrBodyConflict   = claimer.ErrBodyConflict   // the key was used with another body
	ErrTaken          = claimer.ErrTaken          // an earlier call with the key may have run
	ErrOutcomeUnknown = claimer.ErrOutcomeUnknown // it is unknown whether this call holds the claim
	ErrKeyMalformed   = claimer.ErrKeyMalformed   // the key can't be used
)

// States of a claimed call.
const (
	StateClaimed  = claimer.StateClaimed  // its owner may dispatch it, or has done so
	StateAnswered = claimer.StateAnswered // ran; the answer is recorded
	StateFailed   = claimer.StateFailed   // ran; the endpoint returned a failure
	StateNotRun   = claimer.StateNotRun   // has not run; the key is free again
)

// Types of a Claimer and its arguments.
type (
	// Config configures a Claimer.
	Config = claimer.Config
	// Claimer grants claims.
	Claimer = claimer.Claimer
	// KeyClaimer is the Claimer that New returns.
	KeyClaimer = claimer.KeyClaimer
	// Claim is the right to dispatch one call once.
	Claim = claimer.Claim
	// Key is a tenant's idempotency key.
	Key = claimer.Key
	// Record is the result that a repeat of a claimed call gets.
	Record = claimer.Record
	// State is the recorded state of a claimed call.
	State = claimer.State
)

// New validates the configuration and returns a KeyClaimer.
func New(cfg Config) (c *KeyClaimer, err error) { return claimer.New(cfg) }
