// Package claimer grants the right to run a non-idempotent call at most once.
//
// Each key has one register, which decides about its claims. The form of the
// key alone determines the kind of register:
//
//   - A caller's own key is claimed in the key-value service, in one of a fixed
//     number of shards, by compare-and-swap of the shard's head. Many claims
//     share a write.
//   - A ticket returned by Issue names three entry hosts, and a majority of
//     them grants the claim from memory. Tickets work while the key-value
//     service is down and inside an availability zone that is cut off.
//
// The choice of register never depends on what a host can reach. Otherwise two
// hosts on the two sides of a network partition could each find a register in
// which the key is free.
//
// Every request claims under an id of its own, and dispatches only after it has
// received the grant for this id. A request that stops waiting never
// dispatches, so "not run" holds even if its claim is recorded later. It then
// releases its id, so that a repeat finds the key free again.
//
// # Usage
//
//	c, err := claimer.New(claimer.Config{
//		HostID: "entry-1", Incarnation: incarnation, Zone: "lozenets",
//		Store: store, Pool: pool, Secret: secret, Logger: logger,
//	})
//	c.Register(grpcServer)
//	c.Start()
//	defer c.Close()
//
//	claim, record, err := c.Claim(ctx, claimer.Key{Tenant: tenant, Key: key}, body)
//	switch {
//	case errors.Is(err, claimer.ErrUnavailable): // this request has not run, and won't
//	case errors.Is(err, claimer.ErrTaken):       // an earlier request may have run
//	case err != nil:                             // the key can't be used for this request
//	case record != nil:                          // the call was made before; return its outcome
//	default:                                     // dispatch once
//		err = claim.Finish(ctx, claimer.Record{State: claimer.StateAnswered, Answer: answer})
//	}
package claimer
