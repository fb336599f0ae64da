// Package claimer grants the right to make a call at most once, under an
// idempotency key.
//
// # Usage
//
//	c, err := claimer.New(claimer.Config{
//		HostID: "host-1", Incarnation: incarnation, Zone: "zone-1",
//		Store: store, Pool: pool, Secret: secret, Logger: logger,
//	})
//	c.Register(grpcServer) // serves the other processes' tickets
//	c.Start()
//	defer c.Close()
//	claim, record, err := c.Claim(ctx, claimer.Key{Tenant: tenant, Key: key}, body)
//	switch {
//	case errors.Is(err, claimer.ErrUnavailable): // this call has not run, and won't
//	case errors.Is(err, claimer.ErrTaken):       // an earlier call may have run
//	case err != nil:                             // the key can't be used so
//	case record != nil:                          // made before; tell its end
//	default:                                     // dispatch once
//		err = claim.Finish(ctx, claimer.Record{State: claimer.StateAnswered, Answer: answer})
//	}
//
// A key of the caller's own is claimed in the key-value service. A ticket from
// Issue is claimed at a majority of three processes, and works while the
// key-value service is down.
//
// The names are aliases of those that endivemast itself is built from.
package claimer

import "github.com/endivemast/endivemast/internal/claimer"

// Errors of a Claimer. Each is found with errors.Is.
var (
	ErrUnavailable    = claimer.ErrUnavailable    // not recorded; this call has not run, and won't
	ErrBodyConflict   = claimer.ErrBodyConflict   // the key was used with another body
	ErrTaken          = claimer.ErrTaken          // an earlier call with the key may have run
	ErrOutcomeUnknown = claimer.ErrOutcomeUnknown // it is not known whether the claim was recorded
	ErrKeyMalformed   = claimer.ErrKeyMalformed   // the key can't be used
)

// How a claimed call ended.
const (
	StateClaimed  = claimer.StateClaimed  // may be dispatched by the claim's owner, or was
	StateAnswered = claimer.StateAnswered // ran; the answer is recorded
	StateFailed   = claimer.StateFailed   // ran; the answer was no
	StateNotRun   = claimer.StateNotRun   // proved not run; the key is free again
)

// What a Claimer works with.
type (
	// Config sets a Claimer up.
	Config = claimer.Config
	// Claimer grants claims.
	Claimer = claimer.Claimer
	// KeyClaimer is the Claimer that New makes.
	KeyClaimer = claimer.KeyClaimer
	// Claim is the right to dispatch one call once.
	Claim = claimer.Claim
	// Key is a tenant's idempotency key.
	Key = claimer.Key
	// Record is what a repeat of a claimed call is told.
	Record = claimer.Record
	// State is how a claimed call ended.
	State = claimer.State
)

// New checks the settings and makes a KeyClaimer.
func New(cfg Config) (c *KeyClaimer, err error) { return claimer.New(cfg) }
