// Package quarantiner stops requests that crash the endpoints that run them from
// reaching further endpoints.
//
// A request may crash each engine that starts to run it. Its caller retries it under
// another id at another host, and the next engine crashes, with all streams of other
// callers on it: one request crashed 31 engines within 16 s and interrupted 5 to 16
// streams with each. Retry limits don't help, since each retry is a new request at a
// host that has no record of it.
//
// Hosts therefore identify requests by content (see Fingerprint) and report to each
// other which requests were running in a process that crashed. All of them are
// interrupted together; any one of them may be the cause, or none. A request is
// quarantined once three processes have crashed while running it, if
//
//   - the runs were consecutive: each was sent after the previous crash;
//   - at each crash no other request in that process had as many crashes;
//   - no run of it has succeeded since, or gone on for much longer than those that crashed;
//   - if the runs were long, crashes without the request are too rare to explain them.
//
// A request that many callers send at once crashes all processes before the first crash is
// known. If it has never succeeded, it is run once at a time after three such crashes and
// quarantined after four.
//
// These conditions spare
//
//   - requests that run next to the crashing one: they also run on engines that don't
//     crash;
//   - a popular request that runs on many engines that crash for another reason: its
//     runs there were not consecutive, and other runs succeed;
//   - a request that is retried after unrelated crashes: it would have to be hit three
//     times in a row.
//
// All hosts refuse a quarantined request at once. After a pause one host runs it as a
// trial while the others wait for the outcome: a crash doubles the pause, and a
// successful run lifts the quarantine. A caller that crashes engine after engine with a
// different request each time prevents nearly all runs from succeeding, and can thereby
// have requests that others send often quarantined for one pause at a time. It can't
// forge a fingerprint.
//
// # Usage
//
//	q := quarantiner.New(quarantiner.Config{Probe: drv.Reach, ...})
//	defer q.Close()
//	q.Start()                                       // fetches what peers know
//	q.AwaitSync(ctx)                                // before Admit
//	admission := q.Admit(&request)                  // before any other work on the request
//	q.RunInterrupted(quarantiner.InterruptedRun{Request: &request, ...})
//	q.RunContinues(&request, sinceSend)             // while its run goes on
//	q.RunSucceeded(&request, true)                  // after a complete answer
//	q.ProcessExited(process)                        // from any source of that information
//	q.Tick(now)                                     // several times a second
//	updates, position := q.Updates(position, exchanger.ScopeOwn) // to send to peers
//	q.Merge(updates, isOwnZone)                     // received from a peer
package quarantiner
