// Package claimer grants the right to run a non-idempotent call at most once.
//
// Two kinds of register decide, told apart by the form of the key alone:
//
//   - A caller's own key is claimed in the key-value service, in one of a fixed
//     number of shards, by compare-and-swap of the shard's head. Many claims
//     share a write.
//   - A ticket, which Issue gave, names three entry hosts, and a majority of
//     them grants it out of memory. Tickets are served while the key-value
//     service is down and inside a cut availability zone.
//
// Which register decides never depends on what a host can reach: two hosts on
// the two sides of a cut would otherwise each find a register free.
//
// Every request claims under an id of its own, and dispatches only after it
// has heard that this id is granted. A request that gives up waiting never
// dispatches, so its "not run" is true whatever lands later; it then renounces
// its id, so that a repeat finds the key free again.
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
//	case err != nil:                             // the key can't be used so
//	case record != nil:                          // the call was made before; tell its end
//	default:                                     // dispatch once
//		err = claim.Finish(ctx, claimer.Record{State: claimer.StateAnswered, Answer: answer})
//	}
package claimer
