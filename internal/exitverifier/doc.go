// Package exitverifier decides with the help of peers whether an endpoint's process has exited.
//
// A host whose connection to an endpoint is refused can't determine by itself whether the process
// has exited or its own path is broken. Other endpoints that it reaches show that its paths work; while
// most endpoints are down there are none. The Verifier therefore has peers connect to the same
// process over their own paths: if one of them reaches it, the path is broken, and if none does, the
// process has exited or is as good as gone for all of them.
//
// # Usage
//
//	v := exitverifier.New(exitverifier.Config{Peers: peers, Conn: ex.Conn, Observe: observe, ...})
//	v.Register(ex.Registrar())
//	hasExited := v.HasExited(ctx, process) // after a connection to it was refused here
package exitverifier
