// Package streamkeeper keeps at which application and software version each stream began, so that
// any host can go on with a stream that a caller takes up there.
//
// A host that begins a stream records its origin at a few hosts, the stream's keepers: one in its
// own zone and some in other zones, chosen by rendezvous hashing of the stream's key. A host at
// which a caller takes a stream up asks its keepers. The host that began the stream may have ended
// meanwhile, and so may some of the keepers.
//
// Nothing is sent while a class can have one origin only: one application serves it, and all its
// endpoints have had the same software version for longer than a stream can live. As soon as there
// is a second one, a host records the streams that it has begun before.
//
// A host that has just started does not know what streams of before may have begun at. It gets that
// from hosts that have been running for longer, and from History, which is kept outside of all hosts.
//
// A host that can't determine the origin doesn't guess: what two versions write does not fit
// together.
//
// # Usage
//
//	k := streamkeeper.New(streamkeeper.Config{...})
//	k.Register(ex.Registrar())
//	k.SetClasses(classes); k.UpdateEndpoints(endpoints, removed, isSnapshot); k.SetHosts(hosts)
//	k.SetHistory(&history)
//
//	k.Begin(&streamkeeper.Stream{Class: "letters", RequestID: id}, origin, lifetime)
//	origin, err := k.Find(ctx, &streamkeeper.Stream{Class: "letters", RequestID: resumes})
package streamkeeper
