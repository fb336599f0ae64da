// Package peerforwarder passes requests of callers to a peer that reaches endpoints which this
// host does not reach, and runs the requests that peers pass to this host.
//
// A request makes one hop: its receiver runs it as a request of its own callers, with the same
// admission, and never passes it on. The sender stays in charge of the caller. It counts what the
// receiver has done with the request, cancels the receiver's work when the caller leaves, and says
// "not run" only if the receiver has said so. A connection that breaks with a request leaves its
// outcome unknown. The receiver asks the sender before each run but the first, so that the sender knows
// how often a request may have run at a receiver that it has lost.
//
// Requests have connections of their own, so that large bodies and slow callers don't delay the
// updates between hosts.
//
// # Usage
//
//	f := peerforwarder.New(peerforwarder.Config{HostID: "entry-1", Run: forwarder.Run, ...})
//	f.Register(exchanger.Registrar())
//	f.SetPeers(peers, time.Now())                     // several times a second
//	answer, hostID, err := f.Forward(ctx, request)    // as dispatcher.PeerForwarder
//	f.Drain(ctx)                                      // waits for the requests of peers
//	f.Close()
package peerforwarder
