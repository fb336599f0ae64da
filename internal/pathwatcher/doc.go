// Package pathwatcher keeps track of which endpoints this host's own network paths reach.
//
// A failed connection has two possible causes: the endpoint's process has exited, or this
// host's path to it is broken. Only the first concerns the other hosts. A Watcher therefore
// combines what this host's calls show of all endpoints:
//
//   - An endpoint is unreached while connections to it fail and nothing arrives from it. An
//     endpoint that is only slow accepts connections. Suspected endpoints are probed with
//     connections that carry no request.
//   - A refused connection is confirmed as the exit of the endpoint's process if, after it,
//     other endpoints were reached and most of those that were tried, and no other host
//     reaches it.
//   - Open connections over which data has just arrived show that a process is alive. Idle ones are
//     verified by a request after a connection was refused.
//   - A process that has refused the connections of several hosts is set aside: it gets no work
//     from this host, and only a few hosts go on probing it. That is no exit, and it ends with
//     the first data or connection. See Refusal.
//   - A peer's report of an exit is rejected if data has arrived from the process since, and
//     verified by a probe if data had arrived shortly before.
//
// # Usage
//
//	w := pathwatcher.New(pathwatcher.Config{Probe: drv.Probe, ...})
//	defer w.Close()
//	w.SetEndpoints(endpoints)
//	use := w.Begin(process)        // before a call
//	use.Received()                 // for each piece of data
//	use.End(err)                   // once
//	w.Tick()                       // several times a second
//	reach := w.Reach("letters")    // how many endpoints of an application are reached
package pathwatcher
